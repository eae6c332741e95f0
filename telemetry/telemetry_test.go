package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"
)

const remoteParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func TestMain(m *testing.M) {
	// klog starts its flush loop once for the process.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

func start(t testing.TB, o Options) *Telemetry {
	t.Helper()
	tel, err := Start(t.Context(), o)
	require.NoError(t, err)
	return tel
}

// scrape returns the content of /metrics after a shutdown, which reports the last
// values.
func scrape(t *testing.T, tel *Telemetry) string {
	t.Helper()
	require.NoError(t, tel.Shutdown(t.Context()))
	w := httptest.NewRecorder()
	tel.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, w.Code)
	return w.Body.String()
}

func TestMetricsServed(t *testing.T) {
	tel := start(t, Options{LogOutput: io.Discard})
	scope := tel.Scope.SubScope("requests").Tagged(map[string]string{"tier": "gold", "pipeline": "permit-1.x"})
	scope.Counter("answered").Inc(3)
	scope.Timer("elapsed").Record(3 * time.Millisecond)
	tel.Scope.Gauge("in_flight").Update(2)
	text := scrape(t, tel)
	require.Contains(t, text, `ivyhollow_requests_answered{pipeline="permit-1.x",tier="gold"} 3`)
	require.Contains(t, text, `ivyhollow_requests_elapsed_bucket{pipeline="permit-1.x",tier="gold",le="0.005"} 1`)
	require.Contains(t, text, "ivyhollow_in_flight 2")
}

// A counter tagged with the account or request would create millions of series, until
// the instance is killed for its memory. The label must be dropped, so that the counts
// remain and the number of series does not grow.
func TestUnboundedLabelsDropped(t *testing.T) {
	var log bytes.Buffer
	tel := start(t, Options{LogOutput: &log})
	for i := range 50 {
		id := fmt.Sprint(i)
		tags := map[string]string{"account": id, "request_id": id, "target": id, "tier": "gold"}
		tel.Scope.Tagged(tags).Counter("answered").Inc(1)
	}
	text := scrape(t, tel)
	require.Contains(t, text, `ivyhollow_answered{tier="gold"} 50`)
	require.NotContains(t, text, "account")
	require.Equal(t, 1, strings.Count(log.String(), `reason="account"`))
}

// An allowed label whose values come from outside would also create a series for each
// value. Above the limit, values must be counted together.
func TestLabelSetsBounded(t *testing.T) {
	tel := start(t, Options{LogOutput: io.Discard})
	const beyond = 7
	for i := range maxLabelSets + beyond {
		tel.Scope.SubScope("x").Tagged(map[string]string{"reason": fmt.Sprint(i)}).Counter("refused").Inc(1)
	}
	text := scrape(t, tel)
	require.Equal(t, maxLabelSets+1, strings.Count(text, "ivyhollow_x_refused{"))
	require.Contains(t, text, fmt.Sprintf(`ivyhollow_x_refused{reason="other"} %d`, beyond))
}

// Two counters with the same name and different labels are a programming error. Only
// the second counter may be lost; the instance must not panic.
func TestRefusedMetricDoesNotPanic(t *testing.T) {
	var log bytes.Buffer
	tel := start(t, Options{LogOutput: &log})
	tel.Scope.Counter("answered").Inc(1)
	tel.Scope.Tagged(map[string]string{"tier": "gold"}).Counter("answered").Inc(1)
	require.Contains(t, scrape(t, tel), "ivyhollow_answered 1")
	require.Contains(t, log.String(), "metric refused")
}

// A caller's trace context must be propagated to the targets even if this instance
// exports nothing, or the trace would end at the first hop with tracing off.
func TestTraceContextPropagatedWithTracingOff(t *testing.T) {
	tel := start(t, Options{LogOutput: io.Discard})
	in := propagation.MapCarrier{"traceparent": remoteParent}
	ctx, span := tel.Tracer.Start(otel.GetTextMapPropagator().Extract(t.Context(), in), "stage")
	require.False(t, span.IsRecording())
	out := propagation.MapCarrier{}
	tel.Propagator.Inject(ctx, out)
	require.Equal(t, remoteParent, out["traceparent"])
	require.NoError(t, tel.Shutdown(t.Context()))
}

func TestSpansExported(t *testing.T) {
	bodies := make(chan []byte, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- body
	}))
	defer collector.Close()
	tel := start(t, Options{OTLPEndpoint: collector.URL + "/v1/traces", Instance: "entry-1", LogOutput: io.Discard})
	_, span := tel.Tracer.Start(t.Context(), "stage", trace.WithAttributes(AttrStage.String("generate")))
	span.End()
	require.NoError(t, tel.Shutdown(t.Context()))
	body := string(<-bodies)
	for _, want := range []string{"ivyhollow.stage", "generate", "entry-1", "ivyhollowd"} {
		require.Contains(t, body, want)
	}
}

// If the collector accepts connections but never responds, the shutdown must end when
// its context does.
func TestShutdownBoundedWithUnresponsiveCollector(t *testing.T) {
	release := make(chan struct{})
	reached := make(chan struct{}, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reached <- struct{}{}
		<-release
	}))
	defer collector.Close()
	defer close(release)
	tel := start(t, Options{OTLPEndpoint: collector.URL, LogOutput: io.Discard})
	_, span := tel.Tracer.Start(t.Context(), "stage")
	span.End()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	require.Error(t, tel.Shutdown(ctx))
}

// With a misspelled URL the exporter would send spans to its own default, a collector
// that was not configured.
func TestStartRefusesBadEndpoint(t *testing.T) {
	_, err := Start(t.Context(), Options{OTLPEndpoint: "http://%zz", LogOutput: io.Discard})
	require.ErrorContains(t, err, "telemetry")
}

func TestLogLines(t *testing.T) {
	var log bytes.Buffer
	tel := start(t, Options{LogOutput: &log, LogLevel: 2})
	InfoS("stage answered", Event{
		RequestID: "r-1", Stage: "generate", Target: "engine-3", Peer: "entry-2", AttemptID: "a-1",
		Pipeline: "permits", Pool: "engines", Record: "pools/engines", Revision: 7,
		Reason: "hedge", Count: 2, Elapsed: 3 * time.Millisecond, Address: "127.0.0.1:1",
	})
	ErrorS(errors.New(strings.Repeat("x", 2*maxLogText)), "stage failed", Event{Target: "a\nb"})
	ErrorS(nil, "no cause", Event{})
	DebugS(2, "shown", Event{})
	DebugS(3, "hidden", Event{})
	require.NoError(t, tel.Shutdown(t.Context()))
	text := log.String()
	require.Contains(t, text, `"stage answered" request_id="r-1" stage="generate" target="engine-3" peer="entry-2" `+
		`attempt_id="a-1" pipeline="permits" pool="engines" record="pools/engines" revision=7 reason="hedge" `+
		`count=2 elapsed="3ms" address="127.0.0.1:1"`)
	require.Contains(t, text, "telemetry_test.go")
	require.Contains(t, text, strings.Repeat("x", maxLogText)+"...")
	require.NotContains(t, text, strings.Repeat("x", maxLogText+1))
	require.NotContains(t, text, "a\nb")
	require.Contains(t, text, "shown")
	require.NotContains(t, text, "hidden")
	require.False(t, klog.V(3).Enabled())
}

func BenchmarkCounter(b *testing.B) {
	tel := start(b, Options{LogOutput: io.Discard})
	counter := tel.Scope.Tagged(map[string]string{"tier": "gold"}).Counter("answered")
	b.ReportAllocs()
	for b.Loop() {
		counter.Inc(1)
	}
	_ = tel.Shutdown(b.Context())
}

func BenchmarkTimer(b *testing.B) {
	tel := start(b, Options{LogOutput: io.Discard})
	var timer tally.Timer = tel.Scope.Tagged(map[string]string{"tier": "gold"}).Timer("elapsed")
	b.ReportAllocs()
	for b.Loop() {
		timer.Record(time.Millisecond)
	}
	_ = tel.Shutdown(b.Context())
}

func BenchmarkSpanTracingOff(b *testing.B) {
	tel := start(b, Options{LogOutput: io.Discard})
	b.ReportAllocs()
	for b.Loop() {
		_, span := tel.Tracer.Start(b.Context(), "stage")
		span.End()
	}
	_ = tel.Shutdown(b.Context())
}

func BenchmarkInfoS(b *testing.B) {
	tel := start(b, Options{LogOutput: io.Discard})
	b.ReportAllocs()
	for b.Loop() {
		InfoS("answered", Event{RequestID: "r-1", Stage: "generate", Target: "engine-3"})
	}
	_ = tel.Shutdown(b.Context())
}
