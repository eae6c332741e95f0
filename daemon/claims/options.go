package claims

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/daemon/orders/boottime"
)

// withDefaults fills in what the caller left at zero.
func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Limits == (claim.Limits{}) {
		o.Limits = claim.DefaultLimits
	}
	if o.Sweeper == nil {
		o.Sweeper = func() bool { return true }
	}
	if o.SweepRate == 0 {
		o.SweepRate = DefaultSweepRate
	}
	orDuration(&o.Retention, DefaultRetention)
	orDuration(&o.DispatchWindow, DefaultDispatchWindow)
	orDuration(&o.MaxWait, DefaultMaxWait)
	orDuration(&o.StoreTimeout, DefaultStoreTimeout)
	orDuration(&o.AskTimeout, DefaultAskTimeout)
	orDuration(&o.RetryAfter, DefaultRetryAfter)
	orDuration(&o.SweepEvery, DefaultSweepEvery)
	orInt(&o.MaxOpen, DefaultMaxOpen)
	orInt(&o.MaxClosed, DefaultMaxClosed)
	orInt(&o.MaxKeptBytes, DefaultMaxKeptBytes)
	orInt(&o.MaxQueued, DefaultMaxQueued)
	orInt(&o.MaxQueuedBytes, DefaultMaxQueuedBytes)
	return o
}

func orDuration(v *time.Duration, fallback time.Duration) {
	if *v == 0 {
		*v = fallback
	}
}

func orInt(v *int, fallback int) {
	if *v == 0 {
		*v = fallback
	}
}
