package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// processHistory records the signals that one process of an instance was sent, and when.
type processHistory struct {
	instance string
	// grace is the time limit of its planned stop.
	grace time.Duration

	mu sync.Mutex
	// stopBeganAt is the time of the first SIGTERM, secondTermAt that of the second; all are
	// zero if it didn't happen.
	launchedAt, stopBeganAt, secondTermAt, exitedAt time.Time
	// killed reports that the process was sent SIGKILL, so that no clean exit is expected; killedAt is
	// when it was.
	killed   bool
	killedAt time.Time
	// pauses are the periods in which it was paused; the last one may be open.
	pauses []span
}

// span is a period of time; an open one has a zero end.
type span struct{ from, to time.Time }

// overlaps reports whether the span overlaps another, closed one.
func (s span) overlaps(other span) bool {
	return !s.from.After(other.to) && (s.to.IsZero() || !s.to.Before(other.from))
}

// recordSignal records a signal that is about to be sent.
func (h *processHistory) recordSignal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		if h.stopBeganAt.IsZero() {
			h.stopBeganAt = now
		} else if h.secondTermAt.IsZero() {
			h.secondTermAt = now
		}
	case syscall.SIGKILL:
		if !h.killed {
			h.killedAt = now
		}
		h.killed = true
	case syscall.SIGSTOP:
		h.pauses = append(h.pauses, span{from: now})
	case syscall.SIGCONT:
		if n := len(h.pauses); n > 0 && h.pauses[n-1].to.IsZero() {
			h.pauses[n-1].to = now
		}
	}
}

func (h *processHistory) recordExit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitedAt = time.Now()
}

// startupTime is how long a process may take until it handles signals. A signal that ends it
// before that has cut no request.
const startupTime = 250 * time.Millisecond

// mustExitCleanly reports whether the process had to exit by itself and without an error.
func (h *processHistory) mustExitCleanly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.killed && !h.stopBeganAt.IsZero() && h.stopBeganAt.Sub(h.launchedAt) > startupTime
}

// paused reports whether the process was paused at some time in a span.
func (h *processHistory) paused(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pauses {
		if p.overlaps(s) {
			return true
		}
	}
	return false
}

// sinceStop returns how long before a time the planned stop began, and whether it had begun.
func (h *processHistory) sinceStop(at time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopBeganAt.IsZero() || at.Before(h.stopBeganAt) {
		return 0, false
	}
	return at.Sub(h.stopBeganAt), true
}

// describe lists the events of the process, relative to a time.
func (h *processHistory) describe(moment time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := h.instance
	for _, event := range []struct {
		name string
		at   time.Time
	}{{"stop began", h.stopBeganAt}, {"second SIGTERM", h.secondTermAt}, {"process ended", h.exitedAt}} {
		if !event.at.IsZero() {
			text += fmt.Sprintf(", %s %v before", event.name, moment.Sub(event.at).Round(time.Millisecond))
		}
	}
	for _, p := range h.pauses {
		text += fmt.Sprintf(", paused from %v before", moment.Sub(p.from).Round(time.Millisecond))
		if !p.to.IsZero() {
			text += fmt.Sprintf(" to %v before", moment.Sub(p.to).Round(time.Millisecond))
		}
	}
	return text
}
