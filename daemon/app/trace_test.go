package app

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	otlp "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// spans is an OTLP/HTTP collector that keeps the spans of each trace.
type spans struct {
	mu  sync.Mutex
	all map[string][]*otlp.Span
}

func (s *spans) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var message collector.ExportTraceServiceRequest
	if r.URL.Path != "/v1/traces" || proto.Unmarshal(body, &message) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, resource := range message.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				id := hex.EncodeToString(span.TraceId)
				s.all[id] = append(s.all[id], span)
			}
		}
	}
}

// paths counts the spans of a trace by their path from the caller. It leaves out the spans of
// attempts that failed before a target received them, such as the loser of a hedge that was
// cancelled while it connected.
func (s *spans) paths(id trace.TraceID, caller trace.SpanID, received func(attempt string) bool) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := map[string]*otlp.Span{}
	for _, span := range s.all[id.String()] {
		byID[string(span.SpanId)] = span
	}
	paths := map[string]int{}
	for _, span := range byID {
		if span.Status.GetCode() == otlp.Status_STATUS_CODE_ERROR && span.Name == "target.run" && !received(attemptID(span)) {
			continue
		}
		path := span.Name
		for byID[string(span.ParentSpanId)] != nil {
			span = byID[string(span.ParentSpanId)]
			path = span.Name + " > " + path
		}
		if string(span.ParentSpanId) == string(caller[:]) {
			path = "caller > " + path
		}
		paths[path]++
	}
	return paths
}

// attemptID returns the ID of the attempt that a span is for.
func attemptID(span *otlp.Span) string {
	for _, attribute := range span.Attributes {
		if attribute.Key == "ivyhollow.attempt_id" {
			return attribute.Value.GetStringValue()
		}
	}
	return ""
}

// tracedTargets wraps targets so that they continue the trace of each call. Depending on
// the mode, it also refuses the first attempt of "rerank", which is then retried, or blocks
// the first attempt of "retrieve", which is then hedged.
type tracedTargets struct {
	tracer trace.Tracer
	mode   string

	mu sync.Mutex
	// received counts the attempts received in this mode, by stage; receivedIDs has their IDs.
	received    map[string]int
	receivedIDs map[string]bool
}

// begin starts a mode.
func (tt *tracedTargets) begin(mode string) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.mode, tt.received, tt.receivedIDs = mode, map[string]int{}, map[string]bool{}
}

// record counts an attempt, whose id ends with stage and number, and returns the mode.
func (tt *tracedTargets) record(id string) string {
	parts := strings.Split(id, "/")
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.received[parts[max(len(parts)-2, 0)]]++
	tt.receivedIDs[id] = true
	return tt.mode
}

func (tt *tracedTargets) receivedAttempt(id string) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.receivedIDs[id]
}

func (tt *tracedTargets) attempts(stage string) int {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.received[stage]
}

func (tt *tracedTargets) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != targetapi.PathRun {
			next.ServeHTTP(w, r)
			return
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		_, span := tt.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		id := r.Header.Get(targetapi.HeaderAttempt)
		mode := tt.record(id)
		switch {
		case mode == "retry" && strings.HasSuffix(id, "/rerank/1"):
			w.Header().Set(targetapi.HeaderAttempt, id)
			w.Header().Set(targetapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case mode == "hedge" && strings.HasSuffix(id, "/retrieve/1"):
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
			<-r.Context().Done()
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// A trace has a span for every hop under the right parent. Otherwise an operator who
// looks for the cause of a slow request would suspect the wrong hop.
func TestTraceNamesEveryHop(t *testing.T) {
	got := &spans{all: map[string][]*otlp.Span{}}
	server := httptest.NewServer(got)
	t.Cleanup(server.Close)
	targets := &tracedTargets{}
	a := startInstanceWith(t, server.URL+"/v1/traces", dev.WrapTargets(targets.wrap))
	targets.tracer = a.telemetry.Tracer
	provider := a.telemetry.TracerProvider.(*sdktrace.TracerProvider)
	caller := sdktrace.NewTracerProvider().Tracer("caller")
	extra := map[string]string{"whole": "", "retry": "rerank", "hedge": "retrieve"}
	for _, mode := range []string{"whole", "retry", "hedge"} {
		targets.begin(mode)
		ctx, span := caller.Start(context.Background(), "caller")
		headers := propagation.HeaderCarrier{}
		propagation.TraceContext{}.Inject(ctx, headers)
		status, _, _ := send(t, http.MethodPost, a.CallersURL()+"/v1/pipelines/dossier/requests", dev.SampleKey,
			`{"input":"x"}`, "traceparent", headers.Get("traceparent"))
		require.Equal(t, http.StatusOK, status)
		if stage := extra[mode]; stage != "" {
			require.GreaterOrEqual(t, targets.attempts(stage), 2, mode)
		}
		span.End()
		id := span.SpanContext()
		// The slower attempt of a hedge ends after the response. On a busy machine any
		// stage may be slow enough to be hedged, so every attempt received must have spans.
		require.EventuallyWithT(t, func(c *assert.CollectT) {
			want := map[string]int{"caller > request": 1}
			for _, stage := range []string{"encode", "retrieve", "rerank", "generate"} {
				attempts := targets.attempts(stage)
				require.Positive(c, attempts, stage)
				path := "caller > request > stage " + stage
				want[path] = 1
				want[path+" > target.run"] = attempts
				want[path+" > target.run > target"] = attempts
			}
			require.NoError(c, provider.ForceFlush(context.Background()))
			require.Equal(c, want, got.paths(id.TraceID(), id.SpanID(), targets.receivedAttempt), mode)
		}, 20*time.Second, 20*time.Millisecond)
	}
}
