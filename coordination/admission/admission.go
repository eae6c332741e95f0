// Package admission refuses at once the requests that cannot be answered by
// their deadline, before they cost a stage, and says when to come back. It reads
// no clock; the caller serialises the calls of one Controller.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/deadline"
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonQueue means that the work ahead in the queues takes too long.
	ReasonQueue Reason = "queue_too_long"
	// ReasonDeadline means that the stages alone take longer than is left.
	ReasonDeadline Reason = "deadline_too_short"
)

// Defaults of Config.
const (
	DefaultMinConfidence = 0.05
	DefaultProbeEvery    = time.Second
)

// Config sets a Controller. Zero values take the defaults.
type Config struct {
	// MinConfidence is the probability of making it under which a request is
	// refused.
	MinConfidence float64
	// ProbeEvery is how often a request is admitted although the learned
	// stage times say that it cannot make it.
	ProbeEvery time.Duration
}

// Decision answers one request.
type Decision struct {
	Admit bool
	// Probe tells that the request was admitted to measure the stages anew.
	Probe bool
	// Confidence is the probability of making it, 0 to 1.
	Confidence float64
	Reason     Reason
	RetryAfter time.Duration
	// LatestStart is the last moment at which starting the first stage is of
	// use.
	LatestStart time.Time
}

// Controller decides for one pipeline and tier.
type Controller struct {
	config    Config
	lastProbe time.Time
}

// New makes a controller.
func New(c Config) *Controller {
	if c.MinConfidence <= 0 {
		c.MinConfidence = DefaultMinConfidence
	}
	if c.ProbeEvery <= 0 {
		c.ProbeEvery = DefaultProbeEvery
	}
	return &Controller{config: c}
}

// Bounds of a time to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Decide answers a request that is to end by due and whose stages, with the
// waits of their queues (tiers.Gate.Wait), are given.
func (c *Controller) Decide(now, due time.Time, stages []deadline.Remaining, rng *rand.Rand) Decision {
	left := due.Sub(now)
	d := Decision{
		Confidence:  deadline.Confidence(left, stages),
		LatestStart: deadline.LatestStart(due, withoutWaits(stages)),
	}
	if d.Confidence >= c.config.MinConfidence {
		d.Admit = true
		return d
	}
	unqueued := deadline.Confidence(left, withoutWaits(stages))
	if unqueued < c.config.MinConfidence {
		return c.refuseDeadline(now, d, rng)
	}
	d.Reason = ReasonQueue
	d.RetryAfter = jitter(rng, queueExcess(left, stages))
	return d
}

// refuseDeadline refuses a request whose stages alone are too slow, but admits
// one now and then. Without those probes an overload that made the stages slow
// would never end: everything is refused, so nothing is measured, so the
// learned times stay where they are and everything is refused.
func (c *Controller) refuseDeadline(now time.Time, d Decision, rng *rand.Rand) Decision {
	if c.lastProbe.IsZero() || now.Sub(c.lastProbe) >= c.config.ProbeEvery {
		c.lastProbe = now
		d.Admit = true
		d.Probe = true
		return d
	}
	d.Reason = ReasonDeadline
	d.RetryAfter = jitter(rng, c.config.ProbeEvery)
	return d
}

// queueExcess is how long the queues need to drain to where a request that
// comes then would make it in typical times.
func queueExcess(left time.Duration, stages []deadline.Remaining) time.Duration {
	var epoch time.Time
	whole := epoch.Sub(deadline.LatestStart(epoch, stages))
	return whole - left
}

func withoutWaits(stages []deadline.Remaining) []deadline.Remaining {
	out := make([]deadline.Remaining, len(stages))
	copy(out, stages)
	for i := range out {
		out[i].Wait = 0
	}
	return out
}

// jitter spreads a time to come back over half to one and a half of it, so that
// those refused together do not come back together.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}
