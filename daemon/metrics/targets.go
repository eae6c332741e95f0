package metrics

import "github.com/ivyhollow/ivyhollow/coordination/routing"

// targetCounts is the number of a pool's targets in each state.
type targetCounts struct{ ready, ejected, leaving int }

// add returns the counts with one more target. A target that is both leaving and ejected
// counts as leaving.
func (c targetCounts) add(t routing.TargetStats) targetCounts {
	switch {
	case t.Leaving:
		c.leaving++
	case t.Ejected:
		c.ejected++
	default:
		c.ready++
	}
	return c
}

// setPoolGauges reports the targets of each pool. The gauges of a removed pool are set to
// zero, since they would otherwise keep their last values.
func (s *Sampler) setPoolGauges(now map[string]targetCounts) {
	for pool := range s.knownPools {
		if _, ok := now[pool]; !ok {
			s.setTargetGauges(pool, targetCounts{})
		}
	}
	for pool, c := range now {
		s.knownPools[pool] = struct{}{}
		s.setTargetGauges(pool, c)
	}
}

func (s *Sampler) setTargetGauges(pool string, c targetCounts) {
	poolLabel := label{"pool", pool}
	s.series.setGauge(float64(c.ready), "routing_targets", poolLabel, label{"state", "ready"})
	s.series.setGauge(float64(c.ejected), "routing_targets", poolLabel, label{"state", "ejected"})
	s.series.setGauge(float64(c.leaving), "routing_targets", poolLabel, label{"state", "leaving"})
}
