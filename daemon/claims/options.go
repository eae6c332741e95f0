package claims

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/daemon/orders/boottime"
)

// withDefaults returns the options with defaults in place of zero values.
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
	if o.IsSweeper == nil {
		o.IsSweeper = func() bool { return true }
	}
	if o.SweepRate == 0 {
		o.SweepRate = DefaultSweepRate
	}
	defaultDuration(&o.Retention, DefaultRetention)
	defaultDuration(&o.DispatchWindow, DefaultDispatchWindow)
	defaultDuration(&o.MaxWait, DefaultMaxWait)
	defaultDuration(&o.StoreTimeout, DefaultStoreTimeout)
	defaultDuration(&o.StatusTimeout, DefaultStatusTimeout)
	defaultDuration(&o.RetryAfter, DefaultRetryAfter)
	defaultDuration(&o.SweepInterval, DefaultSweepInterval)
	defaultInt(&o.MaxOpen, DefaultMaxOpen)
	defaultInt(&o.MaxClosed, DefaultMaxClosed)
	defaultInt(&o.MaxResultBytes, DefaultMaxResultBytes)
	defaultInt(&o.MaxQueued, DefaultMaxQueued)
	defaultInt(&o.MaxQueuedBytes, DefaultMaxQueuedBytes)
	return o
}

func defaultDuration(v *time.Duration, fallback time.Duration) {
	if *v == 0 {
		*v = fallback
	}
}

func defaultInt(v *int, fallback int) {
	if *v == 0 {
		*v = fallback
	}
}
