package claims

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Run records queued outcomes and removes old claims until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.recordQueued(ctx) })
	group.Go(func() error { return s.sweepPeriodically(ctx) })
	return group.Wait()
}

// errNotSweeper ends a sweep when another instance has become the sweeper.
var errNotSweeper = errors.New("claims: the duty to sweep has moved")

// sweepPeriodically removes claims past their retention, at a bounded rate, while this
// instance is the sweeper.
//
// If all instances swept, each would read every claim of the fleet. The number of reads
// would grow with instances times claims and, with some hundreds of instances, exhaust
// the store's capacity. It is harmless if two instances sweep, or none for a while.
func (s *Service) sweepPeriodically(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(s.opts.SweepRate), 1)
	pace := func() error {
		if !s.opts.IsSweeper() {
			return errNotSweeper
		}
		return limiter.Wait(ctx)
	}
	for {
		if err := sleep(ctx, jitter(s.opts.SweepInterval)); err != nil {
			return err
		}
		removed, err := s.opts.Storage.Sweep(ctx, s.opts.Now().Add(-s.opts.Retention), pace)
		s.metrics.swept.Inc(int64(removed))
		if err != nil && ctx.Err() == nil && !errors.Is(err, errNotSweeper) {
			klog.V(2).InfoS("claims: sweep ended early", "err", err)
		}
	}
}
