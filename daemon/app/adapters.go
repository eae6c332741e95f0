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

// Methods that instances call on each other. Their names are sent.
const (
	methodClaimStatus   = "claim.ask"
	methodRequestStatus = "request.status"
	methodResponse      = "request.answer"
)

// errNotMember means that no live instance has the name, or that the one that has it is
// another incarnation.
var errNotMember = errors.New("no such live instance")

// peers calls other instances by name.
type peers struct{ cluster *cluster.Cluster }

// Call calls a method of a live instance.
func (p peers) Call(ctx context.Context, instance, method string, body []byte) ([]byte, error) {
	member, ok := p.cluster.View().Find(instance)
	if !ok || !member.Live() {
		return nil, errors.Wrapf(errNotMember, "call %s at %s", method, instance)
	}
	return p.cluster.Call(ctx, member.Address, method, body)
}

// Others returns the names of the other live instances in random order.
func (p peers) Others() []string {
	members := p.cluster.Peers()
	names := make([]string, len(members))
	for i, index := range rand.Perm(len(members)) {
		names[i] = members[index].Name
	}
	return names
}

// Publish gossips records of the configuration and of the list of targets.
func (p peers) Publish(records []spread.Record) {
	for _, r := range records {
		p.cluster.Put(r)
	}
}

// claimStatusClient requests the status of claims from their claimants.
type claimStatusClient struct{ cluster *cluster.Cluster }

// ClaimStatus implements claims.StatusClient. Only the incarnation that made the claim
// knows its status: a later incarnation doesn't have the memory of the earlier one.
func (c claimStatusClient) ClaimStatus(ctx context.Context, claimant claim.Owner, q claim.StatusRequest) (claim.StatusResponse, error) {
	var response claim.StatusResponse
	member, ok := c.cluster.View().Find(claimant.Instance)
	if !ok || !member.Live() || member.Incarnation != claimant.Incarnation {
		return response, errors.Wrapf(errNotMember, "request claim status from %s", claimant.Instance)
	}
	body, err := msgpack.Marshal(&q)
	if err != nil {
		return response, errors.Wrap(err, "request claim status: encode")
	}
	reply, err := c.cluster.Call(ctx, member.Address, methodClaimStatus, body)
	if err != nil {
		return response, errors.Wrapf(err, "request claim status from %s", claimant.Instance)
	}
	err = msgpack.Unmarshal(reply, &response)
	return response, errors.Wrapf(err, "request claim status from %s: decode", claimant.Instance)
}

// statusQuery requests the status of a request, or its response, for an account.
type statusQuery struct {
	ID      string `msgpack:"i"`
	Account string `msgpack:"a"`
	// Wait is the maximum wait for the response. Only methodResponse uses it.
	Wait time.Duration `msgpack:"w,omitempty"`
}

// forwarder implements serve.Forwarder. It calls the instance that the request's id names.
type forwarder struct{ cluster *cluster.Cluster }

// RequestStatus implements serve.Forwarder.
func (f forwarder) RequestStatus(ctx context.Context, id requestid.ID, account, text string) (*callerapi.RequestStatus, error) {
	var status *callerapi.RequestStatus
	err := f.call(ctx, id, methodRequestStatus, statusQuery{ID: text, Account: account}, &status)
	return status, err
}

// AwaitResponse implements serve.Forwarder.
func (f forwarder) AwaitResponse(ctx context.Context, id requestid.ID, account, text string, wait time.Duration) (*serve.JoinResult, error) {
	var joined *serve.JoinResult
	err := f.call(ctx, id, methodResponse, statusQuery{ID: text, Account: account, Wait: wait}, &joined)
	return joined, err
}

// call sends a query to the instance and incarnation that the request's id names, and
// decodes the reply into result.
func (f forwarder) call(ctx context.Context, id requestid.ID, method string, q statusQuery, result any) error {
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
	return errors.Wrapf(json.Unmarshal(reply, result), "%s at %s: decode", method, id.Instance)
}
