package gather

import (
	"slices"
	"time"
)

// Room of a target for results. A result takes it from the begin of its call until
// it is given back, so what a stage can do is bounded by its room as well as by its
// speed.
const (
	// occupiedFor is how long room counts as taken that a target didn't have: a
	// part of the time for which results are usually kept.
	occupiedFor = time.Second
	// shortFor is how long a target counts as short of room after a result found
	// none: about the time for which a result is held.
	shortFor = time.Second
	// readShare is the share of a call's fixed time after which it has read its
	// inputs, which it does before its work.
	readShare = 0.6
)

// smallRoomShare is the share of a target's room that large results leave to
// small ones. Without it a dozen results of 1.5 MB keep out pieces of 8 KB, whose
// requests then wait for a place half a second and more.
const smallRoomShare = 0.08

// fits is how many results of a size there is room for.
func (s *service) fits(room, size int64) int {
	if s.shape.ResultBytes <= 0 || size <= 0 {
		return s.shape.MaxPieces
	}
	if size >= heldResultBytes {
		room -= int64(smallRoomShare * float64(s.shape.ResultBytes))
	}
	return int(max(room, 0) / size)
}

// lostRoom is room that is taken by results nobody can free.
type lostRoom struct {
	bytes   int64
	expires time.Time
}

// expireLost counts room again whose results are gone by now.
func (t *target) expireLost(now time.Time) {
	t.lost = slices.DeleteFunc(t.lost, func(l lostRoom) bool {
		if !now.After(l.expires) {
			return false
		}
		t.heldBytes -= l.bytes
		return true
	})
}

// occupied notes that there was no room for a result: others take it that this
// queue doesn't know of, as those of a holder that was killed. Without the note the
// same pieces would be sent there again and again until those results expire.
func (t *target) occupied(now time.Time, bytes int64) {
	t.heldBytes += bytes
	t.lost = append(t.lost, lostRoom{bytes, now.Add(occupiedFor)})
}

// noteShort notes that a result found no room.
func (p *Planner) noteShort(now time.Time, t *target) {
	t.shortAt, p.shortAt = now, now
}

// short tells whether results found no room lately.
func (t *target) short(now time.Time) bool {
	return !t.shortAt.IsZero() && now.Sub(t.shortAt) < shortFor
}

// releaseRead gives back the results that calls in progress have read by now, at
// targets that are short of room. Where there is room they stay until their readers
// have answered: should a call fail, they need not be made again.
func (p *Planner) releaseRead(now time.Time) {
	if p.shortAt.IsZero() || now.Sub(p.shortAt) >= shortFor {
		return
	}
	for _, c := range p.calls {
		if c.released || now.Before(c.readBy) || !c.target.punctual() {
			continue
		}
		c.released = true
		var last *stageWork
		for _, ref := range c.pieces {
			if ref.stage == last {
				continue
			}
			last = ref.stage
			if !p.releaseInputs(now, last) {
				c.released = false
			}
		}
	}
}

// punctualFactor is the slowness up to which a target counts as punctual: one answer
// that took 1.6 times as long as expected ends it. A target whose calls queue behind
// those of another holder takes twice the usual time.
const punctualFactor = 1.2

// punctual tells whether the target answered its last calls about when expected, so
// that a call begins when it is sent. While two instances hold queues, a call waits
// for that of the other before it reads its inputs: given back by then, they would
// be gone.
func (t *target) punctual() bool {
	return t.answered && t.strikes == 0 && t.slow < punctualFactor
}

// releaseInputs gives back those inputs of a stage that all their readers have read
// and whose makers are short of room. It tells whether none is left.
func (p *Planner) releaseInputs(now time.Time, st *stageWork) bool {
	if p.works[st.work.ID] != st.work || st.work.completed {
		return true
	}
	all := true
	for _, i := range st.After {
		read := st.work.stages[i]
		if !p.readByAll(now, read) {
			all = false
			continue
		}
		for _, r := range read.results {
			switch {
			case r == nil || r.freed:
			case r.target.short(now):
				p.free(r)
			default:
				all = false
			}
		}
	}
	return all
}

// readByAll tells whether all stages that read the results of one have read them.
func (p *Planner) readByAll(now time.Time, read *stageWork) bool {
	if p.needed(read) {
		return false
	}
	for _, other := range read.work.stages {
		if slices.Contains(other.After, read.index) && !other.done() && now.Before(other.readBy) {
			return false
		}
	}
	return true
}
