package target

import (
	"sync"
	"time"
)

// samplesPerLag bounds the history: changes closer together are merged.
const samplesPerLag = 16

// sample is the load at one moment.
type loadSample struct {
	at             time.Time
	active, queued int
}

// loadHistory knows the load of some moments ago, as real targets report it.
type loadHistory struct {
	now func() time.Time
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

func newLoadHistory(now func() time.Time, lag time.Duration) *loadHistory {
	return &loadHistory{now: now, lag: lag, samples: []loadSample{{at: now()}}}
}

// record notes a change of the load.
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

// report returns the load as it was one lag ago.
func (h *loadHistory) reported() loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(h.now())
	return h.samples[0]
}

// prune drops the samples that a newer one has superseded for every reader.
func (h *loadHistory) prune(now time.Time) {
	visible := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(visible) {
		h.samples = h.samples[1:]
	}
}
