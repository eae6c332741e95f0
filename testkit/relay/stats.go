package relay

import (
	"context"
	"sync"
)

// Stats counts the events of a relay.
type Stats struct {
	// Open counts the open connections, including muted ones.
	Open int `json:"open"`
	// Accepted counts the connections since the start.
	Accepted int `json:"accepted"`
	// DroppedBytes counts the bytes that arrived on muted ways.
	DroppedBytes int64 `json:"dropped_bytes"`
	// DroppedCloses counts the closes that arrived on muted ways.
	DroppedCloses int `json:"dropped_closes"`
}

// counters holds the stats and notifies waiters of changes.
type counters struct {
	mu      sync.Mutex
	stats   Stats
	changed chan struct{}
}

func (c *counters) init() { c.changed = make(chan struct{}) }

func (c *counters) update(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *counters) read() (Stats, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats, c.changed
}

// Stats returns the current counts.
func (r *Relay) Stats() Stats {
	s, _ := r.counters.read()
	return s
}

// Await waits until the stats meet a condition, so that a test needs no sleep.
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
