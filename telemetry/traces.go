package telemetry

import (
	"context"
	"net/url"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Span attributes. None contains a body or a key.
const (
	AttrRequestID = attribute.Key("ivyhollow.request_id")
	AttrStage     = attribute.Key("ivyhollow.stage")
	AttrOutcome   = attribute.Key("ivyhollow.outcome")
)

func (t *Telemetry) startTraces(ctx context.Context, o Options) error {
	t.Propagator = propagation.TraceContext{}
	otel.SetTextMapPropagator(t.Propagator)
	if o.OTLPEndpoint == "" {
		t.TracerProvider = noop.NewTracerProvider()
		t.Tracer = t.TracerProvider.Tracer(instrumentation)
		return nil
	}
	// The exporter replaces an invalid URL by its own default, so spans would be
	// sent to a collector that was not configured.
	if _, err := url.ParseRequestURI(o.OTLPEndpoint); err != nil {
		return errors.Wrap(err, "telemetry: OTLP endpoint")
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(logExportError))
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLPEndpoint))
	if err != nil {
		return errors.Wrapf(err, "telemetry: exporter for %s", o.OTLPEndpoint)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(traceResource(o)),
	)
	t.TracerProvider = provider
	t.Tracer = provider.Tracer(instrumentation)
	t.flushers = append(t.flushers, provider.Shutdown)
	return nil
}

// logExportError logs the loss of spans, at most once per batch.
func logExportError(err error) {
	ErrorS(err, "traces not exported", Event{})
}

func traceResource(o Options) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "ivyhollowd"),
		attribute.String("service.namespace", o.Cluster),
		attribute.String("service.instance.id", o.Instance),
		attribute.String("service.version", o.Version),
		attribute.String("ivyhollow.data_centre", o.DataCentre),
	)
}
