package fairshare

import (
	"container/list"
	"math"
	"time"
)

// forgetHalfLives is the number of half-lives after which an account that asks for nothing is
// removed. A thousandth of its rate is left then.
const forgetHalfLives = 10

// Rates holds the decaying rates at which accounts ask for capacity. An account that asked for
// nothing has earned nothing: there is no credit. The number of accounts is bounded; beyond it the
// account that asked least recently is removed and later counts as new.
type Rates struct {
	halfLife time.Duration
	most     int
	accounts map[string]*list.Element
	// recent has the entries, the one that asked last at the front.
	recent *list.List
}

// entry is the decaying sum of what one account asked for.
type entry struct {
	account string
	sum     float64
	at      time.Time
}

// NewRates returns rates with a half-life, for a maximum number of accounts.
func NewRates(halfLife time.Duration, most int) *Rates {
	return &Rates{halfLife: halfLife, most: max(most, 1), accounts: map[string]*list.Element{}, recent: list.New()}
}

// Clone returns an independent copy.
func (r *Rates) Clone() *Rates {
	c := NewRates(r.halfLife, r.most)
	for known := r.recent.Front(); known != nil; known = known.Next() {
		e := *known.Value.(*entry)
		c.accounts[e.account] = c.recent.PushBack(&e)
	}
	return c
}

// Add records that an account asks for an amount of capacity.
func (r *Rates) Add(now time.Time, account string, cost float64) {
	if known := r.accounts[account]; known != nil {
		e := known.Value.(*entry)
		e.sum = r.decayed(now, e) + cost
		if now.After(e.at) {
			e.at = now
		}
		r.recent.MoveToFront(known)
		return
	}
	if len(r.accounts) >= r.most {
		r.remove(r.recent.Back())
	}
	r.accounts[account] = r.recent.PushFront(&entry{account, cost, now})
}

// Rate returns what an account asks for, a second.
func (r *Rates) Rate(now time.Time, account string) float64 {
	known := r.accounts[account]
	if known == nil {
		return 0
	}
	return r.rate(now, known.Value.(*entry))
}

// Demands returns the demands of all accounts, the one that asked last first.
func (r *Rates) Demands(now time.Time, weight func(account string) float64) []Demand {
	demands := make([]Demand, 0, len(r.accounts))
	for known := r.recent.Front(); known != nil; known = known.Next() {
		e := known.Value.(*entry)
		demands = append(demands, Demand{Rate: r.rate(now, e), Weight: weight(e.account)})
	}
	return demands
}

// Each calls f with the rate of each account, the one that asked last first.
func (r *Rates) Each(now time.Time, f func(account string, rate float64)) {
	for known := r.recent.Front(); known != nil; known = known.Next() {
		e := known.Value.(*entry)
		f(e.account, r.rate(now, e))
	}
}

// Prune removes the accounts whose rates have decayed to nothing.
func (r *Rates) Prune(now time.Time) {
	for last := r.recent.Back(); last != nil; last = r.recent.Back() {
		if now.Sub(last.Value.(*entry).at) < forgetHalfLives*r.halfLife {
			return
		}
		r.remove(last)
	}
}

func (r *Rates) remove(known *list.Element) {
	delete(r.accounts, known.Value.(*entry).account)
	r.recent.Remove(known)
}

func (r *Rates) decayed(now time.Time, e *entry) float64 {
	return e.sum * math.Exp2(-max(now.Sub(e.at), 0).Seconds()/r.halfLife.Seconds())
}

// rate is the constant rate whose decaying sum is that of the entry.
func (r *Rates) rate(now time.Time, e *entry) float64 {
	return r.decayed(now, e) * math.Ln2 / r.halfLife.Seconds()
}
