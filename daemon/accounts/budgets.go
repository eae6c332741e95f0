// Package accounts drives the client accounts' budgets of package
// coordination/budget: it carries the questions to an account's home instance
// and lets the requests wait that depend on the answer.
package accounts

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/budget"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// MethodGrant names the question to a home instance on the peers' interface.
const MethodGrant = "budget.grant"

// maxRounds bounds how often one request looks again after a grant came.
const maxRounds = 3

// Peers asks another instance; *cluster.Node is one. Call blocks until the
// answer or the context's end.
type Peers interface {
	Call(ctx context.Context, instance, method string, body []byte) ([]byte, error)
}

// Budgets spends the accounts' budgets on one instance. It is safe for
// concurrent use and makes no call to the platform.
type Budgets struct {
	ledger *budget.Ledger
	peers  Peers
	config func() *catalog.Snapshot
	now    func() time.Time

	mu sync.Mutex
	// asking holds a channel for each account whose home is being asked; it is
	// closed when the answer is in. It is bounded by the questions under way.
	asking map[string]chan struct{}
}

// New makes the driver of a ledger.
func New(ledger *budget.Ledger, peers Peers, config func() *catalog.Snapshot, now func() time.Time) *Budgets {
	return &Budgets{
		ledger: ledger,
		peers:  peers,
		config: config,
		now:    now,
		asking: make(map[string]chan struct{}),
	}
}

// Take spends one request of the account's budget, or says when to come back.
func (b *Budgets) Take(ctx context.Context, account *catalog.Account) (ok bool, retryAfter time.Duration) {
	for range maxRounds {
		decision := b.ledger.Allow(b.now(), account)
		if decision.Ask != nil {
			b.ask(*decision.Ask)
		}
		switch decision.Verdict {
		case budget.Allowed:
			return true, 0
		case budget.Refused:
			return false, decision.RetryAfter
		}
		retryAfter = decision.RetryAfter
		b.wait(ctx, account.Name, retryAfter)
	}
	return false, retryAfter
}

// wait blocks until the home of the account has answered, at most for limit.
func (b *Budgets) wait(ctx context.Context, account string, limit time.Duration) {
	b.mu.Lock()
	answered := b.asking[account]
	b.mu.Unlock()
	if answered == nil {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask puts the question to the home in the background, unless one is under way.
func (b *Budgets) ask(ask budget.Ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asking[ask.Account] != nil {
		return
	}
	answered := make(chan struct{})
	b.asking[ask.Account] = answered
	go func() {
		defer b.answered(ask.Account, answered)
		grant, err := b.call(ask)
		if err != nil {
			b.ledger.Unanswered(b.now(), ask)
			return
		}
		b.ledger.Granted(b.now(), grant)
	}()
}

func (b *Budgets) answered(account string, answered chan struct{}) {
	b.mu.Lock()
	delete(b.asking, account)
	b.mu.Unlock()
	close(answered)
}

func (b *Budgets) call(ask budget.Ask) (budget.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), budget.DefaultAskTimeout)
	defer cancel()
	body, err := msgpack.Marshal(&ask)
	if err != nil {
		return budget.Grant{}, errors.Wrap(err, "ask for budget: encode")
	}
	answer, err := b.peers.Call(ctx, ask.Home, MethodGrant, body)
	if err != nil {
		return budget.Grant{}, errors.Wrapf(err, "ask for budget at %s", ask.Home)
	}
	var grant budget.Grant
	err = msgpack.Unmarshal(answer, &grant)
	return grant, errors.Wrapf(err, "ask for budget at %s: decode", ask.Home)
}

// HandleGrant answers another instance's question; it is the handler of
// MethodGrant.
func (b *Budgets) HandleGrant(body []byte) ([]byte, error) {
	var ask budget.Ask
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "grant budget: decode")
	}
	grant := budget.Grant{Account: ask.Account, Seq: ask.Seq}
	if account, ok := b.account(ask.Account); ok {
		grant = b.ledger.Grant(b.now(), ask, account)
	}
	answer, err := msgpack.Marshal(&grant)
	return answer, errors.Wrap(err, "grant budget: encode")
}

func (b *Budgets) account(name string) (*catalog.Account, bool) {
	snapshot := b.config()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Account(name)
}
