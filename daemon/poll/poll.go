// Package poll polls the model engines that an instance routes to for their load, their
// loaded models and adapters, and their cache events. Responses to requests report the load
// as well; polls are for engines that get few requests.
package poll

import (
	"cmp"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Intervals and limits of the polls.
const (
	// interval is the mean time between two ticks.
	interval = 2 * time.Second
	// maxRepeatPolls limits the engines that are polled again on one tick. A poll sends
	// some 240 bytes, and an instance may send 2 KB of control traffic per second,
	// however many engines it routes to. The more engines, the less often each is polled.
	maxRepeatPolls = 8
	// maxFirstPolls limits the engines that are polled for the first time on one tick.
	// Their loaded models are unknown until then, so it is higher than maxRepeatPolls.
	maxFirstPolls = 64
	// maxParallel limits the polls in flight.
	maxParallel = 8
	// assumedReportAge is used as the age of a load report, which targets don't send.
	assumedReportAge = 300 * time.Millisecond
)

// Engine is one engine to poll.
type Engine struct {
	Incarnation string
	Address     string
}

// Client sends the polls; *target.Client is one. Both methods block at most for the
// client's timeouts.
type Client interface {
	Load(ctx context.Context, address string) (targetapi.Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) (targetapi.CacheEvents, error)
}

// Router receives the results of the polls; *routing.Table is one.
type Router interface {
	Report(now time.Time, incarnation string, load routing.Load)
	Leaving(now time.Time, incarnation string)
	CacheEvent(now time.Time, incarnation string, update routing.CacheUpdate)
}

// Poller polls engines periodically.
type Poller struct {
	client Client
	router Router
	// engines returns the engines that the instance routes to, a subset of limited size.
	engines func() []Engine
	// onLoaded is called with the models and adapters that an engine has loaded.
	onLoaded func(incarnation string, models, adapters []string)

	mu sync.Mutex
	// states holds the state of the polled engines, by incarnation.
	states map[string]engineState
}

type engineState struct {
	// nextEvent is the sequence number of the next cache event.
	nextEvent uint64
	// lastTick is the number of the tick that polled the engine last, 0 if none did.
	lastTick uint64
}

// New returns a poller.
func New(c Client, r Router, engines func() []Engine, onLoaded func(incarnation string, models, adapters []string)) *Poller {
	return &Poller{client: c, router: r, engines: engines, onLoaded: onLoaded, states: make(map[string]engineState)}
}

// Run polls until the context ends. Ticks are jittered, so that instances started together
// don't poll together.
func (p *Poller) Run(ctx context.Context) error {
	for tick := uint64(1); ctx.Err() == nil; tick++ {
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-timer.C:
			p.poll(ctx, tick)
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// poll polls the engines that are due on a tick.
func (p *Poller) poll(ctx context.Context, tick uint64) {
	engines := p.engines()
	p.forget(engines)
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, engine := range p.due(engines, tick) {
		group.Go(func() error {
			p.pollEngine(ctx, engine)
			return nil
		})
	}
	_ = group.Wait() // no poll returns an error
}

// due returns the engines to poll on a tick: those never polled, and of the others those
// polled least recently.
func (p *Poller) due(engines []Engine, tick uint64) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unpolled, polled []Engine
	for _, e := range engines {
		if p.states[e.Incarnation].lastTick == 0 {
			unpolled = append(unpolled, e)
		} else {
			polled = append(polled, e)
		}
	}
	slices.SortStableFunc(polled, func(a, b Engine) int {
		return cmp.Compare(p.states[a.Incarnation].lastTick, p.states[b.Incarnation].lastTick)
	})
	chosen := append(unpolled[:min(len(unpolled), maxFirstPolls)], polled[:min(len(polled), maxRepeatPolls)]...)
	for _, e := range chosen {
		state := p.states[e.Incarnation]
		state.lastTick = tick
		p.states[e.Incarnation] = state
	}
	return chosen
}

// pollEngine polls one engine. A failed poll has no effect: engines are judged by the
// requests that they serve, not by polls.
func (p *Poller) pollEngine(ctx context.Context, e Engine) {
	load, err := p.client.Load(ctx, e.Address)
	if err != nil || load.Incarnation != e.Incarnation {
		return
	}
	now := time.Now()
	p.router.Report(now, e.Incarnation, routing.Load{
		Active: load.Active,
		Queued: load.Queued,
		Slots:  load.Slots,
		Age:    assumedReportAge,
	})
	if load.Leaving {
		p.router.Leaving(now, e.Incarnation)
	}
	p.onLoaded(e.Incarnation, load.Models, load.Adapters)
	p.pollCacheEvents(ctx, e)
}

func (p *Poller) pollCacheEvents(ctx context.Context, e Engine) {
	p.mu.Lock()
	after := p.states[e.Incarnation].nextEvent
	p.mu.Unlock()
	page, err := p.client.CacheEvents(ctx, e.Address, after)
	if err != nil || page.Incarnation != e.Incarnation {
		return
	}
	p.mu.Lock()
	state := p.states[e.Incarnation]
	state.nextEvent = page.Next
	p.states[e.Incarnation] = state
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

// epochOf returns the cache epoch of an incarnation, which differs from that of the next.
func epochOf(incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(incarnation)) // never fails
	return h.Sum64()
}

// forget removes the state of engines that are no longer polled.
func (p *Poller) forget(engines []Engine) {
	kept := make(map[string]bool, len(engines))
	for _, e := range engines {
		kept[e.Incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation := range p.states {
		if !kept[incarnation] {
			delete(p.states, incarnation)
		}
	}
}
