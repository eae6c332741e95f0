// Package accounts applies the budgets of client accounts that package
// coordination/budget computes: it sends grant requests to an account's home instance
// and lets callers' requests wait for the grant.
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

// MethodGrant is the method of a grant request between instances.
const MethodGrant = "budget.grant"

// maxDecisions limits how often the ledger decides on one request, first at once and
// again after each grant.
const maxDecisions = 3

// Peers calls another instance. Call blocks until the response or the end of the context.
type Peers interface {
	Call(ctx context.Context, instance, method string, body []byte) ([]byte, error)
}

// Budgets spends the accounts' budgets on one instance. It is safe for concurrent use and
// doesn't call the platform.
type Budgets struct {
	ledger *budget.Ledger
	peers  Peers
	config func() *catalog.Snapshot
	now    func() time.Time

	shards [shardCount]pendingRequests
}

// shardCount is the ledger's number of shards, so that requests of different accounts
// contend for a lock no more often here than in the ledger.
const shardCount = 16

// pendingRequests are the grant requests in flight for the accounts of a shard.
type pendingRequests struct {
	mu sync.Mutex
	// done holds a channel for each account with a grant request in flight. It is
	// closed when the request has ended.
	done map[string]chan struct{}
}

// New returns the budgets of a ledger.
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

// Take spends one request of the account's budget, or returns the delay after which to
// retry.
func (b *Budgets) Take(ctx context.Context, account *catalog.Account) (ok bool, retryAfter time.Duration) {
	for range maxDecisions {
		decision, done := b.decide(account)
		switch decision.Verdict {
		case budget.Allowed:
			return true, 0
		case budget.Refused:
			return false, decision.RetryAfter
		}
		retryAfter = decision.RetryAfter
		wait(ctx, done, retryAfter)
	}
	return false, retryAfter
}

// decide returns the ledger's decision and sends the grant request that it needs, if any.
// It also returns the channel that is closed when the account's grant request ends, nil
// if there is none.
//
// The decision and the registration of the grant request are one step under one lock.
// Otherwise another request in between would find no channel to wait for, repeat its
// decision at once and be refused after maxDecisions, although the grant is on its way.
func (b *Budgets) decide(account *catalog.Account) (budget.Decision, <-chan struct{}) {
	shard := b.shardOf(account.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	decision := b.ledger.Allow(b.now(), account)
	if decision.Request != nil && shard.done[account.Name] == nil {
		done := make(chan struct{})
		shard.done[account.Name] = done
		go b.requestGrant(shard, *decision.Request, done)
	}
	return decision, shard.done[account.Name]
}

// wait blocks until the channel is closed, the limit has passed or the context ends.
func wait(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestGrant sends a grant request to the home instance and applies the response.
func (b *Budgets) requestGrant(shard *pendingRequests, request budget.GrantRequest, done chan struct{}) {
	grant, err := b.callHome(request)
	b.completeRequest(shard, request, grant, err)
	close(done)
}

// completeRequest applies the result of a grant request to the ledger and allows the next
// grant request of the account.
//
// Both happen under one lock. Otherwise a caller's request that the grant admits could
// need the next grant request while the previous one still counts as in flight. That
// grant request would be dropped, and the ledger would wait for it until its timeout.
func (b *Budgets) completeRequest(shard *pendingRequests, request budget.GrantRequest, grant budget.Grant, err error) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.done, request.Account)
	if err != nil {
		telemetry.ErrorS(err, "Home of a budget didn't answer", telemetry.Event{Peer: request.Home})
		b.ledger.RequestFailed(b.now(), request)
		return
	}
	b.ledger.ApplyGrant(b.now(), grant)
}

func (b *Budgets) callHome(request budget.GrantRequest) (budget.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), budget.DefaultRequestTimeout)
	defer cancel()
	body, err := msgpack.Marshal(&request)
	if err != nil {
		return budget.Grant{}, errors.Wrap(err, "request budget grant: encode")
	}
	response, err := b.peers.Call(ctx, request.Home, MethodGrant, body)
	if err != nil {
		return budget.Grant{}, errors.Wrapf(err, "request budget grant from %s", request.Home)
	}
	var grant budget.Grant
	err = msgpack.Unmarshal(response, &grant)
	return grant, errors.Wrapf(err, "request budget grant from %s: decode", request.Home)
}

// HandleGrant handles MethodGrant: it responds to another instance's grant request.
func (b *Budgets) HandleGrant(body []byte) ([]byte, error) {
	var request budget.GrantRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "grant budget: decode")
	}
	grant := budget.Grant{Account: request.Account, Seq: request.Seq}
	if account, ok := b.account(request.Account); ok {
		grant = b.ledger.Grant(b.now(), request, account)
	}
	response, err := msgpack.Marshal(&grant)
	return response, errors.Wrap(err, "grant budget: encode")
}

func (b *Budgets) account(name string) (*catalog.Account, bool) {
	snapshot := b.config()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Account(name)
}
