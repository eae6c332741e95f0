package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/drain"
)

var (
	// errNoTimeToSend ends the wait for stages that won't end before a planned stop.
	errNoTimeToSend = errors.New("the instance stops before the request can be served")
	// errStopEnded cancels the requests in flight at the end of a planned stop.
	errStopEnded = errors.New("the instance stops")
)

// plannedStop is the state of a planned stop as the requests in flight see it.
type plannedStop struct {
	// begun is done once the stop has begun, ended once its last responses are due.
	begun, ended context.Context
	begin        context.CancelFunc
	end          context.CancelCauseFunc
	// window is valid once begun is done.
	window drain.Window
	once   sync.Once
}

func newPlannedStop() *plannedStop {
	s := &plannedStop{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.ended, s.end = context.WithCancelCause(context.Background())
	return s
}

// Drain begins the planned stop. noticed is the time by which the balancer has certainly noticed
// the stop, ends the time at which the last responses are due. From now on each response closes
// its connection, and requests that can't be answered before ends are refused. Requests still in
// flight at ends are cancelled.
func (s *Relay) Drain(noticed, ends time.Time) {
	s.stop.once.Do(func() {
		s.stop.window = drain.Window{Start: time.Now(), BalancerNoticed: noticed, End: ends}
		s.stop.begin()
		s.shortenStageDeadlines()
		time.AfterFunc(time.Until(ends), func() { s.stop.end(errStopEnded) })
	})
}

// shortenStageDeadlines passes the earlier deadlines on to whoever runs the stages of waiting
// requests. Requests that won't meet them are refused now, while their callers still have
// time to be served elsewhere, rather than when the time is over.
func (s *Relay) shortenStageDeadlines() {
	due := s.stageWaiters.byStageDeadline(func(q *request) time.Time {
		return s.stop.window.SendDeadline(q.drainRequest()).Add(engineFirstEventTime)
	})
	for by, ids := range due {
		s.options.Stages.ShortenDeadlines(by, ids...)
	}
}

// stopWindow returns the window of the planned stop, or false before the stop has begun.
func (s *Relay) stopWindow() (drain.Window, bool) {
	if s.stop.begun.Err() == nil {
		return drain.Window{}, false
	}
	return s.stop.window, true
}

// drainRequest returns the properties of the request that the decisions of a stop need.
func (q *request) drainRequest() drain.Request {
	return drain.Request{
		Arrived: q.arrived, Deadline: q.deadline, Streaming: q.isStream(),
		Expected: q.relay.durations.estimate(q.route.Name),
	}
}

// pastSendDeadline reports whether a planned stop leaves no time for another attempt.
func (q *request) pastSendDeadline(now time.Time) bool {
	window, stopping := q.relay.stopWindow()
	return stopping && now.After(window.SendDeadline(q.drainRequest()))
}

// withStopEnd returns a context that is also cancelled at the end of a planned stop, by
// errStopEnded.
func (q *request) withStopEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(q.relay.stop.ended, func() { cancel(errStopEnded) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// withSendDeadline returns a context that is cancelled by errNoTimeToSend once a planned stop
// leaves no time to send the request.
func (q *request) withSendDeadline(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(q.relay.stop.begun, func() {
		window, _ := q.relay.stopWindow()
		timer := time.AfterFunc(time.Until(window.SendDeadline(q.drainRequest())), func() { cancel(errNoTimeToSend) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// bodyReadDeadline limits the wait for a request's body.
type bodyReadDeadline struct {
	mu         sync.Mutex
	bodyRead   bool
	controller *http.ResponseController
}

// set sets the deadline, unless the body has been read.
func (b *bodyReadDeadline) set(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bodyRead {
		_ = b.controller.SetReadDeadline(t) // a closed connection is reported by the read
	}
}

// remove removes the deadline of a body that was read completely: from then on net/http
// watches whether the caller leaves. If the body is incomplete the deadline stays. Without it
// net/http would read the remaining body before it sends the response, however long that
// takes to arrive.
func (b *bodyReadDeadline) remove() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodyRead = true
	_ = b.controller.SetReadDeadline(time.Time{}) // a closed connection is reported by the next read
}
