package relay

import (
	"context"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// reasonStreamUnknown is the reason for refusing to take up a stream whose beginning isn't known, or was at a
// service that the route no longer has.
const reasonStreamUnknown = "stream_unknown"

// unknownStreamRetryAfter is the retry delay of such a refusal: instances that don't answer may be back then.
const unknownStreamRetryAfter = time.Second

// locateStream finds out at which software version a stream goes on that the caller takes up again. It returns
// false if it has sent a final response.
func (q *request) locateStream(ctx context.Context) bool {
	if !q.isStream() || q.requiredResumeID() == "" || q.relay.options.Streams == nil {
		return true
	}
	l := q.relay.options.Streams.Find(ctx, q.service, q.call.Resumes)
	telemetry.InfoS("Stream taken up again", telemetry.Event{
		RequestID: q.call.ID, Resumes: q.call.Resumes, Pool: l.Origin.Service, Version: l.Origin.Version, LastEvent: q.call.ResumeAfter,
		Reason: string(l.Reason), Count: l.Asked, Elapsed: l.Elapsed,
	})
	if !l.Known || l.Origin.Service != q.service && !q.sendsTo(l.Origin.Service) {
		q.refuse(reasonStreamUnknown, unknownStreamRetryAfter)
		return false
	}
	q.service, q.streamVersion = l.Origin.Service, l.Origin.Version
	return true
}

// sendsTo reports whether the route sends a share of its requests to a service.
func (q *request) sendsTo(service string) bool {
	return slices.ContainsFunc(q.route.TrafficSplit, func(s routes.WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// streamID returns the id of the caller's attempt that brought the first event of its stream; empty if
// the stream can't be taken up again, or the caller doesn't name the one that it takes up.
func (q *request) streamID() string {
	switch {
	case !q.route.Repeatable() || q.relay.options.Streams == nil:
		return ""
	case q.call.ResumeAfter != "":
		return q.call.Resumes
	default:
		return q.call.ID
	}
}

// bindStream restricts the stream, of which the caller now has a part, to targets of the same software
// version, also for its later tries.
func (q *request) bindStream() {
	if q.streamBound {
		return
	}
	q.streamBound = true
	if q.streamVersion == "" {
		q.streamVersion = q.current.target.Version
		q.updateContinuation()
	}
	if id := q.streamID(); id != "" {
		q.relay.options.Streams.Began(id, resumption.Origin{Service: q.service, Version: q.streamVersion})
	}
}

// endStream records that the caller's stream has ended well.
func (q *request) endStream() {
	if id := q.streamID(); id != "" {
		q.relay.options.Streams.Ended(id)
	}
}

// updateContinuation sets the query for another target, if the stream has begun.
func (q *request) updateContinuation() {
	if q.streamVersion == "" {
		return
	}
	query := q.targetQuery()
	q.continuation.Store(&query)
}

// canContinueElsewhere reports whether another target may replace the present ones. It is safe for
// concurrent use.
func (q *request) canContinueElsewhere() bool {
	query := q.continuation.Load()
	return query == nil || q.relay.options.Router.Serves(query)
}
