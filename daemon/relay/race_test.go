package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// raceRequest returns a request for a stream of which the caller has the events up to lastEvent.
func raceRequest(t *testing.T, m StageRunner, lastEvent string) (*request, *httptest.ResponseRecorder) {
	s := stagedRelay(m)
	s.options.Budgets = retrybudget.New(retry.Config{})
	s.options.Client = forward.New(forward.ClientOptions{})
	s.options.InUse = func(string) bool { return false }
	s.options.KnowledgeAge = func() time.Duration { return 0 }
	route, _ := s.options.Table().Match("example.com", "/")
	route.Kind, route.Resumable, route.MaxAttempts = routes.KindStreaming, true, 3
	w := httptest.NewRecorder()
	now := time.Now()
	q := &request{
		relay: s, w: w, r: httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")),
		route: route, service: "engine", call: exchange.CallerRequest{ID: "a"}, lastEventID: lastEvent, headerSent: lastEvent != "",
		arrived: now, deadline: now.Add(time.Minute), inbox: newInbox(), silences: make(chan *attempt, 1),
	}
	t.Cleanup(q.abandonAll)
	return q, w
}

// openAttempt adds an attempt that nothing reads.
func openAttempt(q *request, incarnation string) *attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, span := q.relay.options.Tracer.Start(ctx, "test")
	a := &attempt{
		target: routing.Target{Incarnation: incarnation, Version: "v1"}, started: time.Now(), lastData: time.Now(),
		tracked: q.relay.options.Router.Started(time.Now(), incarnation, 1), ctx: ctx, cancel: cancel, span: span,
		abandoned: make(chan struct{}), events: sse.NewSplitter(0, q.requiredResumeID()),
		silence: newSilenceTimer(noTimeout, func() bool { return false }),
	}
	q.open = append(q.open, a)
	return a
}

func streamHead(incarnation string) *replyHead {
	return &replyHead{
		status: http.StatusOK, length: -1, framing: "chunks", header: http.Header{"Target": {incarnation}},
		parsed: exchange.TargetResponse{Signed: true},
	}
}

func isAbandoned(a *attempt) bool {
	select {
	case <-a.abandoned:
		return a.ctx.Err() != nil
	default:
		return false
	}
}

// Guards against events of two targets in one stream: both speak, in either order.
func TestOnlyOneOfTwoTargetsGoesOn(t *testing.T) {
	for name, otherFirst := range map[string]bool{"the silent target first": false, "the other target first": true} {
		t.Run(name, func(t *testing.T) {
			q, w := raceRequest(t, &granter{}, "1")
			first, second := openAttempt(q, "silent"), openAttempt(q, "other")
			if otherFirst {
				first, second = second, first
			}
			for _, a := range []*attempt{first, second} {
				done, err := q.receive(t.Context(), message{from: a, head: streamHead(a.target.Incarnation), data: []byte("id: 2\n\n")})
				require.NoError(t, err)
				require.False(t, done)
			}
			require.False(t, isAbandoned(first))
			require.True(t, isAbandoned(second), "the slot of the loser must be free at once")
			done, err := q.receive(t.Context(), message{from: first, head: first.head, data: []byte("id: 3\n\n"), err: io.EOF})
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, "id: 2\n\nid: 3\n\n", w.Body.String())
			require.Empty(t, q.open)
			require.Equal(t, []string{second.target.Incarnation}, q.excluded)
		})
	}
}

// Guards against a stream that loses its place to a part of an event.
func TestPartOfAnEventDecidesNothing(t *testing.T) {
	q, w := raceRequest(t, &granter{}, "1")
	silent, other := openAttempt(q, "silent"), openAttempt(q, "other")
	for _, m := range []message{
		{from: other, head: streamHead("other"), data: []byte("id: 2\nda")},
		{from: silent, head: streamHead("silent"), data: []byte("id: 2\n\n")},
	} {
		_, err := q.receive(t.Context(), m)
		require.NoError(t, err)
	}
	require.True(t, isAbandoned(other))
	require.Equal(t, "id: 2\n\n", w.Body.String())
}

// Guards against a request that ends with the first of its open attempts to fail.
func TestFailureOfOneAttemptEndsNothing(t *testing.T) {
	refusal := &replyHead{status: http.StatusServiceUnavailable, parsed: exchange.TargetResponse{NotRun: true}}
	for name, m := range map[string]message{
		"refused": {head: refusal, err: io.EOF},
		"broken":  {head: streamHead("other"), err: io.ErrUnexpectedEOF},
		"plain":   {head: &replyHead{status: http.StatusBadGateway, parsed: exchange.TargetResponse{Signed: true}}, err: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			q, w := raceRequest(t, &granter{}, "1")
			silent := openAttempt(q, "silent")
			m.from = openAttempt(q, "other")
			done, err := q.receive(t.Context(), m)
			require.NoError(t, err)
			require.False(t, done)
			require.Equal(t, []*attempt{silent}, q.open)
			done, err = q.receive(t.Context(), message{from: silent, head: streamHead("silent"), data: []byte("id: 2\n\n"), err: io.EOF})
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, "id: 2\n\n", w.Body.String())
		})
	}
}

// Guards against a failure of our own in place of a target's response that was received.
func TestReceivedReplyIsKeptForTheCaller(t *testing.T) {
	q, w := raceRequest(t, &granter{}, "")
	q.route.MaxEventGap, q.route.MaxAttempts = 0, 2
	silent, other := openAttempt(q, "silent"), openAttempt(q, "other")
	head := &replyHead{status: http.StatusInternalServerError, parsed: exchange.TargetResponse{Signed: true}}
	done, err := q.receive(t.Context(), message{from: other, head: head, data: []byte("its own"), err: io.EOF})
	require.NoError(t, err)
	require.False(t, done)
	_, err = q.receive(t.Context(), message{from: silent, err: io.ErrUnexpectedEOF})
	require.Error(t, err)
	q.sendFailure(t.Context(), err)
	require.Equal(t, http.StatusInternalServerError, w.Code)
	require.Equal(t, "its own", w.Body.String())
}

// Guards against more open attempts than a route allows.
func TestOpenAttemptsCountAsRuns(t *testing.T) {
	q, _ := raceRequest(t, &granter{}, "1")
	require.True(t, q.mayRetry())
	openAttempt(q, "a")
	require.True(t, q.mayRetry())
	openAttempt(q, "b")
	require.True(t, q.mayRetry())
	openAttempt(q, "c")
	require.False(t, q.mayRetry())
	q.abandon(q.open[0])
	require.False(t, q.mayRetry(), "an abandoned attempt may have run")
}

// Guards against a grant that is counted until the request ends, and one that is given back twice.
func TestGrantOfAnAbandonedAttemptIsDroppedOnce(t *testing.T) {
	g := &granter{}
	q, _ := raceRequest(t, g, "1")
	silent, other := openAttempt(q, "silent"), openAttempt(q, "other")
	silent.grant = grant{request: "a#1", holder: "h"}
	other.grant = grant{request: "a#2", holder: "h"}
	for range 2 {
		_, err := q.receive(t.Context(), message{from: other, head: streamHead("other"), data: []byte("id: 2\n\n")})
		if err != nil {
			break // the second event is the same one again
		}
	}
	var dropped []string
	for _, end := range g.dropped {
		dropped = append(dropped, end.Request)
	}
	require.ElementsMatch(t, []string{"a#1", "a#2"}, dropped)
}

// Guards against a search that goes on, and holds its place in the queue, after the silent target
// has responded.
func TestSearchEndsWhenTheTargetResponds(t *testing.T) {
	runner := &stageRunner{started: make(chan gather.Request, 1)}
	q, _ := raceRequest(t, runner, "1")
	silent := openAttempt(q, "silent")
	silent.lastData = time.Now().Add(-time.Minute)
	go func() {
		<-runner.started
		q.inbox.put(message{from: silent, head: streamHead("silent"), data: []byte("id: 2\n\n")})
	}()
	q.seekReplacement(t.Context(), silent)
	require.Equal(t, []*attempt{silent}, q.open)
	require.Equal(t, silent, (<-q.inbox.messages).from)
}

// Guards against a silent target that is given up when the holder of the queue refuses another one.
func TestRefusedSearchKeepsTheAttempt(t *testing.T) {
	q, _ := raceRequest(t, &refuser{}, "1")
	silent := openAttempt(q, "silent")
	silent.lastData = time.Now().Add(-time.Minute)
	q.seekReplacement(t.Context(), silent)
	require.Equal(t, []*attempt{silent}, q.open)
	require.False(t, isAbandoned(silent))
	silent.silence.mu.Lock()
	defer silent.silence.mu.Unlock()
	require.WithinDuration(t, time.Now().Add(3*time.Second), silent.silence.due, time.Second, "sought again too soon or never")
}

// Guards against an attempt that is left alone with a silent target, since another one was
// allowed only after the first had refused.
func TestRefusalAllowsAnotherSearch(t *testing.T) {
	q, _ := raceRequest(t, &granter{}, "1")
	q.route.MaxAttempts = 2
	silent, other := openAttempt(q, "silent"), openAttempt(q, "other")
	_, err := q.receive(t.Context(), message{from: silent, head: &replyHead{parsed: exchange.TargetResponse{NotRun: true}}, err: io.EOF})
	require.NoError(t, err)
	other.silence.mu.Lock()
	defer other.silence.mu.Unlock()
	require.WithinDuration(t, time.Now().Add(maxFirstByteDelay), other.silence.due, maxFirstByteDelay/2)
}

// Guards against results of stages that are kept after they were read, or freed while an attempt
// still has to read them.
func TestResultsAreFreedOnceTheyAreRead(t *testing.T) {
	for name, c := range map[string]struct{ lastEvent, speaks string }{
		"before the first event, the silent target": {"", "silent"},
		"before the first event, the other target":  {"", "other"},
		"of a begun stream, the silent target":      {"1", "silent"},
		"of a begun stream, the other target":       {"1", "other"},
	} {
		t.Run(name, func(t *testing.T) {
			g := &granter{}
			q, _ := raceRequest(t, g, c.lastEvent)
			attempts := map[string]*attempt{"silent": openAttempt(q, "silent"), "other": openAttempt(q, "other")}
			q.resultHandles, q.owner = []string{"handle"}, "h"
			a := attempts[c.speaks]
			_, err := q.receive(t.Context(), message{from: a, head: streamHead(c.speaks), data: []byte("id: ")})
			require.NoError(t, err)
			require.Empty(t, g.dropped, "the other attempt may still read them")
			_, err = q.receive(t.Context(), message{from: a, head: a.head, data: []byte("2\n\n")})
			require.NoError(t, err)
			require.Len(t, g.dropped, 1)
			require.Equal(t, c.speaks, g.dropped[0].Engine)
			require.Nil(t, q.resultHandles, "another attempt needs new ones")
		})
	}
}

// Guards against a holder that isn't told of the end of a stream, or is told of it twice.
func TestEndOfStreamIsReported(t *testing.T) {
	for name, end := range map[string]func(*request, *attempt){
		"complete":  func(q *request, a *attempt) { q.close(t.Context(), a, routing.OutcomeOK, nil) },
		"abandoned": func(q *request, a *attempt) { q.abandon(a) },
	} {
		t.Run(name, func(t *testing.T) {
			g := &granter{}
			q, _ := raceRequest(t, g, "")
			q.relay.costs = cost.NewModel()
			a := openAttempt(q, "silent")
			q.resultHandles, q.owner = []string{"handle"}, "h"
			_, err := q.receive(t.Context(), message{from: a, head: streamHead("silent"), data: []byte("id: 2\n\n")})
			require.NoError(t, err)
			require.Len(t, g.dropped, 1)
			require.True(t, g.dropped[0].Running)
			end(q, a)
			q.reportStreamEnd(a, true)
			require.Len(t, g.dropped, 2)
			require.True(t, g.dropped[1].EndsStream())
			require.Equal(t, name == "complete", g.dropped[1].Complete)
		})
	}
}

// refuser refuses all stages.
type refuser struct{ stageRunner }

func (*refuser) Execute(context.Context, gather.Request, placing.Prompt) (stages.Result, error) {
	return stages.Result{}, &stages.RefusedError{Reason: "queue_too_long", RetryAfter: 3 * time.Second}
}
