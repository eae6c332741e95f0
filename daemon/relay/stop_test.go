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

// dialect reads nothing of a call but its id and its pieces.
type dialect struct{ exchange.Dialect }

func (dialect) ParseCallerRequest(*http.Request) (exchange.CallerRequest, error) {
	return exchange.CallerRequest{ID: "a", PieceCounts: []int{1}}, nil
}

func (dialect) SetRequestID(http.Header, string) {}

func (dialect) CallerResponseHeader(h http.Header) http.Header { return h }

// A request has a key that nobody knows, and whether a newer configuration knows it is
// asked at a store that doesn't answer. The instance stops meanwhile. Its caller must
// hear that the request hasn't run: not nothing, and not that the key is wrong.
func TestStopEndsTheWaitForAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &routes.Route{Name: "r", Host: "example.com", Prefix: "/"}
		table := routes.Build(routes.Table{RequiresKeys: true}, []*routes.Route{route}, nil)
		asked := make(chan struct{})
		s := New(Options{
			Dialect: dialect{}, Scope: tally.NoopScope,
			Table: func() *routes.Table { return table },
			Confirm: func(ctx context.Context) bool {
				close(asked)
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
		<-asked
		s.Drain(time.Now(), time.Now().Add(time.Second))
		<-answered
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "close", w.Header().Get("Connection"))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	})
}

// maker runs stages that don't end. It refuses a request as soon as it is given less
// time, as the holder of the queue does that predicts a later end.
type maker struct {
	asked   chan gather.Request
	refused chan time.Time
	// deaf makers don't hear of a stop.
	deaf bool
	// retryAfter is when a refused request may come back.
	retryAfter time.Duration
}

func (m *maker) Make(ctx context.Context, r gather.Request, _ placing.Prompt) (stages.Made, error) {
	m.asked <- r
	select {
	case <-m.refused:
		return stages.Made{}, &stages.RefusedError{Reason: gather.ReasonStopping, RetryAfter: m.retryAfter}
	case <-ctx.Done():
		return stages.Made{}, context.Cause(ctx)
	}
}

func (m *maker) Drop(string, placing.RequestEnd) {}

func (m *maker) EngineGone(string, string, string) {}

func (m *maker) Bound(until time.Time, ids ...string) {
	if !m.deaf && len(ids) == 1 && ids[0] == "a" {
		m.refused <- until
	}
}

// stagedRelay is a relay with one target and one route of one stage.
func stagedRelay(m Maker) *Relay {
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

// A request waits for its stages when its instance begins to stop, and they won't be
// done before the instance ends. Its caller must hear so at once, while another
// instance can still serve it.
func TestStopTellsWhoRunsTheStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &maker{asked: make(chan gather.Request, 1), refused: make(chan time.Time, 1)}
		s := stagedRelay(m)
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		}()
		asked := <-m.asked
		stop := time.Now()
		s.Drain(stop.Add(balancerDelay), stop.Add(7*time.Second))
		<-answered
		require.Equal(t, stop, time.Now(), "the refusal was held back")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Contains(t, w.Body.String(), "stopping")
		require.True(t, asked.Deadline.After(stop.Add(7*time.Second)))
	})
}

// The same, and whoever runs the stages doesn't hear of the stop: the request is refused
// when no time is left to send it.
func TestStopRefusesWhatWaitsAtTheLastMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &maker{asked: make(chan gather.Request, 1), deaf: true}
		s := stagedRelay(m)
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		}()
		<-m.asked
		stop := time.Now()
		s.Drain(stop.Add(balancerDelay), stop.Add(7*time.Second))
		<-answered
		require.Equal(t, 4*time.Second, time.Since(stop))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
}

// An order's body is whole only when no time is left to send it. It must not be sent: it
// would run, and its caller be told that it may have.
func TestStopSendsNothingAfterTheLastMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stagedRelay(&maker{})
		route, _ := s.options.Table().Match("example.com", "/")
		route.Stages, route.MaxEventGap = nil, 0
		body, rest := io.Pipe()
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", body))
		}()
		synctest.Wait()
		s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
		time.Sleep(5 * time.Second) // virtual: the last moment to send passes
		_, err := rest.Write([]byte("body"))
		require.NoError(t, err)
		require.NoError(t, rest.Close())
		<-answered // sent, it would have met a nil client
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
}

// A stream comes long after the balancer has noticed a stop. It is refused at once, and no
// stage runs for it.
func TestStopRefusesLateStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stagedRelay(&maker{}) // asked, it would wait for ever
		s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
		time.Sleep(3 * time.Second) // virtual: the balancer has noticed
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Contains(t, w.Body.String(), "stopping")
	})
}

// A stream comes while the instance stops. Its stages get no more time than the stop
// leaves, and a refusal of them names when another instance, which has that time, could
// serve it.
func TestStopBoundsTheStagesOfNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &maker{asked: make(chan gather.Request, 1), refused: make(chan time.Time, 1)}
		s := stagedRelay(m)
		s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
		m.refused <- time.Time{}
		m.retryAfter = 18*time.Second - answerMargin
		w := httptest.NewRecorder()
		began := time.Now()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		require.Equal(t, began.Add(4*time.Second+engineTime), (<-m.asked).Deadline)
		// Its own deadline is 20 s, 15.75 s later.
		require.Equal(t, "2.25", w.Header().Get("Retry-After"))
	})
}

// A target has answered with a failure of its own that another might better, when no time
// is left to send the request again. Its caller gets that answer, and not one that says
// less.
func TestStopKeepsTheAnswerThatIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stagedRelay(&maker{})
		route, _ := s.options.Table().Match("example.com", "/")
		route.Kind, route.MaxAttempts = routes.KindIdempotent, 2
		s.Drain(time.Now(), time.Now().Add(time.Second))
		time.Sleep(900 * time.Millisecond) // virtual: the last moment to send passes
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "http://example.com/", nil)
		q := &request{relay: s, w: w, r: r, route: route, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
		held := &heldReply{status: http.StatusInternalServerError, body: []byte("its own")}
		again, err := q.judge(t.Context(), &failure{cause: io.EOF, reply: held})
		require.False(t, again)
		q.answerFailure(t.Context(), err)
		require.Equal(t, http.StatusInternalServerError, w.Code)
		require.Equal(t, "its own", w.Body.String())
	})
}
