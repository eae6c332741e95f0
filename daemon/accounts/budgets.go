// Package accounts drives the client accounts' budgets of package
// coordination/budget: it carries the questions to an account's home instance
// and lets the requests wait that depend on the answer.
package accounts

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/budget"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// MethodGrant names the question to a home instance on the peers' interface.
const MethodGrant = "budget.grant"

// maxRounds bounds how often one request looks again after a grant came.
const maxDecisions = 3

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

	shards [shardCount]pendingRequests
}

// questionShards is as many as the ledger has, so that requests of different
// accounts contend here no more than there.
const shardCount = 16

// questions are the questions under way about some of the accounts.
type pendingRequests struct {
	mu sync.Mutex
	// asking holds a channel for each account whose home is being asked; it is
	// closed when the answer is in.
	done map[string]chan struct{}
}

// New makes the driver of a ledger.
func New(ledger *budget.Ledger, peers Peers, config func() *catalog.Snapshot, now func() time.Time) *Budgets {
	b := &Budgets{ledger: ledger, peers: peers, config: config, now: now}
	for i := range b.shards {
		b.shards[i].done = make(map[string]chan struct{})
	}
	return b
}

func (b *Budgets) shardOf(account string) *pendingRequests {
	return &b.shards[xxhash.Sum64String(account)%shardCount]
}

// Take spends one request of the account's budget, or says when to come back.
func (b *Budgets) Take(ctx context.Context, account *catalog.Account) (ok bool, retryAfter time.Duration) {
	for range maxDecisions {
		decision, answered := b.decide(account)
		switch decision.Verdict {
		case budget.Allowed:
			return true, 0
		case budget.Refused:
			return false, decision.RetryAfter
		}
		retryAfter = decision.RetryAfter
		wait(ctx, answered, retryAfter)
	}
	return false, retryAfter
}

// decide asks the ledger and puts the question that it raises. A request that is
// to wait gets the channel that is closed with the answer.
//
// The decision and its question are one step under one lock. Between them, another
// request would be told to wait for a question that nobody finds yet, look again at
// once, and be refused after maxRounds although the answer is on its way.
func (b *Budgets) decide(account *catalog.Account) (budget.Decision, <-chan struct{}) {
	q := b.shardOf(account.Name)
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := b.ledger.Allow(b.now(), account)
	if decision.Request != nil && q.done[account.Name] == nil {
		answered := make(chan struct{})
		q.done[account.Name] = answered
		go b.requestGrant(q, *decision.Request, answered)
	}
	return decision, q.done[account.Name]
}

// wait blocks until the answer is in, at most for limit.
func wait(ctx context.Context, answered <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask puts the question to the home and ends it.
func (b *Budgets) requestGrant(q *pendingRequests, ask budget.GrantRequest, answered chan struct{}) {
	grant, err := b.callHome(ask)
	b.completeRequest(q, ask, grant, err)
	close(answered)
}

// settle has the ledger take in an answer, and lets another question about the
// account be put.
//
// Both happen under one lock. Between them, a request that the grant serves could
// raise the next question while the old one still counts as under way; it would be
// dropped, and the ledger would wait for its answer to the time-out.
func (b *Budgets) completeRequest(q *pendingRequests, ask budget.GrantRequest, grant budget.Grant, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.done, ask.Account)
	if err != nil {
		telemetry.ErrorS(err, "Home of a budget didn't answer", telemetry.Event{Peer: ask.Home})
		b.ledger.RequestFailed(b.now(), ask)
		return
	}
	b.ledger.ApplyGrant(b.now(), grant)
}

func (b *Budgets) callHome(ask budget.GrantRequest) (budget.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), budget.DefaultRequestTimeout)
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
	var ask budget.GrantRequest
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
