package target_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	emulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// The holder of a lease is paused between its orders, its successor sends orders, and
// then the first holder resumes and sends an old order. A target that checks fencing
// numbers refuses the old order, and a target that doesn't check them executes it. The
// client must report which of the two happened.
func TestOrdersOfPausedLeaseHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		options := engine()
		options.ChecksFencing = checks
		options.LoadTime = time.Second
		inBubble(t, options, func(r *rig) {
			load, err := r.client.Order(r.Context(), address, targetapi.Order{ID: "new", Fencing: 2, Action: targetapi.ActionSetVersion, Value: "v2"})
			require.NoError(r, err)
			require.Equal(r, "v2", load.Version)
			_, err = r.client.Order(r.Context(), address, targetapi.Order{ID: "old", Fencing: 1, Action: targetapi.ActionSetVersion, Value: "v1"})
			load, loadErr := r.client.Load(r.Context(), address)
			require.NoError(r, loadErr)
			require.EqualValues(r, 2, load.Fencing)
			if !checks {
				require.NoError(r, err)
				require.Equal(r, "v1", load.Version)
				return
			}
			require.ErrorIs(r, err, target.ErrFenced)
			require.Equal(r, "v2", load.Version)
		})
	}
}

// The error of a failed control call must report whether the call had no effect or may
// have had one.
func TestControlErrors(t *testing.T) {
	options := engine()
	options.LoadTime = 2 * target.DefaultOrderTimeout
	order := targetapi.Order{ID: "o", Action: targetapi.ActionLoadModel, Value: "m"}
	inBubble(t, options, func(r *rig) {
		_, err := r.client.Order(r.Context(), address, order)
		requireControlError(r, err, target.Unknown)
		ctx, cancel := context.WithCancel(r.Context())
		cancel()
		require.ErrorIs(r, r.client.Cancel(ctx, address, "a"), context.Canceled)
		require.NoError(r, r.net.Close())
		_, err = r.client.CacheEvents(r.Context(), address, 0)
		requireControlError(r, err, target.NotRun)
	})
	options.LoadTime = 0
	inBubble(t, options, func(r *rig) {
		order.Action = "dance"
		_, err := r.client.Order(r.Context(), address, order)
		requireControlError(r, err, target.NotRun)
	})
	inBubbleWithHandler(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, func(r *rig) {
		_, err := r.client.Load(r.Context(), address)
		requireControlError(r, err, target.Unknown)
	})
}

func requireControlError(t require.TestingT, err error, outcome target.Outcome) {
	failed := (*target.ControlError)(nil)
	require.ErrorAs(t, err, &failed)
	require.Equal(t, outcome, failed.Outcome, err.Error())
	require.Equal(t, address, failed.Peer)
}

// Each response reports that the target is leaving and its recent load, so that the
// caller needs no separate call.
func TestResponseMeta(t *testing.T) {
	options := engine()
	options.ReportLag = callTime
	options.CacheTokens = 100
	inBubble(t, options, func(r *rig) {
		fill(r, nil)
		<-time.After(2 * callTime)
		r.target.SetLeaving(true)
		call := attempt("x")
		call.Run.Prefix = []targetapi.Part{{ID: "p", Tokens: 9}}
		meta, err := r.run(call, true)
		require.NoError(r, err)
		require.Equal(r, target.ResponseMeta{Received: true, Incarnation: incarnation, Leaving: true, HasLoad: true, Active: 2, Slots: 2}, meta)
		require.Equal(r, 1, r.target.RunsReport().StartedLeaving)
		events, err := r.client.CacheEvents(r.Context(), address, 0)
		require.NoError(r, err)
		want := targetapi.CacheEvents{Incarnation: incarnation, Next: 1, Events: []targetapi.CacheEvent{{Seq: 1, Added: true, Part: "p"}}}
		require.Equal(r, want, events)
	})
}

// A trace must continue at the target, with one span for the call that holds its
// outcome and none of the request's content.
func TestOneSpanPerCall(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	defer func() { otel.SetTracerProvider(provider); otel.SetTextMapPropagator(propagator) }()
	var parent string
	inBubbleWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		parent += r.Header.Get("traceparent")
		w.Header().Set(targetapi.HeaderAttempt, "a-secret")
		w.WriteHeader(http.StatusInternalServerError)
	}, func(r *rig) {
		_, _, err := r.client.Run(r.Context(), attempt("secret"))
		requireFailure(r, err, target.Failed, target.ReasonFailed)
	})
	spans := recorder.Ended()
	require.Len(t, spans, 1)
	require.Contains(t, parent, spans[0].SpanContext().TraceID().String()+"-"+spans[0].SpanContext().SpanID().String())
	found := map[string]string{}
	for _, attribute := range spans[0].Attributes() {
		found[string(attribute.Key)] = attribute.Value.AsString()
	}
	require.Equal(t, map[string]string{
		"server.address": address, "ivyhollow.stage": "draft", "ivyhollow.request_id": "r-secret",
		"ivyhollow.attempt_id": "a-secret", "ivyhollow.target_incarnation": "",
		"ivyhollow.outcome": "failed", "ivyhollow.reason": "failed",
	}, found)
}

// A stream that breaks after 3 tokens is resumed from there. The tokens of both
// attempts must form the same text.
func TestResume(t *testing.T) {
	inBubble(t, engine(), func(r *rig) {
		for from := range maxTokens + 1 {
			call := attempt("x")
			call.Run.ResumeFrom = from
			_, err := r.run(call, true)
			require.NoError(r, err)
		}
		r.target.SetFaults(emulator.Fault{Kind: emulator.FaultCrash, AfterTokens: 3, Limit: 1})
		var text string
		take := func(_ int, token string) error { text += token; return nil }
		_, _, err := r.client.Stream(r.Context(), attempt("x"), take)
		requireFailure(r, err, target.Unknown, target.ReasonTruncated)
		call := attempt("x")
		call.AttemptID = "a-second"
		call.Run.ResumeFrom = 3
		answer, _, err := r.client.Stream(r.Context(), call, take)
		require.NoError(r, err)
		require.Equal(r, answer.Output, text)
	})
}
