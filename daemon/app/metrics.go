package app

import (
	"context"

	"github.com/ivyhollow/ivyhollow/daemon/metrics"
)

// sampleMetrics sets the metrics of the parts that count for themselves.
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
