package gather

import (
	"cmp"
	"math"
	"time"
)

// service is the queue and the targets of one stage service.
type service struct {
	name    string
	config  ServiceConfig
	targets map[string]*target
	// queue holds the stages with pieces to send.
	queue   []*heldStage
	backlog backlog
	times   callTimes
	// rates are, by rank, the pieces a second that came lately.
	arrivalRates map[float64]*rate
}

// target is one stage target.
type target struct {
	Target
	service *service
	calls   int
	// heldBytes is the room that results take, with those of calls on the way.
	usedBytes int64
	// slow is how many times its expected time a call takes, as a moving
	// average.
	slowness float64
	// lastCall is the start of the latest call.
	lastCallAt time.Time
	// downUntil is when a target that failed is tried again.
	downUntil       time.Time
	unansweredCalls int
	// lost are results that a call without an answer may have left.
	reserved []reservation
	// answered tells that some call was answered.
	answered bool
	// shortAt is when a result last found no room.
	capacityShortAt time.Time
	// strikes counts the calls in a row that brought nothing, refused ones too.
	unsuccessfulCalls int
	// busyUntil is when the latest call should end.
	busyUntil time.Time
	unlisted  bool
	// ended tells that the process is gone, since another took its name. A reply of it
	// that is read after that names results that nobody holds.
	replaced bool
}

// Tuning of the targets.
const (
	// sampleShare is the share of a new sample in the moving averages: three or
	// four calls, about a second, tell of a target that turned slow.
	slownessWeight = 0.35
	// slowFactor is the slowness from which on a target is passed over while
	// others have time: below it differences are those of batch sizes.
	slowThreshold = 1.7
	// slowProbe is the time after which a slow target gets a call again, to
	// learn whether it still is.
	slowProbeInterval = 1500 * time.Millisecond
	// overdueFactor times the expected time, and overdueMargin, is when the
	// pieces of a call are sent to another target as well. Usual calls differ by
	// a few hundredths; one queued behind a call of another holder takes twice.
	overdueFactor = 2.0
	overdueMargin = 120 * time.Millisecond
	// timeoutFactor times the expected time, and timeoutMargin, make a call
	// count as lost: a target that works eight times as long still answers.
	timeoutFactor = 8.0
	timeoutMargin = time.Second
	// rateHalf is how fast a rate follows the load: bursts last seconds.
	rateHalfLife = 700 * time.Millisecond
	// fullPause is how long a target that refused a call gets no other: about
	// half a call of another sender.
	fullPause = 120 * time.Millisecond
	// downPause is the first pause after a lost call; it doubles up to
	// downPauseMax.
	downPause    = 400 * time.Millisecond
	downPauseMax = 3 * time.Second
)

// usable tells whether the target may get a call now.
func (t *target) usable(now time.Time) bool {
	return !t.unlisted && t.calls < max(t.service.config.Slots, 1) && !now.Before(t.downUntil)
}

// up tells whether the target counts as capacity.
func (t *target) available(now time.Time) bool {
	return !t.unlisted && (t.unansweredCalls == 0 || !now.Before(t.downUntil))
}

// capacity is the number of targets that count, a slow one for its share.
func (s *service) capacity(now time.Time) float64 {
	total := 0.0
	for _, t := range s.targets {
		if t.available(now) {
			total += 1 / max(t.slowness, 1)
		}
	}
	return total
}

// callLost notes a call without an answer. What it may have made takes room until
// it expires: counted as free, that room would have the next calls refused.
func (t *target) callUnanswered(now time.Time, bytes int64) {
	t.usedBytes += bytes
	t.reserved = append(t.reserved, reservation{bytes, now.Add(t.service.config.ResultTTL)})
	pause := min(downPause<<min(t.unansweredCalls, 4), downPauseMax)
	t.unansweredCalls++
	t.downUntil = now.Add(pause)
}

// rate is a moving rate of pieces or requests.
type rate struct {
	count float64
	at    time.Time
	// half is the time in which it halves; zero takes rateHalf.
	halfLife time.Duration
}

func (r *rate) add(now time.Time, n int) {
	r.decay(now)
	r.count += float64(n)
}

// read returns how many come a second.
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

// came counts the pieces of a request.
func (s *service) countArrival(now time.Time, rank float64, pieces int) {
	r := s.arrivalRates[rank]
	if r == nil {
		r = &rate{}
		s.arrivalRates[rank] = r
	}
	r.add(now, pieces)
}

// taken is the share of the service that timely requests take which rank higher.
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
