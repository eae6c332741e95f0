package limits

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/targetlimit"
	"github.com/ivyhollow/ivyhollow/daemon/initialsync"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodList returns the limits that an instance knows, a page at a time.
const methodList = "limits.list"

const (
	// pageSize is the maximum number of targets in a response: some 150 KB.
	pageSize = 2000
	// listTimeout limits one call.
	listTimeout = 500 * time.Millisecond
)

// Cluster connects the instances.
type Cluster interface {
	initialsync.Cluster
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// listRequest requests the targets whose names follow After. Its fields are sent by name.
type listRequest struct {
	After string
}

// listResponse is a page. Its fields are sent by name.
type listResponse struct {
	// Synced is false if the responder has itself just started and may lack limits.
	Synced  bool
	Changes []changeMessage
	// More is true if other pages follow.
	More bool
}

// changeMessage is the latest change of a target's limit. Its fields are sent by name.
type changeMessage struct {
	Target    string  `msgpack:"t"`
	Revision  uint64  `msgpack:"r"`
	Limited   bool    `msgpack:"l"`
	PerSecond float64 `msgpack:"p"`
}

// Run receives the limits that other instances know. Then it waits for the end of ctx.
func (l *Limits) Run(ctx context.Context) error {
	started := time.Now()
	l.initialSync.Run(ctx, l.options.Cluster, l.receiveList)
	telemetry.InfoS("Limits of targets received at the start", telemetry.Event{Count: int(l.known.Load()), Elapsed: time.Since(started)})
	<-ctx.Done()
	return nil
}

// Synced reports whether the instance has received the limits that others know, as far as it has
// reached any.
func (l *Limits) Synced() bool { return l.initialSync.Done() }

// AwaitInitialSync waits until Synced, or until the context ends.
func (l *Limits) AwaitInitialSync(ctx context.Context) { l.initialSync.Await(ctx) }

// receiveList receives all limits that another instance knows. It returns false if they may be
// incomplete.
func (l *Limits) receiveList(ctx context.Context, address string) bool {
	complete := true
	for after := ""; ; {
		page, err := l.callList(ctx, address, after)
		if err != nil {
			if !errors.Is(err, peer.ErrNoMethod) && ctx.Err() == nil {
				telemetry.ErrorS(err, "Limits of targets not received", telemetry.Event{Peer: address})
			}
			return false
		}
		l.apply(decode(page.Changes)...)
		complete = complete && page.Synced
		if !page.More || len(page.Changes) == 0 {
			return complete
		}
		after = page.Changes[len(page.Changes)-1].Target
	}
}

func decode(messages []changeMessage) []targetlimit.Change {
	changes := make([]targetlimit.Change, len(messages))
	for i, m := range messages {
		changes[i] = targetlimit.Change{
			Target: m.Target, Revision: m.Revision, Statement: targetlimit.Statement{Limited: m.Limited, PerSecond: m.PerSecond},
		}
	}
	return changes
}

// callList requests a page.
func (l *Limits) callList(ctx context.Context, address, after string) (listResponse, error) {
	var page listResponse
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	body, err := msgpack.Marshal(&listRequest{After: after})
	if err != nil {
		return page, errors.Wrap(err, "encode")
	}
	body, err = l.options.Cluster.Call(ctx, address, methodList, body)
	if err != nil {
		return page, err
	}
	return page, errors.Wrap(msgpack.Unmarshal(body, &page), "decode")
}

// handleList returns a page to an instance that has started.
func (l *Limits) handleList(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var request listRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	l.mu.Lock()
	changes := l.table.Changes(request.After, pageSize+1)
	l.mu.Unlock()
	page := listResponse{Synced: l.Synced(), More: len(changes) > pageSize}
	for _, c := range changes[:min(len(changes), pageSize)] {
		page.Changes = append(page.Changes, changeMessage{c.Target, c.Revision, c.Statement.Limited, c.Statement.PerSecond})
	}
	return msgpack.Marshal(&page)
}
