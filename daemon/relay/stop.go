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
	// errNoTimeToSend ends the wait for stages that don't end in a planned stop.
	errNoTimeToSend = errors.New("the instance stops before the request can be served")
	// errStopOver ends what is in flight at the end of a planned stop.
	errStopEnded = errors.New("the instance stops")
)

// stopping is the planned stop as the requests in flight see it.
type plannedStop struct {
	// begun is done once the stop began, over once its last answers are due.
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

// Drain begins the planned stop, of which the balancer has surely heard by noticed: each
// further answer closes its connection, what can't be answered by ends is refused, and
// what is in flight then is ended.
func (s *Relay) Drain(noticed, ends time.Time) {
	s.stop.once.Do(func() {
		s.stop.window = drain.Window{Start: time.Now(), BalancerNoticed: noticed, End: ends}
		s.stop.begin()
		s.shortenStageDeadlines()
		time.AfterFunc(time.Until(ends), func() { s.stop.end(errStopEnded) })
	})
}

// boundStages tells whoever runs the stages of waiting requests by when they must be
// done. Those that won't be are refused now, as long as their callers have time to be
// served elsewhere, and not when the time is over.
func (s *Relay) shortenStageDeadlines() {
	due := s.stageWaiters.byStageDeadline(func(q *request) time.Time {
		return s.stop.window.SendDeadline(q.drainRequest()).Add(engineFirstEventTime)
	})
	for by, ids := range due {
		s.options.Stages.ShortenDeadlines(by, ids...)
	}
}

// draining returns the window of the planned stop; false before it.
func (s *Relay) stopWindow() (drain.Window, bool) {
	if s.stop.begun.Err() == nil {
		return drain.Window{}, false
	}
	return s.stop.window, true
}

// drainRequest is the request as the decisions of a stop see it.
func (q *request) drainRequest() drain.Request {
	return drain.Request{
		Arrived: q.arrived, Deadline: q.deadline, Streaming: q.isStream(),
		Expected: q.relay.durations.estimate(q.route.Name),
	}
}

// tooLateToSend tells that a planned stop leaves no time for another attempt.
func (q *request) pastSendDeadline(now time.Time) bool {
	window, stopping := q.relay.stopWindow()
	return stopping && now.After(window.SendDeadline(q.drainRequest()))
}

// untilStopped returns a context that ends with the planned stop too, by errStopOver.
func (q *request) withStopEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(q.relay.stop.ended, func() { cancel(errStopEnded) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// untilSendBy returns a context that ends, by errNoTimeToSend, when a planned stop leaves no
// time to send the request.
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

// bodyWait bounds the wait for a request's body.
type bodyReadDeadline struct {
	mu         sync.Mutex
	bodyRead   bool
	controller *http.ResponseController
}

// until sets the end of the wait, unless the body is there.
func (b *bodyReadDeadline) set(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bodyRead {
		_ = b.controller.SetReadDeadline(t) // a closed connection shows at the read
	}
}

// end lifts the bound of a body that has been read whole: from now on net/http watches
// whether the caller leaves. Else it stays: net/http would read the rest of the body
// before it sends the answer, however long that takes to come.
func (b *bodyReadDeadline) remove() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodyRead = true
	_ = b.controller.SetReadDeadline(time.Time{}) // a closed connection shows at the next read
}
