package metrics

import "github.com/ivyhollow/ivyhollow/coordination/routing"

// targets counts a pool's targets by state.
type targets struct{ ready, ejected, leaving int }

// add counts one more; a leaving target that is ejected too counts as leaving.
func (c targets) add(t routing.TargetStats) targets {
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
func (s *Sampler) pools(now map[string]targets) {
	for pool := range s.known {
		if _, ok := now[pool]; !ok {
			s.targets(pool, targets{})
		}
	}
	for pool, c := range now {
		s.known[pool] = struct{}{}
		s.targets(pool, c)
	}
}

func (s *Sampler) targets(pool string, c targets) {
	by := label{"pool", pool}
	s.series.gauge(float64(c.ready), "routing_targets", by, label{"state", "ready"})
	s.series.gauge(float64(c.ejected), "routing_targets", by, label{"state", "ejected"})
	s.series.gauge(float64(c.leaving), "routing_targets", by, label{"state", "leaving"})
}
