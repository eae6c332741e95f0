package app

import (
	"context"

	"github.com/ivyhollow/ivyhollow/daemon/metrics"
)

// sampleMetrics publishes the metrics of the components that keep their own counters.
func (a *App) sampleMetrics(ctx context.Context) error {
	sampler := metrics.New(metrics.Options{
		Calls:        a.callBudget,
		Gates:        a.gates,
		Router:       a.router,
		Status:       a.status,
		RetryBudgets: a.retryBudgets,
		Scope:        a.telemetry.Scope,
	})
	return sampler.Run(ctx)
}
