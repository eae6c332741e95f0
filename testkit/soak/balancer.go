package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// probeInterval is the time between two readiness probes, and the timeout of each.
	probeInterval = 100 * time.Millisecond
	// probeFailureLimit is how many consecutive failed probes remove an instance from the
	// balancer. It is reached well within the delay that a stopping instance leaves the
	// balancer.
	probeFailureLimit = 2
)

// balancer returns the instances for new connections: those whose readiness probe succeeds.
type balancer struct {
	instances []*instance
	available []atomic.Bool
}

// startBalancer probes the instances until the context ends.
func startBalancer(ctx context.Context, wg *sync.WaitGroup, instances []*instance) *balancer {
	b := &balancer{instances: instances, available: make([]atomic.Bool, len(instances))}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeInterval}
	for i, in := range instances {
		wg.Go(func() { b.probe(ctx, client, in, &b.available[i]) })
	}
	return b
}

func (b *balancer) probe(ctx context.Context, client *http.Client, in *instance, state *atomic.Bool) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	misses := 0
	for {
		if isReady(client, in) {
			misses = 0
			state.Store(true)
		} else if misses++; misses >= probeFailureLimit {
			state.Store(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isReady(client *http.Client, in *instance) bool {
	response, err := client.Get("http://" + in.adminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode == http.StatusOK
}

// choose returns a ready instance for a new connection; nil if there is none.
func (b *balancer) choose(random *rand.Rand) *instance {
	first := random.IntN(len(b.instances))
	for i := range b.instances {
		n := (first + i) % len(b.instances)
		if b.available[n].Load() {
			return b.instances[n]
		}
	}
	return nil
}
