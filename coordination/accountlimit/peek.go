package accountlimit

import (
	"maps"
	"time"
)

// Peek returns what Ask would decide, and changes nothing: Ask runs on a copy of what is known of the
// service. The copy takes as long as there are accounts, so Peek isn't for each request.
func (l *Limiter) Peek(now time.Time, r Request) Verdict {
	copied := Limiter{weights: l.weights, services: map[string]*service{}}
	if s := l.services[r.Service]; s != nil {
		copied.services[r.Service] = s.clone()
	}
	return copied.Ask(now, r)
}

// clone returns an independent copy.
func (s *service) clone() *service {
	c := *s
	for p, rates := range s.demands {
		if rates != nil {
			c.demands[p] = rates.Clone()
		}
	}
	c.held = maps.Clone(s.held)
	for key, h := range c.held {
		account := *h
		c.held[key] = &account
	}
	return &c
}
