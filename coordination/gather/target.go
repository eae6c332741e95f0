package gather

import "time"

// service is the queue and the targets of one stage service.
type service struct {
	name    string
	shape   Shape
	targets map[string]*target
	// queue holds the stages with pieces to send.
	queue []*stageWork
	// pieceFactor is, by kind of request and stage, how many times the shape's
	// PieceTime a piece takes.
	pieceFactor map[factorKey]float64
}

type factorKey struct {
	route string
	stage int
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
	// strikes counts the calls in a row that brought nothing, refused ones too.
	strikes int
	// busyUntil is when the latest call should end.
	busyUntil time.Time
	leaving   bool
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
	// timeoutFactor times the expected time, and timeoutMargin, make a call
	// count as lost. A target that works five times as long is still waited for
	// once it is known to.
	timeoutFactor = 3.0
	timeoutMargin = 200 * time.Millisecond
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

// expected is how long a call of pieces takes at a target of usual speed.
func (s *service) expected(pieceTime time.Duration) time.Duration {
	return s.shape.CallTime + pieceTime
}

// pieceTime is what one piece of a stage adds to a call.
func (s *service) pieceTime(w *stageWork) time.Duration {
	factor, ok := s.pieceFactor[factorKey{w.work.Route, w.index}]
	if !ok {
		factor = 1
	}
	return time.Duration(factor * float64(s.shape.PieceTime))
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

// lost notes a call without an answer.
func (t *target) lost(now time.Time) {
	pause := min(downPause<<min(t.failures, 4), downPauseMax)
	t.failures++
	t.downUntil = now.Add(pause)
}
