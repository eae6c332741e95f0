package gather

import (
	"slices"
	"time"
)

// A target has limited capacity for results. A result occupies it from the start of its
// call until it is freed, so the throughput of a stage is bounded by this capacity as well
// as by the target's speed.
const (
	// unknownReservationTime is how long capacity is reserved after a target refused a result
	// for which it should have had room: a fraction of the time for which results are usually
	// kept.
	unknownReservationTime = time.Second
	// shortageWindow is how long a target counts as short of capacity after a result didn't
	// fit: about the time for which a result is held.
	shortageWindow = time.Second
	// inputReadShare is the fraction of a call's fixed time after which it has read its
	// inputs, which it does before its work.
	inputReadShare = 0.6
)

// smallResultShare is the fraction of a target's capacity that large results leave to small
// ones. Without it a dozen results of 1.5 MB leave no room for results of 8 KB, and the
// requests that need these wait half a second and more.
const smallResultShare = 0.08

// maxResults returns how many results of a size fit into the free capacity, of which large ones
// leave a reserve to small ones.
func (s *service) maxResults(free, size, reserve int64) int {
	if s.config.ResultCapacity <= 0 || size <= 0 {
		return s.config.MaxPieces
	}
	if size >= largeResultBytes {
		free -= reserve
	}
	return int(max(free, 0) / size)
}

// reservation is capacity that is occupied by results this planner can't free.
type reservation struct {
	bytes int64
	until time.Time
}

// expireReservations releases the capacity of results that have expired.
func (t *target) expireReservations(now time.Time) {
	t.reserved = slices.DeleteFunc(t.reserved, func(r reservation) bool {
		if !now.After(r.until) {
			return false
		}
		t.usedBytes -= r.bytes
		return true
	})
}

// reserveForUnknown records that a result didn't fit: results that this queue doesn't know
// occupy the capacity, for example those of a holder that was killed. Without the
// reservation the same pieces would be sent to the target repeatedly until those results
// expire.
func (t *target) reserveForUnknown(now time.Time, bytes int64) {
	t.usedBytes += bytes
	t.reserved = append(t.reserved, reservation{bytes, now.Add(unknownReservationTime)})
}

// noteCapacityShortage records that a result didn't fit.
func (p *Planner) noteCapacityShortage(now time.Time, t *target) {
	t.capacityShortAt, p.capacityShortAt = now, now
}

// shortOfCapacity reports whether results didn't fit recently.
func (t *target) shortOfCapacity(now time.Time) bool {
	return !t.capacityShortAt.IsZero() && now.Sub(t.capacityShortAt) < shortageWindow
}

// freeReadInputs frees the results that calls in progress have already read, at targets
// that are short of capacity. Other targets keep them until their readers have answered, so
// that they need not be produced again if a call fails.
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

// punctualFactor is the slowness below which a target counts as punctual; a single answer
// after 1.6 times the expected time exceeds it. A target whose calls queue behind those of
// another holder takes twice the usual time.
const punctualFactor = 1.2

// punctual reports whether the target answered its last calls about when expected, which
// means that a call starts when it is sent. While two instances hold queues, a call may wait
// behind a call of the other instance and read its inputs later than expected. The inputs
// must not be freed before that.
func (t *target) punctual() bool {
	return t.answered && t.unsuccessfulCalls == 0 && t.slowness < punctualFactor
}

// freeInputsOf frees those inputs of a stage that all their readers have read and that are at
// targets short of capacity. It reports whether no input is left to free.
func (p *Planner) freeInputsOf(now time.Time, st *heldStage) bool {
	if p.requests[st.request.ID] != st.request || st.request.completed {
		return true
	}
	all := true
	for _, i := range st.After {
		input := st.request.stages[i]
		if !p.allReadersRead(now, input) {
			all = false
			continue
		}
		for _, r := range input.results {
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

// allReadersRead reports whether all stages that read the results of a stage have read
// them.
func (p *Planner) allReadersRead(now time.Time, input *heldStage) bool {
	if p.needed(input) {
		return false
	}
	for _, other := range input.request.stages {
		if slices.Contains(other.After, input.index) && !other.done() && now.Before(other.inputsReadAt) {
			return false
		}
	}
	return true
}
