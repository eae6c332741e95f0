package relay

import (
	"sync"
	"time"
)

const (
	// silenceRecheck is the interval at which another target is sought again beside a silent one
	// for which there is none yet, or no retry budget.
	silenceRecheck = 100 * time.Millisecond
	// maxTimerDelay is how late a timeout ends on an instance that runs. If it is later, the instance
	// was paused, and the reply may have come meanwhile: it gets replyGrace to be read.
	maxTimerDelay = 50 * time.Millisecond
	replyGrace    = 50 * time.Millisecond
	// minTimeElsewhere is the time that another target needs at least for a response that is
	// of use.
	minTimeElsewhere = engineFirstEventTime
)

// silenceTimer reports a target that has been silent for too long. It is safe for concurrent use.
type silenceTimer struct {
	// report reports the silence. It returns false if nothing can be done about it yet.
	report func() bool

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time
	stopped bool
}

func newSilenceTimer(timeout time.Duration, report func() bool) *silenceTimer {
	t := &silenceTimer{report: report}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(timeout)
	t.timer = time.AfterFunc(timeout, t.expire)
	return t
}

// expire runs at the end of a timeout. A silent target that nothing can be done about would
// otherwise hold the request until its deadline, although the budget allows a retry soon.
func (t *silenceTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || time.Now().Before(t.due) {
		return // reset or stopped meanwhile
	}
	if time.Since(t.due) > maxTimerDelay {
		t.reset(replyGrace)
		return
	}
	if !t.report() {
		t.reset(silenceRecheck)
	}
}

// Reset starts the timeout anew, after a sign of life of the target.
func (t *silenceTimer) Reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.reset(timeout)
	}
}

// reset sets the timer; mu is held.
func (t *silenceTimer) reset(timeout time.Duration) {
	t.due = time.Now().Add(timeout)
	t.timer.Reset(timeout)
}

// Stop ends the timer.
func (t *silenceTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
