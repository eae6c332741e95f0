package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// response is the response to one call of a handler, and its duration.
type response struct {
	*httptest.ResponseRecorder
	elapsed time.Duration
}

// call sends one request directly to the handler, in virtual time.
func call(ctx context.Context, target *Target, method, path string, body any, headers ...string) response {
	encoded, _ := json.Marshal(body)
	request := httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(encoded))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	start := time.Now()
	target.Handler().ServeHTTP(recorder, request)
	return response{recorder, time.Since(start)}
}

func run(ctx context.Context, target *Target, id string, request targetapi.RunRequest, headers ...string) response {
	headers = append(headers, targetapi.HeaderAttempt, id, targetapi.HeaderRequest, id)
	return call(ctx, target, http.MethodPost, targetapi.PathRun, request, headers...)
}

// startRun starts a run and returns the channel that receives its response.
func startRun(t *testing.T, target *Target, id string, request targetapi.RunRequest, headers ...string) <-chan response {
	replies := make(chan response, 1)
	go func() { replies <- run(t.Context(), target, id, request, headers...) }()
	synctest.Wait()
	return replies
}

func decode[T any](t *testing.T, r response) (decoded T) {
	t.Helper()
	require.NoError(t, json.Unmarshal(r.Body.Bytes(), &decoded), r.Body.String())
	return decoded
}

func runInVirtualTime(t *testing.T, options Options, test func(t *testing.T, target *Target)) {
	synctest.Test(t, func(t *testing.T) {
		target := New(options)
		defer target.Close()
		test(t, target)
	})
}

var tenTokens = targetapi.RunRequest{Stage: "s", MaxTokens: 10}

func TestOutputDependsOnEveryArgument(t *testing.T) {
	seen := map[string]bool{}
	for _, inputs := range [][]string{{"ab", "c"}, {"a", "bc"}, {"abc"}, nil} {
		for _, model := range []string{"", "m"} {
			for _, stage := range []string{"s", "sm"} {
				text, tokens := Output(stage, inputs, model, 3)
				require.Equal(t, strings.Join(tokens, ""), text)
				require.Len(t, tokens, 3)
				seen[text] = true
			}
		}
	}
	require.Len(t, seen, 16)
}

func TestWorkTime(t *testing.T) {
	engine := Options{Kind: catalog.KindEngine, CallTime: 100 * time.Millisecond, TokenTime: 10 * time.Millisecond,
		BatchSlowdown: 0.5, PrefillRate: 1000, CacheTokens: 1000}
	prefix := targetapi.RunRequest{Prefix: []targetapi.Part{{ID: "a", Tokens: 600}, {ID: "b", Tokens: 300}}}
	runInVirtualTime(t, engine, func(t *testing.T, target *Target) {
		require.Equal(t, 200*time.Millisecond, run(t.Context(), target, "1", tenTokens).elapsed)
		resumed := targetapi.RunRequest{Stage: "s", MaxTokens: 10, ResumeFrom: 7}
		require.Equal(t, 137*time.Millisecond, run(t.Context(), target, "resumed", resumed).elapsed, "7 tokens read, 3 generated")
		first, second := startRun(t, target, "2", tenTokens), startRun(t, target, "3", tenTokens)
		require.Equal(t, 250*time.Millisecond, (<-first).elapsed, "a batch of two")
		require.Equal(t, 250*time.Millisecond, (<-second).elapsed)
		cold := decode[targetapi.RunResponse](t, run(t.Context(), target, "4", prefix))
		require.Equal(t, 900, cold.PrefillTokens)
		require.EqualValues(t, 1000, cold.WorkMS)
		prefix.Prefix = append(prefix.Prefix, targetapi.Part{ID: "c", Tokens: 50})
		warm := decode[targetapi.RunResponse](t, run(t.Context(), target, "5", prefix))
		require.Equal(t, 50, warm.PrefillTokens)
	})
}

// The deadline of a queued call passes, the queue is full, or a queued call is
// cancelled. The target must not run the call and must report that it hasn't run:
// otherwise the caller couldn't retry.
func TestRefusedInTheQueue(t *testing.T) {
	options := Options{Kind: catalog.KindService, Slots: 1, QueueLimit: 1, CallTime: time.Second}
	runInVirtualTime(t, options, func(t *testing.T, target *Target) {
		active := startRun(t, target, "running", targetapi.RunRequest{})
		queued := startRun(t, target, "queued", targetapi.RunRequest{}, targetapi.HeaderDeadline, "300")
		full := run(t.Context(), target, "full", targetapi.RunRequest{})
		require.Positive(t, decode[targetapi.Refusal](t, full).RetryAfterMS)
		expired := <-queued
		require.Equal(t, 300*time.Millisecond, expired.elapsed)
		cancelled := startRun(t, target, "cancelled", targetapi.RunRequest{})
		cancel := call(t.Context(), target, http.MethodPost, targetapi.PathCancel, targetapi.CancelRequest{AttemptID: "cancelled"})
		require.Equal(t, http.StatusNoContent, cancel.Code)
		for _, refused := range []response{full, expired, <-cancelled} {
			require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusConflict}, refused.Code)
			require.Equal(t, "true", refused.Header().Get(targetapi.HeaderNotRun))
		}
		require.Equal(t, http.StatusOK, (<-active).Code)
		require.Equal(t, map[string]int{"running": 1}, target.Runs())
	})
}

// An urgent call arrives while a less urgent one holds the only slot. In an engine
// the urgent call gets the slot at the next token, and the preempted call completes
// later with its whole answer. Other kinds of targets don't preempt.
func TestUrgentCallPreempts(t *testing.T) {
	for kind, urgentElapsed := range map[catalog.PoolKind]time.Duration{
		catalog.KindEngine: 105 * time.Millisecond, catalog.KindReranker: 1095 * time.Millisecond,
	} {
		options := Options{Kind: kind, Slots: 1, TokenTime: 10 * time.Millisecond}
		runInVirtualTime(t, options, func(t *testing.T, target *Target) {
			long := targetapi.RunRequest{MaxTokens: 100}
			slow := startRun(t, target, "slow", long, targetapi.HeaderPriority, "8")
			<-time.After(5 * time.Millisecond)
			urgent := run(t.Context(), target, "urgent", tenTokens, targetapi.HeaderPriority, "0")
			require.Equal(t, urgentElapsed, urgent.elapsed)
			whole := decode[targetapi.RunResponse](t, <-slow)
			text, _ := Output("", nil, "", 100)
			require.Equal(t, text, whole.Output)
			require.EqualValues(t, 1000, whole.WorkMS)
		})
	}
}

// An attempt is cancelled in the middle of its stream, or the target is closed. The
// caller must get an error and never a done event.
func TestStoppedStream(t *testing.T) {
	runInVirtualTime(t, Options{TokenTime: time.Second, KeepAlive: 300 * time.Millisecond}, func(t *testing.T, target *Target) {
		stream := startRun(t, target, "x", tenTokens, "Accept", "text/event-stream")
		<-time.After(1500 * time.Millisecond)
		call(t.Context(), target, http.MethodPost, targetapi.PathCancel, targetapi.CancelRequest{AttemptID: "x"})
		body := (<-stream).Body.String()
		require.Equal(t, 1, strings.Count(body, "event: token"))
		require.Equal(t, 4, strings.Count(body, ": keep-alive"))
		require.Contains(t, body, "event: error")
		require.NotContains(t, body, "event: done")
		whole := startRun(t, target, "y", tenTokens)
		target.Close()
		require.Equal(t, http.StatusInternalServerError, (<-whole).Code)
		active, queued := target.Load()
		require.Zero(t, active+queued)
	})
}

func TestBadCalls(t *testing.T) {
	target := New(Options{})
	for _, request := range []targetapi.RunRequest{{ResumeFrom: 1}, {ResumeFrom: -1}, {Prefix: []targetapi.Part{{Tokens: -1}}}} {
		require.Equal(t, http.StatusBadRequest, run(t.Context(), target, "x", request).Code)
	}
	require.Equal(t, http.StatusBadRequest, run(t.Context(), target, "", tenTokens).Code)
	for _, header := range []string{targetapi.HeaderPriority, targetapi.HeaderDeadline} {
		bad := run(t.Context(), target, "x", tenTokens, header, "-1")
		require.Equal(t, http.StatusBadRequest, bad.Code)
		require.Equal(t, "true", bad.Header().Get(targetapi.HeaderNotRun))
	}
	require.Equal(t, http.StatusNotFound, call(t.Context(), target, http.MethodPost, targetapi.PathCancel, targetapi.CancelRequest{}).Code)
	require.Equal(t, http.StatusBadRequest, call(t.Context(), target, http.MethodGet, targetapi.PathCacheEvents+"?after=x", nil).Code)
	require.Empty(t, target.Runs())
}

// The reported load must be as old as ReportLag, however often the load changes
// meanwhile.
func TestLoadLags(t *testing.T) {
	options := Options{Slots: 3, CallTime: time.Second, ReportLag: 400 * time.Millisecond}
	runInVirtualTime(t, options, func(t *testing.T, target *Target) {
		load := func() int {
			return decode[targetapi.Load](t, call(t.Context(), target, http.MethodGet, targetapi.PathLoad, nil)).Active
		}
		runs := []<-chan response{startRun(t, target, "1", targetapi.RunRequest{})}
		<-time.After(200 * time.Millisecond)
		runs = append(runs, startRun(t, target, "2", targetapi.RunRequest{}))
		require.Zero(t, load())
		<-time.After(200 * time.Millisecond)
		require.Equal(t, 1, load())
		<-time.After(200 * time.Millisecond)
		require.Equal(t, 2, load())
		for _, run := range runs {
			<-run
		}
		require.Equal(t, 2, load())
		<-time.After(400 * time.Millisecond)
		require.Zero(t, load())
		require.LessOrEqual(t, len(target.loadHistory.samples), samplesPerLag+2)
	})
}

func TestCacheEventsLagAndAreLost(t *testing.T) {
	options := Options{CacheTokens: 10, EventLag: time.Second, EventLoss: 0.3}
	runInVirtualTime(t, options, func(t *testing.T, target *Target) {
		read := func(after uint64) targetapi.CacheEvents {
			path := targetapi.PathCacheEvents + "?after=" + fmt.Sprint(after)
			return decode[targetapi.CacheEvents](t, call(t.Context(), target, http.MethodGet, path, nil))
		}
		for i := range maxKeptEvents {
			target.cache.add([]targetapi.Part{{ID: fmt.Sprint(i), Tokens: 10}})
		}
		require.Empty(t, read(0).Events)
		<-time.After(time.Second)
		page := read(0)
		require.True(t, page.Lost, "the log is bounded")
		require.Len(t, page.Events, maxPageEvents)
		require.False(t, read(page.Next).Lost)
		require.Equal(t, page.Next, page.Events[maxPageEvents-1].Seq)
		gaps := page.Next - page.Events[0].Seq + 1 - maxPageEvents
		require.InDelta(t, 0.3, float64(gaps)/float64(gaps+maxPageEvents), 0.1)
	})
}

func TestKVMoves(t *testing.T) {
	source := New(Options{CacheTokens: 100})
	server := httptest.NewServer(source.Handler())
	defer server.Close()
	source.cache.add([]targetapi.Part{{ID: "p", Tokens: 60}})
	cases := []struct {
		capacity int
		part     string
		status   int
	}{{100, "p", http.StatusOK}, {100, "absent", http.StatusBadGateway}, {50, "p", http.StatusInsufficientStorage}}
	for _, c := range cases {
		target := New(Options{CacheTokens: c.capacity})
		move := targetapi.KVMove{Part: c.part, Source: server.Listener.Addr().String()}
		got := call(t.Context(), target, http.MethodPost, targetapi.PathKVImport, move)
		require.Equal(t, c.status, got.Code, got.Body.String())
		_, ok := target.cache.find("p")
		require.Equal(t, c.status == http.StatusOK, ok)
	}
}

// Orders overlap: while an order of an old lease holder is still loading, the next
// holder sends a newer order. The old order must not take effect when its load ends.
func TestOldOrderCompletesAfterNewerOne(t *testing.T) {
	options := Options{ChecksFencing: true, LoadTime: time.Second, Models: []string{}}
	runInVirtualTime(t, options, func(t *testing.T, target *Target) {
		send := func(order targetapi.Order) int {
			got := call(t.Context(), target, http.MethodPost, targetapi.PathOrders, order)
			if order.Fencing == 0 {
				require.Zero(t, got.elapsed, "an old order is refused before its load begins")
			}
			return got.Code
		}
		old := make(chan int, 1)
		go func() { old <- send(targetapi.Order{Fencing: 1, Action: targetapi.ActionSetRole, Value: "prefill"}) }()
		<-time.After(time.Second / 2)
		require.Equal(t, http.StatusOK, send(targetapi.Order{Fencing: 2, Action: targetapi.ActionSetRole, Value: "decode"}))
		require.Equal(t, http.StatusConflict, <-old)
		require.Equal(t, http.StatusConflict, send(targetapi.Order{Action: targetapi.ActionSetRole}))
		require.Equal(t, http.StatusNotFound, run(t.Context(), target, "x", targetapi.RunRequest{Model: "m"}).Code)
		require.Equal(t, http.StatusOK, send(targetapi.Order{Fencing: 2, Action: targetapi.ActionLoadModel, Value: "m"}))
		require.Equal(t, http.StatusOK, run(t.Context(), target, "x", targetapi.RunRequest{Model: "m"}).Code)
		require.Len(t, target.Orders(), 2)
		for i := range maxLoaded {
			status := send(targetapi.Order{Fencing: 2, Action: targetapi.ActionLoadModel, Value: fmt.Sprint(i)})
			require.Equal(t, i == maxLoaded-1, status == http.StatusBadRequest)
		}
	})
}

// A scenario relies on an engine that loads until it is told to end. If an order took effect
// before, the engine would serve requests that the scenario expects to be refused.
func TestHeldOrdersTakeEffectOnceReleased(t *testing.T) {
	runInVirtualTime(t, Options{HoldOrders: true, LoadTime: time.Second, Models: []string{}}, func(t *testing.T, target *Target) {
		loaded := make(chan int, 1)
		go func() {
			loaded <- call(t.Context(), target, http.MethodPost, targetapi.PathOrders, targetapi.Order{Action: targetapi.ActionLoadModel, Value: "m"}).Code
		}()
		<-time.After(time.Hour)
		require.Empty(t, target.Orders())
		require.Equal(t, http.StatusOK, call(t.Context(), target, http.MethodPost, PathAdminReleaseOrders, nil).Code)
		require.Equal(t, http.StatusOK, <-loaded)
		require.Len(t, target.Orders(), 1)
		require.Equal(t, http.StatusOK, call(t.Context(), target, http.MethodPost, targetapi.PathOrders, targetapi.Order{Action: targetapi.ActionLoadModel, Value: "n"}).Code)
	})
}

func TestAdmin(t *testing.T) {
	target := New(Options{})
	set := call(t.Context(), target, http.MethodPost, PathAdminFaults, []Fault{{Kind: FaultFailFast, Limit: 1}})
	require.Equal(t, set.Body.String(), call(t.Context(), target, http.MethodGet, PathAdminFaults, nil).Body.String())
	require.Equal(t, http.StatusBadRequest, call(t.Context(), target, http.MethodPost, PathAdminFaults, []Fault{{Kind: "x"}}).Code)
	call(t.Context(), target, http.MethodPost, PathAdminLeaving, LeavingRequest{Leaving: true})
	require.Equal(t, http.StatusInternalServerError, run(t.Context(), target, "x", tenTokens).Code)
	got := run(t.Context(), target, "x", tenTokens)
	require.Equal(t, "true", got.Header().Get(targetapi.HeaderLeaving))
	report := decode[RunsReport](t, call(t.Context(), target, http.MethodGet, PathAdminRuns, nil))
	require.Equal(t, RunsReport{Runs: map[string]int{"x": 1}, Started: 1, StartedLeaving: 1}, report)
}
