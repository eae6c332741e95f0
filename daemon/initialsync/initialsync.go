// Package initialsync lets an instance that has started receive state from its neighbours before
// it acts on that state.
package initialsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// joinTimeout limits how long an instance waits until it knows another one, which takes a few
	// round trips.
	joinTimeout = 300 * time.Millisecond
	// fanout is how many neighbours are asked at a time.
	fanout = 3
	// Timeout limits the whole sync. Without an answer the instance serves with what it learns from
	// then on.
	Timeout = time.Second
)

// Cluster connects the instances.
type Cluster interface {
	// AwaitPeer waits until another instance is known, or the context ends. It returns at once if
	// there is none.
	AwaitPeer(ctx context.Context)
	// Neighbours returns the addresses of the instances to which there are connections.
	Neighbours() []string
}

// Sync is the receipt of one kind of state at the start of an instance.
type Sync struct {
	done    chan struct{}
	endOnce sync.Once
}

// New returns a Sync that has yet to run.
func New() *Sync { return &Sync{done: make(chan struct{})} }

// Run asks the neighbours in random order. request asks one of them, and returns true if it has
// received the state. Run returns after the first such answer, when all neighbours have been asked,
// or after Timeout; requests in progress continue until then. It may be called once.
func (s *Sync) Run(parent context.Context, c Cluster, request func(ctx context.Context, address string) bool) {
	ctx, cancel := context.WithTimeout(parent, Timeout)
	awaitPeer(ctx, c)
	neighbours := ShuffledNeighbours(c)
	addresses := make(chan string, len(neighbours))
	for _, address := range neighbours {
		addresses <- address
	}
	close(addresses)
	var workers sync.WaitGroup
	for range fanout {
		workers.Go(func() {
			for address := range addresses {
				if s.Done() || ctx.Err() != nil {
					return
				}
				if request(ctx, address) {
					s.end()
				}
			}
		})
	}
	go func() {
		workers.Wait()
		s.end()
		cancel()
	}()
	<-s.done
}

func (s *Sync) end() { s.endOnce.Do(func() { close(s.done) }) }

// awaitPeer waits until another instance is known, within joinTimeout.
func awaitPeer(ctx context.Context, c Cluster) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	c.AwaitPeer(ctx)
}

// ShuffledNeighbours returns the neighbours in random order.
func ShuffledNeighbours(c Cluster) []string {
	addresses := c.Neighbours()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// Done reports whether Run has ended.
func (s *Sync) Done() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Await waits until Run has ended, or the context ends.
func (s *Sync) Await(ctx context.Context) {
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
