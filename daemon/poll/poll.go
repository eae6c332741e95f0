// Package poll asks the model engines that an instance routes to for their load,
// what they have loaded and their cache events. Replies to requests tell the
// load as well; the polls serve engines that get few.
package poll

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Bounds of the polls.
const (
	// interval is the time between two polls of one engine.
	interval = 2 * time.Second
	// parallel bounds the polls under way at once.
	parallel = 8
	// assumedAge stands for the age of a report, which targets don't tell.
	assumedAge = 300 * time.Millisecond
)

// Engine is one engine to ask.
type Engine struct {
	Incarnation string
	Address     string
}

// Client asks targets; *target.Client is one. Both methods block within bounds
// of the client.
type Client interface {
	Load(ctx context.Context, address string) (targetapi.Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) (targetapi.CacheEvents, error)
}

// Router learns from the answers; *routing.Table is one.
type Router interface {
	Report(now time.Time, incarnation string, load routing.Load)
	Leaving(now time.Time, incarnation string)
	CacheEvent(now time.Time, incarnation string, update routing.CacheUpdate)
}

// Poller is the driver.
type Poller struct {
	client Client
	router Router
	// engines returns those that the instance routes to: a bounded subset.
	engines func() []Engine
	// loaded is told what an engine has loaded.
	loaded func(incarnation string, models, adapters []string)

	mu sync.Mutex
	// next holds the number of the next cache event by incarnation.
	next map[string]uint64
}

// New makes a poller.
func New(c Client, r Router, engines func() []Engine, loaded func(incarnation string, models, adapters []string)) *Poller {
	return &Poller{client: c, router: r, engines: engines, loaded: loaded, next: make(map[string]uint64)}
}

// Run polls until the context ends. Rounds are jittered, so that instances that
// were started together don't ask together.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-timer.C:
			p.round(ctx)
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

func (p *Poller) round(ctx context.Context) {
	engines := p.engines()
	p.forget(engines)
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, engine := range engines {
		group.Go(func() error {
			p.ask(ctx, engine)
			return nil
		})
	}
	_ = group.Wait() // no poll returns an error
}

// ask polls one engine. One that does not answer is judged by the requests that
// it serves, not by its polls.
func (p *Poller) ask(ctx context.Context, e Engine) {
	load, err := p.client.Load(ctx, e.Address)
	if err != nil || load.Incarnation != e.Incarnation {
		return
	}
	now := time.Now()
	p.router.Report(now, e.Incarnation, routing.Load{
		Active: load.Active,
		Queued: load.Queued,
		Slots:  load.Slots,
		Age:    assumedAge,
	})
	if load.Leaving {
		p.router.Leaving(now, e.Incarnation)
	}
	p.loaded(e.Incarnation, load.Models, load.Adapters)
	p.events(ctx, e)
}

func (p *Poller) events(ctx context.Context, e Engine) {
	p.mu.Lock()
	after := p.next[e.Incarnation]
	p.mu.Unlock()
	page, err := p.client.CacheEvents(ctx, e.Address, after)
	if err != nil || page.Incarnation != e.Incarnation {
		return
	}
	p.mu.Lock()
	p.next[e.Incarnation] = page.Next
	p.mu.Unlock()
	update := routing.CacheUpdate{Epoch: epochOf(e.Incarnation), Gap: page.Lost}
	for _, event := range page.Events {
		if event.Added {
			update.Added = append(update.Added, event.Part)
		} else {
			update.Removed = append(update.Removed, event.Part)
		}
	}
	p.router.CacheEvent(time.Now(), e.Incarnation, update)
}

// epochOf tells the cache of one incarnation from that of the next.
func epochOf(incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(incarnation)) // it never fails
	return h.Sum64()
}

// forget drops what is known of engines that are not asked any more.
func (p *Poller) forget(engines []Engine) {
	kept := make(map[string]bool, len(engines))
	for _, e := range engines {
		kept[e.Incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation := range p.next {
		if !kept[incarnation] {
			delete(p.next, incarnation)
		}
	}
}
