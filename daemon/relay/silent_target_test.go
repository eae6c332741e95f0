package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

type raceDialect struct{ dialect }

func (raceDialect) ParseCallerRequest(*http.Request) (exchange.CallerRequest, error) {
	return exchange.CallerRequest{ID: "a", PieceCounts: []int{1}}, nil
}

func (raceDialect) TargetRequestHeader(_ http.Header, r exchange.TargetRequest) http.Header {
	return http.Header{"Inputs": {strings.Join(r.Inputs, ",")}, "After": {r.ResumeAfter}}
}

func (raceDialect) ParseTargetResponse(status int, h http.Header) exchange.TargetResponse {
	return exchange.TargetResponse{NotRun: h.Get("Not-Run") != "", Signed: h.Get("Unsigned") == ""}
}

// instantStages runs stages at once.
type instantStages struct {
	mu      sync.Mutex
	runs    int
	live    map[string]bool
	execute func(ctx context.Context, run int) error
}

func (s *instantStages) Execute(ctx context.Context, _ gather.Request, _ placing.Prompt) (stages.Result, error) {
	s.mu.Lock()
	s.runs++
	run := s.runs
	s.mu.Unlock()
	if s.execute != nil {
		if err := s.execute(ctx, run); err != nil {
			return stages.Result{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live["a"] = true
	return stages.Result{Handles: []string{fmt.Sprintf("h%d", run)}, Holder: "holder"}, nil
}

func (s *instantStages) Drop(string, placing.RequestEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, "a")
}

func (s *instantStages) held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live["a"]
}

func (s *instantStages) ReportUnreachable(string, string, string) {}

func (s *instantStages) ShortenDeadlines(time.Time, ...string) {}

// raceBed is a relay with targets that serve the n-th send of the request by handlers[n].
type raceBed struct {
	*Relay
	sends   atomic.Int64
	budgets *retrybudget.Budgets
	route   *routes.Route
}

func newRaceBed(t *testing.T, route *routes.Route, st *instantStages, handlers ...http.HandlerFunc) *raceBed {
	b := &raceBed{route: route}
	route.Name, route.Host, route.Prefix, route.Timeout = "r", "example.com", "/", 6*time.Second
	route.TrafficSplit = []routes.WeightedService{{Service: "engine", Weight: 1}}
	table := routes.Build(routes.Table{}, []*routes.Route{route}, nil)
	var targets []routing.Target
	for i := range 4 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			n := int(b.sends.Add(1))
			handlers[min(n, len(handlers))-1](w, r)
		}))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		name := fmt.Sprintf("e%d", i)
		targets = append(targets, routing.Target{Incarnation: name, Name: name, Pool: "engine", Address: server.Listener.Addr().String(), Slots: 4, Version: "v"})
	}
	router := routing.New(routing.Config{CostPlacement: true})
	router.SetTargets(time.Now(), routing.Pool{Name: "engine", Objective: catalog.ObjectiveAttainment}, targets)
	b.budgets = retrybudget.New(retry.Config{RetryRatio: 1, Reserve: 100, HalfLife: time.Hour})
	b.Relay = New(Options{
		Dialect: raceDialect{}, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
		Table: func() *routes.Table { return table }, Router: router, Stages: st, Blocklist: blocklist.None{},
		Client: forward.New(forward.ClientOptions{}), Budgets: b.budgets, KnowledgeAge: func() time.Duration { return 0 },
		OnLeaving: func(string) {}, InUse: func(string) bool { return true },
	})
	return b
}

func (b *raceBed) serve() *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // net/http recovers from aborts too
		b.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("x")))
	}()
	return w
}

func streamRoute(maxAttempts int) *routes.Route {
	return &routes.Route{Kind: routes.KindStreaming, Resumable: true, MaxAttempts: maxAttempts, MaxEventGap: 300 * time.Millisecond, LatencyObjective: 1500 * time.Millisecond}
}

func flush(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func events(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: %d\n\n", i, i)
	}
	return s.String()
}

// Guards against more runs of a request than its route allows: a target is silent, and the one beside it fails.
func TestSilentTargetIsNotReplacedBeyondMaxAttempts(t *testing.T) {
	t.Parallel()
	b := newRaceBed(t, streamRoute(2), nil,
		func(w http.ResponseWriter, r *http.Request) { flush(w, events(1, 1)); <-r.Context().Done() },
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		func(w http.ResponseWriter, _ *http.Request) { flush(w, events(2, 3)) },
	)
	b.serve()
	require.LessOrEqual(t, b.sends.Load(), int64(2))
}

// Guards against events that the caller gets twice: the stream's latest event has no ID, so no other target can resume it.
func TestStreamWithoutIDsIsNotResumedAfterSilence(t *testing.T) {
	t.Parallel()
	b := newRaceBed(t, streamRoute(2), nil,
		func(w http.ResponseWriter, _ *http.Request) {
			flush(w, "data: one\n\n")
			time.Sleep(2 * time.Second)
			flush(w, "data: two\n\n")
		},
		func(w http.ResponseWriter, _ *http.Request) { flush(w, "data: one\n\ndata: two\n\n") },
	)
	w := b.serve()
	require.Equal(t, "data: one\n\ndata: two\n\n", w.Body.String())
}

// Guards against a send without the stages' results: the silent target has sent a part of its first event.
func TestReplacementOfPartialFirstEventGetsItsInputs(t *testing.T) {
	t.Parallel()
	route := streamRoute(2)
	route.Stages = []routes.Stage{{Service: "stage"}}
	var inputs atomic.Value
	b := newRaceBed(t, route, &instantStages{live: map[string]bool{}},
		func(w http.ResponseWriter, r *http.Request) { flush(w, "id: 1\n"); <-r.Context().Done() },
		func(w http.ResponseWriter, r *http.Request) {
			inputs.Store(r.Header.Get("Inputs"))
			flush(w, events(1, 3))
		},
	)
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
	require.NotEmpty(t, inputs.Load())
}

// Guards against results of stages that are held while a stream runs that has read them.
func TestResultsAreFreedAtTheReplacementsFirstEvent(t *testing.T) {
	t.Parallel()
	route := streamRoute(2)
	route.Stages = []routes.Stage{{Service: "stage"}}
	st := &instantStages{live: map[string]bool{}}
	var held atomic.Bool
	b := newRaceBed(t, route, st,
		func(w http.ResponseWriter, r *http.Request) { flush(w, events(1, 1)); <-r.Context().Done() },
		func(w http.ResponseWriter, _ *http.Request) {
			flush(w, events(2, 2))
			time.Sleep(500 * time.Millisecond)
			held.Store(st.held())
			flush(w, events(3, 3))
		},
	)
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
	require.False(t, held.Load())
	require.False(t, st.held())
}

// Guards against a second target beside a silent one whose send isn't taken from the budget.
func TestEachReplacementIsPaid(t *testing.T) {
	t.Parallel()
	st := &instantStages{live: map[string]bool{}}
	route := streamRoute(4)
	route.Stages = []routes.Stage{{Service: "stage"}}
	st.execute = func(ctx context.Context, run int) error {
		if run == 3 { // the search beside two silent targets takes so long that both report
			time.Sleep(1300 * time.Millisecond)
		}
		return nil
	}
	b := newRaceBed(t, route, st,
		func(w http.ResponseWriter, r *http.Request) {
			flush(w, events(1, 1))
			time.Sleep(1500 * time.Millisecond)
			flush(w, "id: 2\n")
			<-r.Context().Done()
		},
		hang, hang, hang,
	)
	b.serve()
	retries, _ := b.budgets.Counts()
	require.EqualValues(t, b.sends.Load()-1, retries.Paid)
}

// Guards against a target that hangs unnoticed: the silent target before it has refused at last.
func TestReplacementIsWatchedAfterTheSilentTargetRefuses(t *testing.T) {
	t.Parallel()
	b := newRaceBed(t, streamRoute(2), nil,
		func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1400 * time.Millisecond)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		hang,
		func(w http.ResponseWriter, _ *http.Request) { flush(w, events(1, 3)) },
	)
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
}

// Guards against a complete response that waits for the search for another target.
func TestEmptyResponseEndsTheSearch(t *testing.T) {
	t.Parallel()
	st := &instantStages{live: map[string]bool{}}
	b := newRaceBed(t, streamRoute(2), st,
		func(w http.ResponseWriter, _ *http.Request) {
			flush(w, events(1, 3))
			time.Sleep(1400 * time.Millisecond)
		},
		func(w http.ResponseWriter, _ *http.Request) {},
	)
	b.route.Stages = []routes.Stage{{Service: "stage"}}
	st.execute = func(ctx context.Context, run int) error {
		if run == 1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(3 * time.Second):
			return nil
		}
	}
	began := time.Now()
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
	require.Less(t, time.Since(began), 2*time.Second)
	require.EqualValues(t, 1, b.sends.Load())
}

// Guards against a connection that is closed after it was given back for other requests.
func TestAbandonedEndKeepsTheIdleConnection(t *testing.T) {
	t.Parallel()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		flush(w, events(1, 1))
		time.Sleep(20 * time.Millisecond)
	}))
	server.Start()
	defer server.Close()
	client := forward.New(forward.ClientOptions{})
	do := func(handler string) (*forward.Reply, error) {
		out, err := http.NewRequest(http.MethodGet, server.URL+handler, nil)
		require.NoError(t, err)
		return client.Do(t.Context(), server.Listener.Addr().String(), out, forward.Options{})
	}
	reply, err := do("/")
	require.NoError(t, err)
	messages := newInbox()
	a := &attempt{abandoned: make(chan struct{})}
	ended := make(chan struct{})
	go func() { defer close(ended); a.readStream(messages, reply, &replyHead{}) }()
	// The request receives the events, and is then busy with its caller while the end waits.
	m := <-messages.messages
	if m.err == nil {
		require.Eventually(t, func() bool { return !messages.watch(nil) }, time.Second, time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		other, err := do("/") // another request takes the connection
		require.NoError(t, err)
		require.True(t, other.Reused())
		close(a.abandoned)
		<-ended
		body, err := io.ReadAll(other)
		require.NoError(t, err)
		require.Equal(t, events(1, 1), string(body))
		return
	}
	t.Fatal("the events came with the end")
}

// Guards against a connection that stays open: a long reply is unusable, and nobody reads its rest.
func TestConnectionOfLongUnsignedReplyIsClosed(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	b := newRaceBed(t, &routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 1, LatencyObjective: time.Second}, nil,
		func(w http.ResponseWriter, r *http.Request) {
			defer close(closed)
			w.Header().Set("Unsigned", "1")
			chunk := strings.Repeat("x", 1<<20)
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, chunk); err != nil {
					return
				}
			}
		})
	w := b.serve()
	require.Equal(t, http.StatusBadGateway, w.Code)
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the target still sends")
	}
}

// Guards against results of stages that are freed while an attempt that has not begun to respond needs them.
func TestSearchKeepsTheResultsOfAnOpenAttempt(t *testing.T) {
	t.Parallel()
	route := streamRoute(3)
	route.Stages = []routes.Stage{{Service: "stage"}}
	st := &instantStages{live: map[string]bool{}}
	st.execute = func(_ context.Context, run int) error {
		if run == 3 {
			return &stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 10 * time.Second}
		}
		return nil
	}
	b := newRaceBed(t, route, st,
		func(w http.ResponseWriter, r *http.Request) { flush(w, events(1, 1)); <-r.Context().Done() },
		func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1500 * time.Millisecond) // the target waits for room before it fetches its inputs
			if !st.held() {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusConflict)
				return
			}
			flush(w, events(2, 3))
		},
	)
	began := time.Now()
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
	require.Less(t, time.Since(began), 4*time.Second)
}

// Guards against a count that names the other target although the silent one went on.
func TestAbandonedAttemptsAreCountedByWhoWentOn(t *testing.T) {
	t.Parallel()
	otherAsked := make(chan struct{})
	b := newRaceBed(t, streamRoute(2), nil,
		func(w http.ResponseWriter, r *http.Request) {
			flush(w, events(1, 1))
			select {
			case <-otherAsked:
				flush(w, events(2, 3))
			case <-r.Context().Done():
			}
		},
		func(w http.ResponseWriter, r *http.Request) {
			close(otherAsked)
			hang(w, r)
		},
	)
	scope := tally.NewTestScope("", nil)
	b.metrics = newMetrics(scope)
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
	counted := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if strings.HasSuffix(c.Name(), "attempts_abandoned") {
			counted[c.Tags()["outcome"]] += c.Value()
		}
	}
	require.Equal(t, map[string]int64{"silent_target": 1}, counted)
}

// Guards against a budget that is used up by searches that send nothing.
func TestSearchWithoutSendCostsNoBudget(t *testing.T) {
	t.Parallel()
	route := streamRoute(2)
	route.Stages = []routes.Stage{{Service: "stage"}}
	st := &instantStages{live: map[string]bool{}}
	st.execute = func(_ context.Context, run int) error {
		if run > 1 {
			return &stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: time.Second}
		}
		return nil
	}
	b := newRaceBed(t, route, st, func(w http.ResponseWriter, _ *http.Request) {
		flush(w, events(1, 1))
		time.Sleep(1500 * time.Millisecond)
		flush(w, events(2, 3))
	})
	w := b.serve()
	require.Equal(t, events(1, 3), w.Body.String())
	retries, _ := b.budgets.Counts()
	require.EqualValues(t, b.sends.Load()-1, retries.Paid)
}

func BenchmarkStreamEvents(b *testing.B) {
	t := &testing.T{}
	n := b.N
	bed := newRaceBed(t, streamRoute(2), nil, func(w http.ResponseWriter, _ *http.Request) {
		for i := range n {
			flush(w, fmt.Sprintf("id: %d\ndata: token\n\n", i+1))
		}
	})
	bed.route.Timeout = time.Hour
	b.ReportAllocs()
	b.ResetTimer()
	bed.serve()
}
