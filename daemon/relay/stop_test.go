package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// balancerDelay is how long the balancer takes to notice a stop in these tests.
const balancerDelay = 2500 * time.Millisecond

// dialect parses every call as one with the same ID and pieces.
type dialect struct{ exchange.Dialect }

func (dialect) ParseCallerRequest(*http.Request) (exchange.CallerRequest, error) {
	return exchange.CallerRequest{ID: "a", PieceCounts: []int{1}}, nil
}

func (dialect) SetRequestID(http.Header, string) {}

func (dialect) CallerResponseHeader(h http.Header) http.Header { return h }

// A request has an unknown key, and a store that doesn't answer is asked for a newer configuration.
// Meanwhile the instance stops. The caller must get a response, which must state that the request
// hasn't run rather than that the key is wrong.
func TestStopEndsWaitForConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &routes.Route{Name: "r", Host: "example.com", Prefix: "/"}
		table := routes.Build(routes.Table{RequiresKeys: true}, []*routes.Route{route}, nil)
		confirming := make(chan struct{})
		s := New(Options{
			Dialect: dialect{}, Scope: tally.NoopScope,
			Table: func() *routes.Table { return table },
			Confirm: func(ctx context.Context) bool {
				close(confirming)
				<-ctx.Done()
				return false
			},
		})
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		}()
		<-confirming
		s.Drain(time.Now(), time.Now().Add(time.Second))
		<-answered
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "close", w.Header().Get("Connection"))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	})
}

// stageRunner runs stages that don't end. It refuses a request as soon as the request gets an earlier
// deadline, like a holder of the stage queue that predicts a later end.
type stageRunner struct {
	started chan gather.Request
	refused chan time.Time
	// unreachable is true if the runner doesn't receive the deadlines that a stop shortens.
	unreachable bool
	// retryAfter is the retry delay of a refusal.
	retryAfter time.Duration
}

func (m *stageRunner) Execute(ctx context.Context, r gather.Request, _ placing.Prompt) (stages.Result, error) {
	m.started <- r
	select {
	case <-m.refused:
		return stages.Result{}, &stages.RefusedError{Reason: gather.ReasonStopping, RetryAfter: m.retryAfter}
	case <-ctx.Done():
		return stages.Result{}, context.Cause(ctx)
	}
}

func (m *stageRunner) Drop(string, placing.RequestEnd) {}

func (m *stageRunner) ReportUnreachable(string, string, string) {}

func (m *stageRunner) ShortenDeadlines(until time.Time, ids ...string) {
	if !m.unreachable && len(ids) == 1 && ids[0] == "a" {
		m.refused <- until
	}
}

// stagedRelay returns a relay with one target and one route with one stage.
func stagedRelay(m StageRunner) *Relay {
	route := &routes.Route{
		Name: "r", Host: "example.com", Prefix: "/", LatencyObjective: 5 * time.Second, MaxEventGap: time.Second,
		Timeout: 20 * time.Second, Stages: []routes.Stage{{Service: "stage"}},
		TrafficSplit: []routes.WeightedService{{Service: "engine", Weight: 1}},
	}
	table := routes.Build(routes.Table{}, []*routes.Route{route}, nil)
	router := routing.New(routing.Config{})
	pool := routing.Pool{Name: "engine", Objective: catalog.ObjectiveAttainment}
	router.SetTargets(time.Now(), pool, []routing.Target{{Incarnation: "e", Name: "e", Pool: "engine", Address: "x", Slots: 1}})
	return New(Options{
		Dialect: dialect{}, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
		Table: func() *routes.Table { return table }, Router: router, Stages: m,
		Blocklist: blocklist.None{},
	})
}

// A request waits for its stages when its instance begins to stop, and they won't be done before the
// instance ends. Its caller must be refused at once, while another instance can still serve it.
func TestStopShortensStageDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &stageRunner{started: make(chan gather.Request, 1), refused: make(chan time.Time, 1)}
		s := stagedRelay(m)
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		}()
		started := <-m.started
		stop := time.Now()
		s.Drain(stop.Add(balancerDelay), stop.Add(7*time.Second))
		<-answered
		require.Equal(t, stop, time.Now(), "the refusal was delayed")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Contains(t, w.Body.String(), "stopping")
		require.True(t, started.Deadline.After(stop.Add(7*time.Second)))
	})
}

// A request waits for its stages when its instance begins to stop, but the runner of the stages
// doesn't receive the earlier deadline. The request must be refused when no time is left to send it.
func TestStopRefusesWaitingRequestAtSendDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &stageRunner{started: make(chan gather.Request, 1), unreachable: true}
		s := stagedRelay(m)
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		}()
		<-m.started
		stop := time.Now()
		s.Drain(stop.Add(balancerDelay), stop.Add(7*time.Second))
		<-answered
		require.Equal(t, 4*time.Second, time.Since(stop))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
}

// The body of a request that must not be repeated is complete only when no time is left to send it.
// If it were sent, it would run, and its caller would be told only that it may have run.
func TestStopSendsNothingAfterSendDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stagedRelay(&stageRunner{})
		route, _ := s.options.Table().Match("example.com", "/")
		route.Stages, route.MaxEventGap = nil, 0
		body, writer := io.Pipe()
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", body))
		}()
		synctest.Wait()
		s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
		time.Sleep(5 * time.Second) // virtual: the send deadline passes
		_, err := writer.Write([]byte("body"))
		require.NoError(t, err)
		require.NoError(t, writer.Close())
		<-answered // if it were sent, the client would be nil
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
}

// A stream arrives long after the balancer has noticed a stop. It is refused at once, and no stage
// runs for it.
func TestStopRefusesLateStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stagedRelay(&stageRunner{}) // if a stage were run, the request would wait forever
		s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
		time.Sleep(3 * time.Second) // virtual: the balancer has noticed
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Contains(t, w.Body.String(), "stopping")
	})
}

// A stream arrives while the instance stops. Its stages get no more time than the stop leaves. If they
// are refused, the retry delay is that of another instance, which has the full time.
func TestStopLimitsStagesOfNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &stageRunner{started: make(chan gather.Request, 1), refused: make(chan time.Time, 1)}
		s := stagedRelay(m)
		s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
		m.refused <- time.Time{}
		m.retryAfter = 18*time.Second - answerMargin
		w := httptest.NewRecorder()
		began := time.Now()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		require.Equal(t, began.Add(4*time.Second+engineFirstEventTime), (<-m.started).Deadline)
		// Both the runner's delay (18 s) and the deadline without a stop (20 s) are reduced by
		// answerMargin. The stop's deadline (4.25 s) is 15.75 s before the unreduced 20 s, so the
		// delay is 18 s - 15.75 s.
		require.Equal(t, "2.25", w.Header().Get("Retry-After"))
	})
}

// A target has answered with an error that another target might not return, when no time is left to
// send the request again. Its caller must get that error rather than a less specific one.
func TestStopKeepsReceivedReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stagedRelay(&stageRunner{})
		route, _ := s.options.Table().Match("example.com", "/")
		route.Kind, route.MaxAttempts = routes.KindIdempotent, 2
		s.Drain(time.Now(), time.Now().Add(time.Second))
		time.Sleep(900 * time.Millisecond) // virtual: the send deadline passes
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "http://example.com/", nil)
		q := &request{relay: s, w: w, r: r, route: route, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
		held := &bufferedReply{status: http.StatusInternalServerError, body: []byte("its own")}
		retry, err := q.decideRetry(t.Context(), &attempt{}, &failure{cause: io.EOF, reply: held})
		require.False(t, retry)
		q.sendFailure(t.Context(), err)
		require.Equal(t, http.StatusInternalServerError, w.Code)
		require.Equal(t, "its own", w.Body.String())
	})
}
