package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// MetricsPrefix is the prefix of every metric name.
const MetricsPrefix = "ivyhollow"

// reportInterval is the maximum delay of a value on /metrics.
const reportInterval = time.Second

// durationBuckets returns the upper bounds of the timers' histogram buckets, in
// seconds, from the duration of a local hop to the longest deadline.
func durationBuckets() []float64 {
	return []float64{
		0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
		0.1, 0.2, 0.5, 1, 2, 5, 12, 30,
	}
}

func (t *Telemetry) startMetrics() {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:              registry,
		DefaultTimerType:        tallyprom.HistogramTimerType,
		DefaultHistogramBuckets: durationBuckets(),
		OnRegisterError:         logMetricError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 MetricsPrefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	t.Scope = newBoundedScope(scope)
	t.metrics = reporter.HTTPHandler()
	t.closers = append(t.closers, closer)
}

// logMetricError logs a metric that Prometheus refuses, such as one name with two
// sets of labels. tally panics by default; for a running instance a missing metric
// is the lesser harm.
func logMetricError(err error) {
	ErrorS(err, "metric refused", Event{Reason: "name used with other labels"})
}

// sanitizer returns the reporter's default options, except that label values keep
// dots and dashes, so that "a-b" and "a.b" remain distinct.
func sanitizer() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	return &o
}
