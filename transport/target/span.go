package target

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "github.com/ivyhollow/ivyhollow/transport/target"

// Span attributes. None contains an input or an output of a stage.
const (
	attributePeer        = "server.address"
	attributeStage       = "ivyhollow.stage"
	attributeRequest     = "ivyhollow.request_id"
	attributeAttempt     = "ivyhollow.attempt_id"
	attributeIncarnation = "ivyhollow.target_incarnation"
	attributeOutcome     = "ivyhollow.outcome"
	attributeReason      = "ivyhollow.reason"
)

const (
	spanRun    = "target.run"
	spanStream = "target.stream"
)

// startSpan starts the client span of a call.
func startSpan(ctx context.Context, tracer trace.Tracer, call *Call, accept string) (context.Context, trace.Span) {
	name := spanRun
	if accept == contentTypeStream {
		name = spanStream
	}
	ctx, span := tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	if !span.IsRecording() {
		return ctx, span
	}
	span.SetAttributes(
		attribute.String(attributePeer, call.Address),
		attribute.String(attributeStage, call.Run.Stage),
		attribute.String(attributeRequest, call.RequestID),
		attribute.String(attributeAttempt, call.AttemptID),
	)
	return ctx, span
}

// endSpan ends the span with the result of the call.
func endSpan(span trace.Span, meta ResponseMeta, failed *AttemptError) {
	defer span.End()
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(attribute.String(attributeIncarnation, meta.Incarnation))
	if failed != nil {
		span.SetAttributes(
			attribute.String(attributeOutcome, failed.Outcome.String()),
			attribute.String(attributeReason, string(failed.Reason)),
		)
		span.SetStatus(codes.Error, string(failed.Reason))
	}
}
