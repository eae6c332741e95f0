// Package telemetry sets up the telemetry of an instance: structured logs, metrics
// for Prometheus and traces for an OTLP collector. None of the three can contain
// request bodies or secrets: a log line takes a typed Event, and a metric takes
// labels from a fixed set.
package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// instrumentation is the name of the tracer in exported spans.
const instrumentation = "github.com/ivyhollow/ivyhollow"

// Options configures the telemetry of one instance.
type Options struct {
	Instance   string
	DataCentre string
	Cluster    string
	// Version is the program version in the resource of exported spans.
	Version string
	// OTLPEndpoint is the URL of an OTLP/HTTP collector; empty turns tracing off.
	OTLPEndpoint string
	// LogLevel is the klog verbosity.
	LogLevel int
	// LogOutput receives the log lines; nil means standard error. klog is one
	// logger per process: the last Start with an output takes effect.
	LogOutput io.Writer
}

// Telemetry is the running telemetry of one instance.
type Telemetry struct {
	// Scope is the root scope of the metrics. Its labels are bounded; see
	// allowedLabels.
	Scope tally.Scope
	// Tracer starts the spans.
	Tracer trace.Tracer
	// TracerProvider is for instrumentation that creates its own tracer.
	TracerProvider trace.TracerProvider
	// Propagator reads and writes the W3C trace headers. It works with tracing off
	// too, so that an instance never breaks a caller's trace.
	Propagator propagation.TextMapPropagator

	metrics  http.Handler
	closers  []io.Closer
	flushers []func(context.Context) error
}

// Start sets up logs, metrics and traces. The caller must call Shutdown.
func Start(ctx context.Context, o Options) (*Telemetry, error) {
	if err := setupLogs(o); err != nil {
		return nil, err
	}
	t := &Telemetry{}
	if err := t.startTraces(ctx, o); err != nil {
		return nil, err
	}
	t.startMetrics()
	return t, nil
}

// MetricsHandler serves the metrics in Prometheus' text format.
func (t *Telemetry) MetricsHandler() http.Handler { return t.metrics }

// Shutdown flushes buffered data and stops the reporters. The context limits the
// wait for an unresponsive collector.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	var err error
	for _, flush := range t.flushers {
		err = errors.CombineErrors(err, flush(ctx))
	}
	for _, c := range t.closers {
		err = errors.CombineErrors(err, c.Close())
	}
	flushLogs()
	return errors.Wrap(err, "telemetry: shutdown")
}
