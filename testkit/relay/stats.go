package relay

import (
	"context"
	"sync"
)

// Stats counts what a relay has done.
type Stats struct {
	// Open counts the connections that are open, muted ones included.
	Open int `json:"open"`
	// Accepted counts connections since the start.
	Accepted int `json:"accepted"`
	// DroppedBytes counts the bytes that arrived on muted ways.
	DroppedBytes int64 `json:"dropped_bytes"`
	// DroppedCloses counts the closes that arrived on muted ways.
	DroppedCloses int `json:"dropped_closes"`
}

// events keeps the counts and wakes those who wait for one of them.
type counters struct {
	mu      sync.Mutex
	stats   Stats
	changed chan struct{}
}

func (e *counters) init() { e.changed = make(chan struct{}) }

func (e *counters) update(f func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.stats)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *counters) read() (Stats, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats, e.changed
}

// Stats returns the counts.
func (r *Relay) Stats() Stats {
	s, _ := r.counters.read()
	return s
}

// Await waits until the counts meet a condition: a test waits for the event
// itself and needs no sleep.
func (r *Relay) Await(ctx context.Context, met func(Stats) bool) error {
	for {
		s, changed := r.counters.read()
		if met(s) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
