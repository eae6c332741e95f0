package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// life is what was done to one process of an instance, and when.
type processHistory struct {
	instance string
	// grace is the time that its planned stop has.
	grace time.Duration

	mu sync.Mutex
	// launched is when it was started, stopped when its planned stop began, again when
	// the signal came once more, ended when it was gone; zero if not.
	launchedAt, stopBeganAt, secondTermAt, exitedAt time.Time
	// killed tells that it was not to end by itself.
	killed bool
	// pauses are the spans in which it was paused; the last may be open.
	pauses []span
}

// span is a time from one moment to another; an open one has no end.
type span struct{ from, to time.Time }

// overlaps tells whether the span shares a moment with another, closed one.
func (s span) overlaps(other span) bool {
	return !s.from.After(other.to) && (s.to.IsZero() || !s.to.Before(other.from))
}

// note takes in a signal that is about to be sent.
func (l *processHistory) recordSignal(s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		if l.stopBeganAt.IsZero() {
			l.stopBeganAt = now
		} else if l.secondTermAt.IsZero() {
			l.secondTermAt = now
		}
	case syscall.SIGKILL:
		l.killed = true
	case syscall.SIGSTOP:
		l.pauses = append(l.pauses, span{from: now})
	case syscall.SIGCONT:
		if n := len(l.pauses); n > 0 && l.pauses[n-1].to.IsZero() {
			l.pauses[n-1].to = now
		}
	}
}

func (l *processHistory) recordExit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exitedAt = time.Now()
}

// startTime is how long a process may take until it catches signals. One that ends
// it before has cut nothing.
const startupTime = 250 * time.Millisecond

// stopsCleanly tells whether the process had to end by itself and without an error.
func (l *processHistory) mustExitCleanly() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.killed && !l.stopBeganAt.IsZero() && l.stopBeganAt.Sub(l.launchedAt) > startupTime
}

// paused tells whether the process was paused at some moment of a span.
func (l *processHistory) paused(s span) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pauses {
		if p.overlaps(s) {
			return true
		}
	}
	return false
}

// sinceStop is how long before a moment the planned stop began, if it had.
func (l *processHistory) sinceStop(at time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopBeganAt.IsZero() || at.Before(l.stopBeganAt) {
		return 0, false
	}
	return at.Sub(l.stopBeganAt), true
}

// at tells what had been done to the process by a moment.
func (l *processHistory) describe(moment time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.instance
	for _, event := range []struct {
		name string
		at   time.Time
	}{{"stop began", l.stopBeganAt}, {"second SIGTERM", l.secondTermAt}, {"process ended", l.exitedAt}} {
		if !event.at.IsZero() {
			text += fmt.Sprintf(", %s %v before", event.name, moment.Sub(event.at).Round(time.Millisecond))
		}
	}
	for _, p := range l.pauses {
		text += fmt.Sprintf(", paused from %v before", moment.Sub(p.from).Round(time.Millisecond))
		if !p.to.IsZero() {
			text += fmt.Sprintf(" to %v before", moment.Sub(p.to).Round(time.Millisecond))
		}
	}
	return text
}
