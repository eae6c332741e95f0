package relay

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
)

// maxGrants limits the grants that are requested for one attempt. A grant is useless if this
// instance has ejected its target.
const maxGrants = 4

// grant is a grant of a send that was requested from the holder of the stage queue for an attempt
// whose stages have run, or that has none.
type grant struct {
	// request is the ID under which the holder has it, holder the holder's address. Both are
	// empty if there is none.
	request, holder string
	// number counts the grants of the request.
	number int
}

// awaitGrant returns the target to which a send was granted, when it may be sent. The grant that
// came with the stages' results is used first. A request whose turn comes too late is refused at
// once.
func (q *request) awaitGrant(ctx context.Context) (routing.Choice, error) {
	started := time.Now()
	defer func() { q.timings.grantWait += time.Since(started) }()
	var rejected []string
	err := error(&routing.NoTargetError{Pool: q.service})
	for range maxGrants {
		if q.preferredEngine == "" {
			if err := q.requestGrant(ctx, rejected); err != nil {
				return routing.Choice{}, err
			}
		}
		now := time.Now()
		if q.preferredEngine == "" && !q.sendAt.After(now) {
			break
		}
		if q.preferredEngine == "" || q.sendAt.After(q.eventDeadline(now)) {
			return routing.Choice{}, &stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: q.sendAt.Sub(now), Holder: q.grant.holder}
		}
		query := q.targetQuery()
		query.Only, q.preferredEngine = q.preferredEngine, ""
		if err := waitUntil(ctx, q.sendAt); err != nil {
			return routing.Choice{}, err
		}
		var choice routing.Choice
		if choice, err = q.pick(query); err == nil {
			return choice, nil
		}
		rejected = append(rejected, query.Only)
	}
	return routing.Choice{}, err
}

// requestGrant requests a grant from the holder of the stage queue, as a request without stages.
// It sets preferredEngine and sendAt; preferredEngine is empty if no target may be granted.
func (q *request) requestGrant(ctx context.Context, rejected []string) error {
	ctx, release := q.withSendDeadline(ctx)
	defer release()
	q.dropPreparedGrant()
	q.grant.number++
	r := q.grantRequest()
	prompt := q.prompt()
	prompt.Exclude = slices.Concat(prompt.Exclude, rejected)
	result, err := q.relay.options.Stages.Execute(ctx, r, prompt)
	q.preferredEngine, q.sendAt = result.Engine, result.SendAt
	q.grant.request, q.grant.holder = r.ID, result.Holder
	return err
}

// grantRequest returns the request for a grant.
func (q *request) grantRequest() gather.Request {
	return gather.Request{
		ID: q.call.ID + "#" + strconv.Itoa(q.grant.number), Route: q.route.Name,
		Priority: q.priority, KindPriority: q.route.Priority,
		Objective: q.objective, Deadline: q.stagesDeadline(time.Now()),
	}
}

// dropGrant reports the end of an attempt's requested grant to its holder, with the time to the first
// event; 0 if there was none.
func (q *request) dropGrant(a *attempt, firstEvent time.Duration) {
	q.drop(&a.grant, a.target.Incarnation, firstEvent)
}

// dropPreparedGrant reports to its holder that a requested grant isn't used.
func (q *request) dropPreparedGrant() { q.drop(&q.grant, "", 0) }

func (q *request) drop(g *grant, target string, firstEvent time.Duration) {
	if g.holder != "" {
		q.relay.options.Stages.Drop(g.holder, placing.RequestEnd{Request: g.request, Engine: target, FirstEvent: firstEvent})
	}
	g.request, g.holder = "", ""
}

// grantValid reports whether a request may still be sent by its grant, if it needs one.
func grantValid(paced bool, sendAt, now time.Time) bool {
	return !paced || now.Sub(sendAt) <= pacing.GrantValidity
}

// waitUntil waits until a time. It returns an error if the context ends before.
func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
