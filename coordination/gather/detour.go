package gather

import (
	"slices"
	"time"
)

// crossingPerByte is how long a request may rather wait than have a byte of its inputs
// carried between data centres: 50 ms for a megabyte.
const crossingPerByte = 50 * time.Millisecond / (1 << 20)

// CrossingTime is how long a request may rather wait than have bytes carried between
// data centres.
func CrossingCost(bytes int64) time.Duration { return time.Duration(bytes) * crossingPerByte }

// Detours tells what it costs a request, which isn't taken in yet, to have its results
// read in a data centre: the wait for the targets there beyond that for the targets that
// are free first, or the carrying of its results from elsewhere if that is less. Only
// large results count.
//
// The load it answers: one target of four in a data centre that has a third of the
// engines. Requests that are all read there wait for that one target, or their results
// cross.
func (p *Planner) ReadCosts(now time.Time, r *Request) func(dataCentre string) time.Duration {
	total := map[string]time.Duration{}
	var elsewhere time.Duration
	for i, st := range r.Stages {
		s := p.services[st.Service]
		bytes := int64(st.Pieces) * st.ResultBytes
		if s == nil || bytes <= crossingTolerance || r.hasReaders(i) {
			continue
		}
		crossing := CrossingCost(bytes)
		elsewhere += crossing
		waits := s.waitByDataCentre(now)
		first := crossing
		for _, wait := range waits {
			first = min(first, wait)
		}
		for dataCentre, wait := range waits {
			total[dataCentre] += min(wait-first, crossing) - crossing
		}
	}
	return func(dataCentre string) time.Duration { return elsewhere + total[dataCentre] }
}

// isRead tells whether another stage with pieces reads the results of a stage.
func (r *Request) hasReaders(index int) bool {
	for _, other := range r.Stages {
		if other.Pieces > 0 && slices.Contains(other.After, index) {
			return true
		}
	}
	return false
}

// waits is, by data centre, how long pieces wait there that come now.
func (s *service) waitByDataCentre(now time.Time) map[string]time.Duration {
	targets := map[string]float64{}
	free := map[string]time.Duration{}
	for _, t := range s.targets {
		if !t.available(now) || t.slowness >= slowThreshold {
			continue
		}
		left := max(t.downUntil.Sub(now), 0)
		if t.calls >= max(s.config.Slots, 1) {
			left = max(left, t.busyUntil.Sub(now))
		}
		if targets[t.DataCentre] == 0 || left < free[t.DataCentre] {
			free[t.DataCentre] = left
		}
		targets[t.DataCentre]++
	}
	queued := map[string]int{}
	for _, st := range s.queue {
		queued[st.request.DataCentre] += len(st.pending)
	}
	full := float64(s.expected(time.Duration(s.config.MaxPieces) * s.config.PieceTime))
	for dataCentre, n := range targets {
		calls := float64(queued[dataCentre]) / float64(max(s.config.MaxPieces, 1))
		free[dataCentre] += time.Duration(calls * full / n)
	}
	return free
}
