package claims

import (
	"context"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Run records queued outcomes and removes old claims until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.recordQueued(ctx) })
	group.Go(func() error { return s.sweepOften(ctx) })
	return group.Wait()
}

// sweepOften removes the claims past their retention, at a bounded rate. All
// instances sweep, at random times; a claim that another one has removed costs
// one refused call.
func (s *Service) sweepOften(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(s.opts.SweepRate), 1)
	pace := func() error { return limiter.Wait(ctx) }
	for {
		if err := pause(ctx, jitter(s.opts.SweepEvery)); err != nil {
			return err
		}
		removed, err := s.opts.Storage.Sweep(ctx, s.opts.Now().Add(-s.opts.Retention), pace)
		s.metrics.swept.Inc(int64(removed))
		if err != nil && ctx.Err() == nil {
			klog.V(2).InfoS("claims: sweep ended early", "err", err)
		}
	}
}
