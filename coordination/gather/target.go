package gather

import (
	"cmp"
	"math"
	"time"
)

// service is the queue and the targets of one stage service.
type service struct {
	name    string
	shape   Shape
	targets map[string]*target
	// queue holds the stages with pieces to send.
	queue   []*stageWork
	backlog backlog
	times   callTimes
	// rates are, by rank, the pieces a second that came lately.
	rates map[float64]*rate
}

// target is one stage target.
type target struct {
	Target
	service *service
	calls   int
	// heldBytes is the room that results take, with those of calls on the way.
	heldBytes int64
	// slow is how many times its expected time a call takes, as a moving
	// average.
	slow float64
	// lastCall is the start of the latest call.
	lastCall time.Time
	// downUntil is when a target that failed is tried again.
	downUntil time.Time
	failures  int
	// lost are results that a call without an answer may have left.
	lost []lostRoom
	// answered tells that some call was answered.
	answered bool
	// shortAt is when a result last found no room.
	shortAt time.Time
	// strikes counts the calls in a row that brought nothing, refused ones too.
	strikes int
	// busyUntil is when the latest call should end.
	busyUntil time.Time
	leaving   bool
	// ended tells that the process is gone, since another took its name. A reply of it
	// that is read after that names results that nobody holds.
	ended bool
}

// Tuning of the targets.
const (
	// sampleShare is the share of a new sample in the moving averages: three or
	// four calls, about a second, tell of a target that turned slow.
	sampleShare = 0.35
	// slowFactor is the slowness from which on a target is passed over while
	// others have time: below it differences are those of batch sizes.
	slowFactor = 1.7
	// slowProbe is the time after which a slow target gets a call again, to
	// learn whether it still is.
	slowProbe = 1500 * time.Millisecond
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
	rateHalf = 700 * time.Millisecond
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
	return !t.leaving && t.calls < max(t.service.shape.Slots, 1) && !now.Before(t.downUntil)
}

// up tells whether the target counts as capacity.
func (t *target) up(now time.Time) bool {
	return !t.leaving && (t.failures == 0 || !now.Before(t.downUntil))
}

// capacity is the number of targets that count, a slow one for its share.
func (s *service) capacity(now time.Time) float64 {
	total := 0.0
	for _, t := range s.targets {
		if t.up(now) {
			total += 1 / max(t.slow, 1)
		}
	}
	return total
}

// callLost notes a call without an answer. What it may have made takes room until
// it expires: counted as free, that room would have the next calls refused.
func (t *target) callLost(now time.Time, bytes int64) {
	t.heldBytes += bytes
	t.lost = append(t.lost, lostRoom{bytes, now.Add(t.service.shape.KeepFor)})
	pause := min(downPause<<min(t.failures, 4), downPauseMax)
	t.failures++
	t.downUntil = now.Add(pause)
}

// rate is a moving rate of pieces or requests.
type rate struct {
	count float64
	at    time.Time
	// half is the time in which it halves; zero takes rateHalf.
	half time.Duration
}

func (r *rate) add(now time.Time, n int) {
	r.decay(now)
	r.count += float64(n)
}

// read returns how many come a second.
func (r *rate) read(now time.Time) float64 {
	r.decay(now)
	return r.count * math.Ln2 / cmp.Or(r.half, rateHalf).Seconds()
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.count *= math.Exp2(-float64(now.Sub(r.at)) / float64(cmp.Or(r.half, rateHalf)))
	}
	r.at = now
}

// came counts the pieces of a request.
func (s *service) came(now time.Time, rank float64, pieces int) {
	r := s.rates[rank]
	if r == nil {
		r = &rate{}
		s.rates[rank] = r
	}
	r.add(now, pieces)
}

// taken is the share of the service that timely requests take which rank higher.
func (s *service) taken(now time.Time, rank, capacity float64) float64 {
	pieces := 0.0
	for other, r := range s.rates {
		if other < rank {
			pieces += r.read(now)
		}
	}
	perPiece := s.callTime().Seconds()/float64(max(s.shape.MaxPieces, 1)) + s.shape.PieceTime.Seconds()
	return pieces * perPiece / capacity
}
