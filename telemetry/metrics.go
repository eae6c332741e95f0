package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// MetricsPrefix begins the name of every metric.
const MetricsPrefix = "ivyhollow"

// reportInterval is how long a metric may lag behind on /metrics.
const reportInterval = time.Second

// durationBuckets are the upper bounds of timers, in seconds: from a local hop
// to the longest deadline.
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

// metricRefused logs a metric that Prometheus refuses, such as one name with
// two sets of labels. tally's default is to panic; a metric that is missing is
// the smaller harm to an instance that serves.
func logMetricError(err error) {
	ErrorS(err, "metric refused", Event{Reason: "name used with other labels"})
}

// sanitizer is the reporter's own but for the values of labels, which keep the
// dots and dashes of names: "a-b" and "a.b" stay two.
func sanitizer() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	return &o
}
