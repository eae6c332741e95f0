package accountlimit

import (
	"cmp"
	"slices"
	"time"
)

// Share is what an account asks for and what it may send while targets reject, in requests a second
// at this instance.
type Share struct {
	Service, Account string
	Priority         int
	Demand, Share    float64
}

// Held returns the accounts that were refused for their shares a moment ago, the one with the
// greatest demand first.
func (l *Limiter) Held(now time.Time) []Share {
	var held []Share
	for name, s := range l.services {
		for key, h := range s.held {
			if h.lastRefused.IsZero() || now.Sub(h.lastRefused) >= heldTime {
				continue
			}
			held = append(held, Share{
				Service: name, Account: key.account, Priority: key.priority,
				Demand: s.demands[key.priority].Rate(now, key.account), Share: s.levels[key.priority] * l.weight(key.account),
			})
		}
	}
	slices.SortFunc(held, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	return held
}
