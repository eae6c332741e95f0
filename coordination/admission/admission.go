// Package admission refuses requests that can't meet their deadline before any of their
// stages runs, and computes when the caller should retry. It reads no clock; the caller
// has to serialise the calls of one Controller.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/deadline"
)

// Reason is the cause of a refusal.
type Reason string

// The reasons of a refusal.
const (
	// ReasonQueueTooLong means that the stages would meet the deadline without waits, but
	// the queues are too long.
	ReasonQueueTooLong Reason = "queue_too_long"
	// ReasonDeadlineTooShort means that the stages take longer than the remaining time
	// even without waits.
	ReasonDeadlineTooShort Reason = "deadline_too_short"
)

// Defaults of Config.
const (
	DefaultMinConfidence = deadline.MinConfidence
	DefaultProbeInterval = time.Second
)

// Config holds the settings of a Controller. Fields that are zero or less take their
// defaults.
type Config struct {
	// MinConfidence is the probability of meeting the deadline below which a request is
	// refused.
	MinConfidence float64
	// ProbeInterval is the interval at which a request is admitted although it can't
	// meet its deadline by the learned stage times.
	ProbeInterval time.Duration
}

// Decision is the result of Controller.Decide for one request.
type Decision struct {
	Admit bool
	// Probe reports that the request was admitted to measure its stages again. The caller
	// reports its end by Controller.ProbeEnded.
	Probe bool
	// Confidence is the probability of meeting the deadline, 0 to 1.
	Confidence float64
	Reason     Reason
	RetryAfter time.Duration
	// LatestStart is the latest time at which the first stage may start and still be
	// expected to meet the deadline.
	LatestStart time.Time
}

// Controller decides on the requests of one pipeline and tier.
type Controller struct {
	config    Config
	lastProbe time.Time
	// probeCredit is the number of probes that may be admitted at once; probeRamp is
	// the value it was last set to by a successful probe.
	probeCredit, probeRamp int
}

// New returns a Controller with the given settings.
func New(c Config) *Controller {
	if c.MinConfidence <= 0 {
		c.MinConfidence = DefaultMinConfidence
	}
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
	return &Controller{config: c}
}

// Bounds of RetryAfter, before the jitter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Decide decides whether to admit a request that is due at the given time. The stages
// include the expected waits in their queues (tiers.Gate.EstimatedWait).
func (c *Controller) Decide(now, due time.Time, stages []deadline.RemainingStage, rng *rand.Rand) Decision {
	remaining := due.Sub(now)
	d := Decision{
		Confidence:  deadline.Confidence(remaining, stages),
		LatestStart: deadline.LatestStart(now, due, stages),
	}
	unqueued := deadline.Confidence(remaining, withoutWaits(stages))
	if d.Confidence >= c.config.MinConfidence {
		d.Admit = true
		return d
	}
	if unqueued < c.config.MinConfidence {
		return c.refuseDeadline(now, d, rng)
	}
	d.Reason = ReasonQueueTooLong
	d.RetryAfter = jitter(rng, queueDrainTime(remaining, stages))
	return d
}

// refuseDeadline refuses a request whose stages are too slow even without waits, but
// admits one per ProbeInterval as a probe, and more after successful ones. Without probes,
// an overload during which the stages became slow would never end: all requests would be
// refused, so no stage would be measured and the learned times would never improve.
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

// claimProbe reports whether a probe may be admitted now, and counts it if so.
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

// maxProbeRamp bounds the probes that one successful probe allows.
const maxProbeRamp = 1024

// ProbeEnded records whether a request that was admitted as a probe met its deadline.
// Each probe that did doubles the number of probes that may be admitted at once, up to
// maxProbeRamp, so the refusals end within a few stage times. A probe that didn't
// allows no further ones until the next is due after ProbeInterval. If only the learned
// times ended the refusals, as many probes would be needed as there were slow requests.
func (c *Controller) ProbeEnded(metDeadline bool) {
	if !metDeadline {
		c.probeCredit, c.probeRamp = 0, 0
		return
	}
	c.probeRamp = min(2*max(c.probeRamp, 1), maxProbeRamp)
	c.probeCredit = c.probeRamp
}

// queueDrainTime returns how long the queues must drain before a request that arrives
// with the same remaining time would meet its deadline with mean stage times.
func queueDrainTime(remaining time.Duration, stages []deadline.RemainingStage) time.Duration {
	return deadline.MeanTime(stages) - remaining
}

func withoutWaits(stages []deadline.RemainingStage) []deadline.RemainingStage {
	out := make([]deadline.RemainingStage, len(stages))
	copy(out, stages)
	for i := range out {
		out[i].Wait = 0
	}
	return out
}

// jitter returns a random time between 0.5 and 1.5 times d, so that callers that were
// refused at the same time don't retry at the same time.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}
