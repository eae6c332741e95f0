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
	// startPeriod is how long after its start an instance asks for the limits until somebody has
	// answered. By then it has heard of them by gossip.
	startPeriod = 5 * time.Second
	// retryInterval is the interval at which it asks.
	retryInterval = 100 * time.Millisecond
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
	// Synced is false if the responder has itself just started and nobody has answered it.
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
	l.initialSync.Run(ctx, l.options.Cluster, func(ctx context.Context, address string) bool {
		return l.receiveList(ctx, address) && l.received.Load()
	})
	telemetry.InfoS("Limits of targets received at the start", telemetry.Event{Count: int(l.known.Load()), Elapsed: time.Since(l.started)})
	l.retry(ctx)
	<-ctx.Done()
	return nil
}

// retry asks the neighbours until one of them has answered, or startPeriod is over. As others stop, an
// instance that starts may come to know nobody in time for the first sync.
func (l *Limits) retry(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for l.isStarting() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if neighbours := initialsync.ShuffledNeighbours(l.options.Cluster); len(neighbours) > 0 {
			l.receiveList(ctx, neighbours[0])
		}
	}
}

// isStarting reports whether the instance may lack limits that others know: none that has them has
// answered since its start.
func (l *Limits) isStarting() bool {
	return !l.received.Load() && time.Since(l.started) < startPeriod
}

// Synced reports whether the instance has asked the others for the limits at its start.
func (l *Limits) Synced() bool { return l.initialSync.Done() }

// AwaitInitialSync waits until Synced, or until the context ends.
func (l *Limits) AwaitInitialSync(ctx context.Context) { l.initialSync.Await(ctx) }

// AwaitFrom waits until the limits are known that another instance knows, or until the context ends. If
// nobody has answered since the start, it asks that instance, which is to be granted a send or hands the
// stage queue over.
func (l *Limits) AwaitFrom(ctx context.Context, address string) {
	l.initialSync.Await(ctx)
	if !l.isStarting() {
		return
	}
	l.askMu.Lock()
	ended := l.asked[address]
	if ended == nil {
		ended = make(chan struct{})
		l.asked[address] = ended
		go l.ask(address, ended)
	}
	l.askMu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// ask asks an instance for all limits. Those that wait for it share the call; an instance that has
// answered isn't asked again.
func (l *Limits) ask(address string, ended chan struct{}) {
	if !l.receiveList(context.Background(), address) {
		l.askMu.Lock()
		delete(l.asked, address)
		l.askMu.Unlock()
	}
	close(ended)
}

// receiveList receives all limits that another instance knows. It reports whether that instance has
// answered.
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
			if complete {
				l.received.Store(true)
			}
			return true
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
	page := listResponse{Synced: !l.isStarting(), More: len(changes) > pageSize}
	for _, c := range changes[:min(len(changes), pageSize)] {
		page.Changes = append(page.Changes, changeMessage{c.Target, c.Revision, c.Statement.Limited, c.Statement.PerSecond})
	}
	return msgpack.Marshal(&page)
}
