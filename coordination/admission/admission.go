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
	ReasonQueueTooLong Reason = "queue_too_long"
	// ReasonDeadline means that the stages alone take longer than is left.
	ReasonDeadlineTooShort Reason = "deadline_too_short"
)

// Defaults of Config.
const (
	DefaultMinConfidence = deadline.MinConfidence
	DefaultProbeInterval = time.Second
)

// Config sets a Controller. Zero values take the defaults.
type Config struct {
	// MinConfidence is the probability of making it under which a request is
	// refused.
	MinConfidence float64
	// ProbeEvery is how often a request is admitted although the learned
	// stage times say that it cannot make it.
	ProbeInterval time.Duration
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
	// credit is the number of probes that may go at once, and ramp what the
	// next probe that makes it sets it to.
	probeCredit, probeRamp int
}

// New makes a controller.
func New(c Config) *Controller {
	if c.MinConfidence <= 0 {
		c.MinConfidence = DefaultMinConfidence
	}
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = DefaultProbeInterval
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
func (c *Controller) Decide(now, due time.Time, stages []deadline.RemainingStage, rng *rand.Rand) Decision {
	left := due.Sub(now)
	d := Decision{
		Confidence:  deadline.Confidence(left, stages),
		LatestStart: deadline.LatestStart(now, due, stages),
	}
	unqueued := deadline.Confidence(left, withoutWaits(stages))
	if d.Confidence >= c.config.MinConfidence {
		d.Admit = true
		return d
	}
	if unqueued < c.config.MinConfidence {
		return c.refuseDeadline(now, d, rng)
	}
	d.Reason = ReasonQueueTooLong
	d.RetryAfter = jitter(rng, queueDrainTime(left, stages))
	return d
}

// refuseDeadline refuses a request whose stages alone are too slow, but admits
// one now and then. Without those probes an overload that made the stages slow
// would never end: everything is refused, so nothing is measured, so the
// learned times stay where they are and everything is refused.
func (c *Controller) refuseDeadline(now time.Time, d Decision, rng *rand.Rand) Decision {
	if c.claimProbe(now) {
		d.Admit = true
		d.Probe = true
		d.LatestStart = now
		return d
	}
	d.Reason = ReasonDeadlineTooShort
	d.RetryAfter = jitter(rng, c.config.ProbeInterval)
	return d
}

func (c *Controller) claimProbe(now time.Time) bool {
	if c.probeCredit > 0 {
		c.probeCredit--
		return true
	}
	if !c.lastProbe.IsZero() && now.Sub(c.lastProbe) < c.config.ProbeInterval {
		return false
	}
	c.lastProbe = now
	return true
}

// maxRamp bounds the probes that one success lets go.
const maxProbeRamp = 1024

// Probed tells how a request that was admitted as a probe ended. Each one that
// made it lets twice as many go, so that the refusals end within some stage
// times; one that did not make it stops them until the next probe is due.
// Learned times alone would need as many probes as there were slow requests.
func (c *Controller) ProbeEnded(made bool) {
	if !made {
		c.probeCredit, c.probeRamp = 0, 0
		return
	}
	c.probeRamp = min(2*max(c.probeRamp, 1), maxProbeRamp)
	c.probeCredit = c.probeRamp
}

// queueExcess is how long the queues need to drain to where a request that
// comes then would make it in typical times.
func queueDrainTime(left time.Duration, stages []deadline.RemainingStage) time.Duration {
	return deadline.MeanTime(stages) - left
}

func withoutWaits(stages []deadline.RemainingStage) []deadline.RemainingStage {
	out := make([]deadline.RemainingStage, len(stages))
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
