package app

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/cluster"
	"github.com/ivyhollow/ivyhollow/daemon/serve"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/requestid"
)

// Methods that instances call at one another.
const (
	methodClaimStatus   = "claim.ask"
	methodRequestStatus = "request.status"
	methodResponse      = "request.answer"
)

// errNotMember says that no live instance has the name, or the incarnation.
var errNotMember = errors.New("no such live instance")

// peers reaches other instances by name.
type peers struct{ cluster *cluster.Cluster }

// Call asks a live instance.
func (p peers) Call(ctx context.Context, instance, method string, body []byte) ([]byte, error) {
	member, ok := p.cluster.View().Find(instance)
	if !ok || !member.Live() {
		return nil, errors.Wrapf(errNotMember, "call %s at %s", method, instance)
	}
	return p.cluster.Call(ctx, member.Address, method, body)
}

// Others names the other live instances in random order.
func (p peers) Others() []string {
	members := p.cluster.Peers()
	names := make([]string, len(members))
	for i, place := range rand.Perm(len(members)) {
		names[i] = members[place].Name
	}
	return names
}

// Publish spreads records of the configuration and of the list of targets.
func (p peers) Publish(records []spread.Record) {
	for _, r := range records {
		p.cluster.Put(r)
	}
}

// asker puts questions about claims to their claimants.
type claimStatusClient struct{ cluster *cluster.Cluster }

// AskClaim implements claims.Asker. Only the very incarnation that made the
// claim can answer for it: a later one has none of its memory.
func (a claimStatusClient) ClaimStatus(ctx context.Context, claimant claim.Owner, q claim.StatusRequest) (claim.StatusResponse, error) {
	var answer claim.StatusResponse
	member, ok := a.cluster.View().Find(claimant.Instance)
	if !ok || !member.Live() || member.Incarnation != claimant.Incarnation {
		return answer, errors.Wrapf(errNotMember, "ask claim at %s", claimant.Instance)
	}
	body, err := msgpack.Marshal(&q)
	if err != nil {
		return answer, errors.Wrap(err, "ask claim: encode")
	}
	reply, err := a.cluster.Call(ctx, member.Address, methodClaimStatus, body)
	if err != nil {
		return answer, errors.Wrapf(err, "ask claim at %s", claimant.Instance)
	}
	err = msgpack.Unmarshal(reply, &answer)
	return answer, errors.Wrapf(err, "ask claim at %s: decode", claimant.Instance)
}

// statusQuestion asks for the status of a request on behalf of an account.
type statusQuery struct {
	ID      string `msgpack:"i"`
	Account string `msgpack:"a"`
	// Wait is how long to wait for an answer, for methodAnswer alone.
	Wait time.Duration `msgpack:"w,omitempty"`
}

// forwarder passes questions about requests on.
type forwarder struct{ cluster *cluster.Cluster }

// RequestStatus implements serve.Forwarder.
func (f forwarder) RequestStatus(ctx context.Context, id requestid.ID, account, text string) (*callerapi.RequestStatus, error) {
	var status *callerapi.RequestStatus
	err := f.call(ctx, id, methodRequestStatus, statusQuery{ID: text, Account: account}, &status)
	return status, err
}

// RequestAnswer implements serve.Forwarder.
func (f forwarder) AwaitResponse(ctx context.Context, id requestid.ID, account, text string, wait time.Duration) (*serve.JoinResult, error) {
	var joined *serve.JoinResult
	err := f.call(ctx, id, methodResponse, statusQuery{ID: text, Account: account, Wait: wait}, &joined)
	return joined, err
}

// ask puts a question to the very incarnation that the request's id names.
func (f forwarder) call(ctx context.Context, id requestid.ID, method string, q statusQuery, answer any) error {
	member, ok := f.cluster.View().Find(id.Instance)
	if !ok || !member.Live() || member.Incarnation != id.Incarnation {
		return errors.Wrapf(errNotMember, "%s at %s", method, id.Instance)
	}
	body, err := msgpack.Marshal(&q)
	if err != nil {
		return errors.Wrapf(err, "%s: encode", method)
	}
	reply, err := f.cluster.Call(ctx, member.Address, method, body)
	if err != nil {
		return errors.Wrapf(err, "%s at %s", method, id.Instance)
	}
	return errors.Wrapf(json.Unmarshal(reply, answer), "%s at %s: decode", method, id.Instance)
}
