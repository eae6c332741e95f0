package experiment

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// StageInfo describes a stage of a request at a moment, as input to the
// decisions of a Control.
type StageInfo struct {
	Request *Request
	Shape   *Shape
	Stage   int
	// Attempts is the number of attempts that were sent before.
	Attempts int
	// Remaining is the time until the end-to-end deadline.
	Remaining time.Duration
}

// StageShape returns the shape of the stage.
func (s StageInfo) StageShape() *StageShape {
	return &s.Shape.Stages[s.Stage]
}

// Control is the admission, retry and hedge policy of one instance.
type Control interface {
	// Admit returns whether a request is accepted.
	Admit(now time.Time, s StageInfo) bool
	// StartStage calls start, at once or later: with true when the stage may
	// begin, with false when it can't meet the deadline any more.
	StartStage(now time.Time, s StageInfo, start func(ok bool))
	// Retry returns whether a failed stage is sent again, and charges the retry
	// budget for it.
	Retry(now time.Time, s StageInfo) bool
	// HedgeAfter returns the delay before a second, parallel attempt; ok is
	// false when the stage is not hedged.
	HedgeAfter(now time.Time, s StageInfo) (after time.Duration, ok bool)
	// Hedge returns whether the second attempt may be sent, and charges the
	// retry budget for it.
	Hedge(now time.Time, s StageInfo) bool
	// AttemptDone and RequestDone report how an attempt and a request ended. The
	// size of an attempt is its work relative to the stage's mean, as given in
	// the response; it is 1 when the response gives none.
	AttemptDone(now time.Time, s StageInfo, result routing.Result, size float64)
	RequestDone(now time.Time, s StageInfo, attained bool)
}

// Gossiper is a Control that exchanges digests with its peers at every digest
// interval.
type Gossiper interface {
	// Digest returns the instance's own digest. slots holds the number of slots
	// of each pool that are routable now.
	Digest(now time.Time, slots map[string]int) any
	PeerDigest(now time.Time, origin string, digest any)
}

// PlainControl is a Control that admits every request, retries a failed
// repeatable stage once and never hedges.
type PlainControl struct{}

// Admit implements Control.
func (PlainControl) Admit(time.Time, StageInfo) bool { return true }

// StartStage implements Control.
func (PlainControl) StartStage(_ time.Time, _ StageInfo, start func(bool)) { start(true) }

// Retry implements Control.
func (PlainControl) Retry(_ time.Time, s StageInfo) bool {
	return s.Attempts < 2 && s.StageShape().Repeatable
}

// HedgeAfter implements Control.
func (PlainControl) HedgeAfter(time.Time, StageInfo) (time.Duration, bool) { return 0, false }

// Hedge implements Control.
func (PlainControl) Hedge(time.Time, StageInfo) bool { return false }

// AttemptDone implements Control.
func (PlainControl) AttemptDone(time.Time, StageInfo, routing.Result, float64) {}

// RequestDone implements Control.
func (PlainControl) RequestDone(time.Time, StageInfo, bool) {}
