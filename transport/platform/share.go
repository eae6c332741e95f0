package platform

import "context"

type waitShareKey struct{}

// WithWaitShare returns a context whose calls wait for the budget at most for a share
// of MaxWait, 0 to 1.
//
// Calls wait in a single first-in-first-out queue. Without a share, a burst of
// requests of a low tier would fill the whole queue, and claims of the highest tier
// would be refused as often as those of the low one. Calls with a smaller share are
// refused earlier, so that the remaining queue stays free for calls with a larger share.
func WithWaitShare(ctx context.Context, share float64) context.Context {
	return context.WithValue(ctx, waitShareKey{}, min(max(share, 0), 1))
}

// waitShare returns the share that is set in ctx, or 1 if none is set.
func waitShare(ctx context.Context) float64 {
	if share, ok := ctx.Value(waitShareKey{}).(float64); ok {
		return share
	}
	return 1
}
