// Package accountshares holds the client accounts of an instance to their shares of what targets
// accept, and shows operators which accounts are refused or served late. coordination/accountlimit
// and coordination/accountstats decide and count.
package accountshares

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

const (
	// updateInterval is the interval of the metrics, which may be a second old.
	updateInterval = time.Second
	// logInterval is the shortest interval between two lines about accounts held to their shares.
	logInterval = 5 * time.Second
	// maxNamed limits the accounts that a line names.
	maxNamed = 8
	// unnamed stands for requests without an account.
	unnamed = "(none)"
)

// Shares holds accounts to their shares. It is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	limiter *accountlimit.Limiter
	stats   *accountstats.Table

	// queueShares returns the shares at the holder of the stage queue, and its name.
	queueShares func(context.Context) (string, []gather.AccountShare, error)

	held, largest tally.Gauge
	lastLog       time.Time
}

// New returns the shares of accounts with the given weights; others have the weight 1. queueShares
// returns the shares at the holder of the stage queue, and its name also with an error.
func New(weights map[string]float64, queueShares func(context.Context) (string, []gather.AccountShare, error), scope tally.Scope) *Shares {
	scope = scope.SubScope("accounts")
	return &Shares{
		limiter: accountlimit.New(weights), stats: accountstats.New(), queueShares: queueShares,
		held: scope.Gauge("held"), largest: scope.Gauge("largest_share"),
	}
}

// Ask decides whether a request may be sent for the first time.
func (s *Shares) Ask(r accountlimit.Request) accountlimit.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Ask(time.Now(), r)
}

// Peek returns what Ask would decide, and records nothing.
func (s *Shares) Peek(r accountlimit.Request) accountlimit.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Peek(time.Now(), r)
}

// Sent records a send to a target of a service.
func (s *Shares) Sent(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Sent(time.Now(), service)
}

// NotSent records that a send has not reached its target, or that the target doesn't count.
func (s *Shares) NotSent(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.NotSent(time.Now(), service)
}

// Rejected records that a target has rejected a send.
func (s *Shares) Rejected(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Rejected(time.Now(), service)
}

// Ended records what became of a request.
func (s *Shares) Ended(o accountstats.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Record(time.Now(), o)
}

// Run updates the metrics and logs which accounts are held to their shares, until ctx ends.
func (s *Shares) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		s.report(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Shares) report(now time.Time) {
	s.mu.Lock()
	held, largest := s.limiter.Held(now), s.stats.LargestShare(now)
	s.mu.Unlock()
	s.held.Update(float64(len(held)))
	s.largest.Update(largest)
	if len(held) == 0 || now.Sub(s.lastLog) < logInterval {
		return
	}
	s.lastLog = now
	telemetry.InfoS("Accounts held to their shares", eventOf(held))
}

// eventOf names the accounts with the greatest demands.
func eventOf(held []accountlimit.Share) telemetry.Event {
	var accounts, services []string
	for _, h := range held[:min(len(held), maxNamed)] {
		if name := cmp.Or(h.Account, unnamed); !slices.Contains(accounts, name) {
			accounts = append(accounts, name)
		}
		if !slices.Contains(services, h.Service) {
			services = append(services, h.Service)
		}
	}
	return telemetry.Event{
		Account: strings.Join(accounts, ","), Pool: strings.Join(services, ","), Count: len(held), Rate: held[0].Demand,
	}
}
