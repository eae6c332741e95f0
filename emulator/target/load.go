package target

import (
	"sync"
	"time"
)

// samplesPerLag bounds the history: changes within lag/samplesPerLag are merged.
const samplesPerLag = 16

// loadSample is the load at one point in time.
type loadSample struct {
	at             time.Time
	active, queued int
}

// loadHistory keeps past samples so that reports lag as those of real targets do.
type loadHistory struct {
	now func() time.Time
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

func newLoadHistory(now func() time.Time, lag time.Duration) *loadHistory {
	return &loadHistory{now: now, lag: lag, samples: []loadSample{{at: now()}}}
}

// record adds a change of the load.
func (h *loadHistory) record(active, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.now()
	h.prune(at)
	last := &h.samples[len(h.samples)-1]
	if len(h.samples) > 1 && at.Sub(last.at) < h.lag/samplesPerLag {
		last.active, last.queued = active, queued
		return
	}
	h.samples = append(h.samples, loadSample{at: at, active: active, queued: queued})
}

// reported returns the load as it was one lag ago.
func (h *loadHistory) reported() loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(h.now())
	return h.samples[0]
}

// prune drops each sample whose successor is at least one lag old.
func (h *loadHistory) prune(now time.Time) {
	visible := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(visible) {
		h.samples = h.samples[1:]
	}
}
