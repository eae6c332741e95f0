package experiment

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// StageInfo is a stage of a request at a moment, for the decisions of Control.
type StageInfo struct {
	Request *Request
	Shape   *Shape
	Stage   int
	// Attempt counts the attempts that were sent before.
	Attempts int
	// Left is the time to the end-to-end deadline.
	Remaining time.Duration
}

// Spec returns the stage's shape.
func (s StageInfo) StageShape() *StageShape {
	return &s.Shape.Stages[s.Stage]
}

// Control is the admission, retry and hedge policy of one instance.
type Control interface {
	// Admit tells whether a request is taken at all.
	Admit(now time.Time, s StageInfo) bool
	// StartStage calls start once the stage may begin, or with false when it is
	// not worth starting; at once or later.
	StartStage(now time.Time, s StageInfo, start func(ok bool))
	// Retry tells whether a failed stage is sent again, and spends for it.
	Retry(now time.Time, s StageInfo) bool
	// HedgeAfter tells how long to wait before a second attempt; ok is false
	// when the stage is not hedged.
	HedgeAfter(now time.Time, s StageInfo) (after time.Duration, ok bool)
	// Hedge tells whether the second attempt may be sent, and spends for it.
	Hedge(now time.Time, s StageInfo) bool
	// AttemptDone and RequestDone tell how attempts and requests ended. An
	// attempt's size is its work relative to the stage's mean, as its answer
	// told; 0 when it told none.
	AttemptDone(now time.Time, s StageInfo, result routing.Result, size float64)
	RequestDone(now time.Time, s StageInfo, attained bool)
}

// Gossiper is a Control that talks with its peers at every digest interval.
type Gossiper interface {
	// Digest also tells the slots of each pool that are routable now.
	Digest(now time.Time, slots map[string]int) any
	PeerDigest(now time.Time, origin string, digest any)
}

// Plain admits everything, sends a failed repeatable stage again once and
// hedges nothing.
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
