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
	unknownReservationTime = time.Second
	// shortFor is how long a target counts as short of room after a result found
	// none: about the time for which a result is held.
	shortageWindow = time.Second
	// readShare is the share of a call's fixed time after which it has read its
	// inputs, which it does before its work.
	inputReadShare = 0.6
)

// smallRoomShare is the share of a target's room that large results leave to
// small ones. Without it a dozen results of 1.5 MB keep out pieces of 8 KB, whose
// requests then wait for a place half a second and more.
const smallResultShare = 0.08

// fits is how many results of a size there is room for.
func (s *service) maxResults(room, size int64) int {
	if s.config.ResultCapacity <= 0 || size <= 0 {
		return s.config.MaxPieces
	}
	if size >= largeResultBytes {
		room -= int64(smallResultShare * float64(s.config.ResultCapacity))
	}
	return int(max(room, 0) / size)
}

// lostRoom is room that is taken by results nobody can free.
type reservation struct {
	bytes int64
	until time.Time
}

// expireLost counts room again whose results are gone by now.
func (t *target) expireReservations(now time.Time) {
	t.reserved = slices.DeleteFunc(t.reserved, func(l reservation) bool {
		if !now.After(l.until) {
			return false
		}
		t.usedBytes -= l.bytes
		return true
	})
}

// occupied notes that there was no room for a result: others take it that this
// queue doesn't know of, as those of a holder that was killed. Without the note the
// same pieces would be sent there again and again until those results expire.
func (t *target) reserveForUnknown(now time.Time, bytes int64) {
	t.usedBytes += bytes
	t.reserved = append(t.reserved, reservation{bytes, now.Add(unknownReservationTime)})
}

// noteShort notes that a result found no room.
func (p *Planner) noteCapacityShortage(now time.Time, t *target) {
	t.capacityShortAt, p.capacityShortAt = now, now
}

// short tells whether results found no room lately.
func (t *target) shortOfCapacity(now time.Time) bool {
	return !t.capacityShortAt.IsZero() && now.Sub(t.capacityShortAt) < shortageWindow
}

// releaseRead gives back the results that calls in progress have read by now, at
// targets that are short of room. Where there is room they stay until their readers
// have answered: should a call fail, they need not be made again.
func (p *Planner) freeReadInputs(now time.Time) {
	if p.capacityShortAt.IsZero() || now.Sub(p.capacityShortAt) >= shortageWindow {
		return
	}
	for _, c := range p.calls {
		if c.inputsFreed || now.Before(c.inputsReadAt) || !c.target.punctual() {
			continue
		}
		c.inputsFreed = true
		var last *heldStage
		for _, ref := range c.pieces {
			if ref.stage == last {
				continue
			}
			last = ref.stage
			if !p.freeInputsOf(now, last) {
				c.inputsFreed = false
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
	return t.answered && t.unsuccessfulCalls == 0 && t.slowness < punctualFactor
}

// releaseInputs gives back those inputs of a stage that all their readers have read
// and whose makers are short of room. It tells whether none is left.
func (p *Planner) freeInputsOf(now time.Time, st *heldStage) bool {
	if p.requests[st.request.ID] != st.request || st.request.completed {
		return true
	}
	all := true
	for _, i := range st.After {
		read := st.request.stages[i]
		if !p.allReadersRead(now, read) {
			all = false
			continue
		}
		for _, r := range read.results {
			switch {
			case r == nil || r.freed:
			case r.target.shortOfCapacity(now):
				p.free(r)
			default:
				all = false
			}
		}
	}
	return all
}

// readByAll tells whether all stages that read the results of one have read them.
func (p *Planner) allReadersRead(now time.Time, read *heldStage) bool {
	if p.needed(read) {
		return false
	}
	for _, other := range read.request.stages {
		if slices.Contains(other.After, read.index) && !other.done() && now.Before(other.inputsReadAt) {
			return false
		}
	}
	return true
}
