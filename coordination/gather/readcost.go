package gather

import (
	"slices"
	"time"
)

// crossingPerByte is the wait that a request accepts rather than have a byte of its inputs
// transferred between data centres: 50 ms for a megabyte.
const crossingPerByte = 50 * time.Millisecond / (1 << 20)

// CrossingCost returns the wait that a request accepts rather than have bytes transferred
// between data centres.
func CrossingCost(bytes int64) time.Duration { return time.Duration(bytes) * crossingPerByte }

// ReadCosts returns the cost of having the results of a request that isn't admitted yet read
// in a data centre. It is how much longer the wait for the targets there is than the shortest
// wait of all data centres, or the cost of transferring the results from elsewhere if that is
// less. Only large results count.
//
// It is designed for one target of four in a data centre that has a third of the engines:
// requests whose results are all read there wait for that one target, or their results
// cross data centres.
func (p *Planner) ReadCosts(now time.Time, r *Request) func(dataCentre string) time.Duration {
	perDataCentre := map[string]time.Duration{}
	var allCrossing time.Duration
	for i, st := range r.Stages {
		s := p.services[st.Service]
		bytes := int64(st.Pieces) * st.ResultBytes
		if s == nil || bytes <= crossingTolerance || r.hasReaders(i) {
			continue
		}
		crossing := CrossingCost(bytes)
		allCrossing += crossing
		waits := s.waitByDataCentre(now)
		first := crossing
		for _, wait := range waits {
			first = min(first, wait)
		}
		for dataCentre, wait := range waits {
			perDataCentre[dataCentre] += min(wait-first, crossing) - crossing
		}
	}
	return func(dataCentre string) time.Duration { return allCrossing + perDataCentre[dataCentre] }
}

// hasReaders reports whether another stage with pieces reads the results of a stage.
func (r *Request) hasReaders(index int) bool {
	for _, other := range r.Stages {
		if other.Pieces > 0 && slices.Contains(other.After, index) {
			return true
		}
	}
	return false
}

// waitByDataCentre returns how long pieces that arrive now wait in each data centre.
func (s *service) waitByDataCentre(now time.Time) map[string]time.Duration {
	targets := map[string]float64{}
	free := map[string]time.Duration{}
	for _, t := range s.targets {
		if !t.available(now) || t.slowness >= slowThreshold {
			continue
		}
		untilFree := max(t.downUntil.Sub(now), 0)
		if t.calls >= max(s.config.Slots, 1) {
			untilFree = max(untilFree, t.busyUntil.Sub(now))
		}
		if targets[t.DataCentre] == 0 || untilFree < free[t.DataCentre] {
			free[t.DataCentre] = untilFree
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
