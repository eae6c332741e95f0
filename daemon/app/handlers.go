package app

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/daemon/accounts"
	"github.com/ivyhollow/ivyhollow/daemon/serve"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// registerHandlers registers the methods that other instances may call. All methods are
// idempotent except the grant: its tokens are spent even if the response is lost.
func (a *App) registerHandlers() {
	withBody := func(f func([]byte) ([]byte, error)) peer.Handler {
		return func(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) { return f(body) }
	}
	a.cluster.Handle(configwire.MethodSnapshot, withBody(a.sync.HandleSnapshot), peer.Idempotent())
	a.cluster.Handle(accounts.MethodGrant, withBody(a.accountBudgets.HandleGrant))
	a.cluster.Handle(methodClaimStatus, a.handleClaimStatus, peer.Idempotent())
	a.cluster.Handle(methodRequestStatus, withBody(a.handleRequestStatus), peer.Idempotent())
	waiting := make(chan struct{}, maxJoinHandlers)
	a.cluster.Handle(methodResponse, func(ctx context.Context, _ peer.Peer, body []byte) ([]byte, error) {
		select {
		case waiting <- struct{}{}:
			defer func() { <-waiting }()
			return a.handleAwaitResponse(ctx, body)
		default:
			return nil, errTooManyJoins
		}
	}, peer.Idempotent())
}

// maxJoinHandlers limits the handlers that wait for the responses of requests. Without
// a limit they could occupy all handler slots, and claim status requests would find none.
const maxJoinHandlers = 32

var errTooManyJoins = errors.New("too many questions wait for answers")

func (a *App) handleAwaitResponse(ctx context.Context, body []byte) ([]byte, error) {
	var q statusQuery
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "answer a join: decode")
	}
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait, serve.MaxJoinWait))
	defer cancel()
	joined, ok := a.server.JoinLocal(ctx, q.ID, q.Account)
	if !ok {
		return []byte("null"), nil
	}
	return json.Marshal(joined)
}

func (a *App) handleClaimStatus(ctx context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var q claim.StatusRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "answer claim: decode")
	}
	response := a.claims.HandleStatusRequest(ctx, q)
	return msgpack.Marshal(&response)
}

func (a *App) handleRequestStatus(body []byte) ([]byte, error) {
	var q statusQuery
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "answer request status: decode")
	}
	status, _ := a.server.LocalStatus(q.ID, q.Account) // nil means not found and is sent as null
	return json.Marshal(status)
}
