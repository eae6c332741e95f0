package metrics

import "github.com/ivyhollow/ivyhollow/coordination/routing"

// targets counts a pool's targets by state.
type targetCounts struct{ ready, ejected, leaving int }

// add counts one more; a leaving target that is ejected too counts as leaving.
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

// pools reports the targets of each pool. A pool that is gone counts down to
// zero: else its last reading would stand for ever.
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
	by := label{"pool", pool}
	s.series.setGauge(float64(c.ready), "routing_targets", by, label{"state", "ready"})
	s.series.setGauge(float64(c.ejected), "routing_targets", by, label{"state", "ejected"})
	s.series.setGauge(float64(c.leaving), "routing_targets", by, label{"state", "leaving"})
}
