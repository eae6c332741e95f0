package gather

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// AccountShare is what a client account asks of a stage service whose accounts ask for more than its
// capacity. Rates are in target-seconds a second.
type AccountShare struct {
	Service string  `json:"service"`
	Account string  `json:"account"`
	Demand  float64 `json:"demand"`
	// Share is what the account may use. It is the demand of an account within its share.
	Share float64 `json:"share"`
	// Waiting is the account's work that waits, in target-seconds.
	Waiting float64 `json:"waiting_s"`
}

// AccountShares returns the accounts of services whose accounts ask for more than the capacity: at most
// as many as given, those first that ask for most beyond their shares. It changes nothing.
func (p *Planner) AccountShares(now time.Time, most int) []AccountShare {
	var all []AccountShare
	for _, s := range p.services {
		if s.sharesBind() {
			all = append(all, s.accountShares(now)...)
		}
	}
	slices.SortFunc(all, func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(b.Demand-b.Share, a.Demand-a.Share), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	return all[:min(most, len(all))]
}

// accountShares sums the demands and the shares of all ranks by account.
func (s *service) accountShares(now time.Time) []AccountShare {
	sums := map[string]*AccountShare{}
	for _, r := range s.shares.ranks {
		r.demands.Each(now, func(account string, rate float64) {
			sum := sums[account]
			if sum == nil {
				sum = &AccountShare{Service: s.name, Account: account}
				sums[account] = sum
			}
			sum.Demand += rate
			// The level is infinite for a rank whose demands fit.
			sum.Share += math.Min(rate, r.level*s.shares.weight(account))
		})
	}
	list := make([]AccountShare, 0, len(sums))
	for account, sum := range sums {
		if queued := s.shares.queued[account]; queued != nil {
			sum.Waiting = s.workTime(queued.timely.total()) + s.workTime(queued.yielding.total())
		}
		list = append(list, *sum)
	}
	return list
}

// total returns the work of all ranks.
func (b *backlog) total() queuedWork {
	var sum queuedWork
	for _, r := range b.ranks {
		sum.add(r.total)
	}
	return sum
}
