package gather

import (
	"cmp"
	"math"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// service is the queue and the targets of one stage service.
type service struct {
	name    string
	config  ServiceConfig
	targets map[string]*target
	// grants are the calls that were started.
	grants pacing.Holder
	// queue holds the stages with pending pieces.
	queue   []*heldStage
	backlog backlog
	flow    releaseFlow
	times   callTimes
	// arrivalRates has the recent arrival rate of pieces by rank.
	arrivalRates map[float64]*rate
	// usual is the rate at which pieces arrive apart from bursts.
	usual usualRate
	// reserved is the part of the backlog that is reserved for retries.
	reserved backlog
	// shares divides the capacity between client accounts; nil if they don't share it.
	shares *shares
}

// target is one stage target.
type target struct {
	Target
	service *service
	calls   int
	// limit is the pace of the calls, if the target names a limit.
	limit pacing.Pace
	// usedBytes is the capacity that results occupy, including those of calls in progress.
	usedBytes int64
	// slowness is the moving average of the ratio of a call's actual to its expected time.
	slowness float64
	// lastCallAt is when the latest call started.
	lastCallAt time.Time
	// idleSince is when the latest call ended.
	idleSince time.Time
	// downUntil is when a target that failed is tried again. unansweredCalls counts the
	// calls in a row without an answer.
	downUntil       time.Time
	unansweredCalls int
	// reserved is capacity that may be occupied by results of unanswered calls, or by
	// results this queue doesn't know.
	reserved []reservation
	// answered is true if some call was answered.
	answered bool
	// capacityShortAt is when a result last didn't fit.
	capacityShortAt time.Time
	// unsuccessfulCalls counts the calls in a row without results, including refused ones.
	unsuccessfulCalls int
	// busyUntil is when the latest call should end. unlisted is true if the target is not
	// in the latest list or was not found at its address; it gets no calls.
	busyUntil time.Time
	unlisted  bool
	// replaced is true if another process has taken over the target's name. A reply of the
	// old process that is read later names results that no longer exist.
	replaced bool
}

// Parameters of the targets.
const (
	// slownessWeight is the weight of a new sample in the moving average: three or four
	// calls, about a second, show that a target turned slow.
	slownessWeight = 0.35
	// slowThreshold is the slowness at which a target starts to be skipped while others have
	// time. Below it, different batch sizes explain the differences.
	slowThreshold = 1.7
	// slowProbeInterval is the time after which a slow target gets a call again, to learn
	// whether it is still slow.
	slowProbeInterval = 1500 * time.Millisecond
	// The pieces of a call are hedged after overdueFactor times its expected time plus
	// overdueMargin. Usual calls differ by a few hundredths; one queued behind a call of
	// another holder takes twice the expected time.
	overdueFactor = 2.0
	overdueMargin = 120 * time.Millisecond
	// A call times out after timeoutFactor times its expected time plus timeoutMargin: a
	// target that takes eight times as long still answers.
	timeoutFactor = 8.0
	timeoutMargin = time.Second
	// rateHalfLife is the default half-life of a rate: bursts last seconds.
	rateHalfLife = 700 * time.Millisecond
	// fullPause is how long a target that refused a call gets no other call: about half the
	// duration of another sender's call.
	fullPause = 120 * time.Millisecond
	// downPause is the first pause after an unanswered call; it doubles up to downPauseMax.
	downPause    = 400 * time.Millisecond
	downPauseMax = 3 * time.Second
)

// usable reports whether the target may get a call now.
func (t *target) usable(now time.Time) bool {
	return !t.unlisted && t.calls < max(t.service.config.Slots, 1) && !now.Before(t.downUntil) &&
		t.service.grants.Wait(now, t.Name, t.service.config.Pace, t.limit) == 0
}

// available reports whether the target counts as capacity.
func (t *target) available(now time.Time) bool {
	return !t.unlisted && (t.unansweredCalls == 0 || !now.Before(t.downUntil))
}

// hasListed reports whether the service has a target that may get calls once it is tried again.
func (s *service) hasListed() bool {
	for _, t := range s.targets {
		if !t.unlisted {
			return true
		}
	}
	return false
}

// capacity returns the number of available targets; a slow target counts for a fraction, and so
// does one that may get few calls.
func (s *service) capacity(now time.Time) float64 {
	total := 0.0
	for _, t := range s.targets {
		if t.available(now) {
			total += min(1/max(t.slowness, 1), t.limitShare())
		}
	}
	return total
}

// limitShare returns the fraction of the time for which the target may be busy, by its limit.
func (t *target) limitShare() float64 {
	if t.limit.Unlimited() {
		return 1
	}
	fullCall := t.service.expected(time.Duration(t.service.config.MaxPieces) * t.service.config.PieceTime)
	return min(t.limit.Rate()*fullCall.Seconds()/float64(max(t.service.config.Slots, 1)), 1)
}

// callUnanswered records a call without an answer. Results it may have produced occupy
// capacity until they expire: if that capacity counted as free, the next calls would be
// refused.
func (t *target) callUnanswered(now time.Time, bytes int64) {
	t.usedBytes += bytes
	t.reserved = append(t.reserved, reservation{bytes, now.Add(t.service.config.ResultTTL)})
	pause := min(downPause<<min(t.unansweredCalls, 4), downPauseMax)
	t.unansweredCalls++
	t.downUntil = now.Add(pause)
}

// rate is an exponentially decaying rate of pieces or requests.
type rate struct {
	count float64
	at    time.Time
	// halfLife is the time in which the count halves; zero selects rateHalfLife.
	halfLife time.Duration
}

func (r *rate) add(now time.Time, n int) {
	r.decay(now)
	r.count += float64(n)
}

// perSecond returns the rate per second.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.count * math.Ln2 / cmp.Or(r.halfLife, rateHalfLife).Seconds()
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.count *= math.Exp2(-float64(now.Sub(r.at)) / float64(cmp.Or(r.halfLife, rateHalfLife)))
	}
	r.at = now
}

// countArrival counts the pieces of a request.
func (s *service) countArrival(now time.Time, rank float64, pieces int) {
	r := s.arrivalRates[rank]
	if r == nil {
		r = &rate{}
		s.arrivalRates[rank] = r
	}
	r.add(now, pieces)
}

// loadAbove returns the share of the service used by requests of higher rank that can meet
// their objectives.
func (s *service) loadAbove(now time.Time, rank, capacity float64) float64 {
	pieces := 0.0
	for other, r := range s.arrivalRates {
		if other < rank {
			pieces += r.perSecond(now)
		}
	}
	perPiece := s.callTime().Seconds()/float64(max(s.config.MaxPieces, 1)) + s.config.PieceTime.Seconds()
	return pieces * perPiece / capacity
}
