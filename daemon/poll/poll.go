// Package poll asks the model engines that an instance routes to for their load,
// what they have loaded and their cache events. Replies to requests tell the
// load as well; the polls serve engines that get few.
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

// Bounds of the polls.
const (
	// interval is the mean time between two rounds.
	interval = 2 * time.Second
	// perRound bounds the engines asked again in one round. A poll sends some
	// 240 bytes, and what an instance may send for control is 2 KB a second,
	// however many engines it routes to: more engines are asked less often.
	maxRepeatPolls = 8
	// newPerRound bounds the engines asked for the first time in one round.
	// Until then it is unknown what they have loaded, so they don't wait.
	maxFirstPolls = 64
	// parallel bounds the polls under way at once.
	maxParallel = 8
	// assumedAge stands for the age of a report, which targets don't tell.
	assumedReportAge = 300 * time.Millisecond
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
	onLoaded func(incarnation string, models, adapters []string)

	mu sync.Mutex
	// known holds what was learned of the engines that are asked, by incarnation.
	states map[string]engineState
}

type engineState struct {
	// next is the number of the next cache event.
	nextEvent uint64
	// asked is the round in which the engine was asked last.
	lastTick uint64
}

// New makes a poller.
func New(c Client, r Router, engines func() []Engine, loaded func(incarnation string, models, adapters []string)) *Poller {
	return &Poller{client: c, router: r, engines: engines, onLoaded: loaded, states: make(map[string]engineState)}
}

// Run polls until the context ends. Rounds are jittered, so that instances that
// were started together don't ask together.
func (p *Poller) Run(ctx context.Context) error {
	for round := uint64(1); ctx.Err() == nil; round++ {
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-timer.C:
			p.poll(ctx, round)
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

func (p *Poller) poll(ctx context.Context, round uint64) {
	engines := p.engines()
	p.forget(engines)
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, engine := range p.due(engines, round) {
		group.Go(func() error {
			p.pollEngine(ctx, engine)
			return nil
		})
	}
	_ = group.Wait() // no poll returns an error
}

// due chooses the engines to ask in a round: those never asked, and of the others
// those that were not asked for longest.
func (p *Poller) due(engines []Engine, round uint64) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh, again []Engine
	for _, e := range engines {
		if p.states[e.Incarnation].lastTick == 0 {
			fresh = append(fresh, e)
		} else {
			again = append(again, e)
		}
	}
	slices.SortStableFunc(again, func(a, b Engine) int {
		return cmp.Compare(p.states[a.Incarnation].lastTick, p.states[b.Incarnation].lastTick)
	})
	chosen := append(fresh[:min(len(fresh), maxFirstPolls)], again[:min(len(again), maxRepeatPolls)]...)
	for _, e := range chosen {
		state := p.states[e.Incarnation]
		state.lastTick = round
		p.states[e.Incarnation] = state
	}
	return chosen
}

// ask polls one engine. One that does not answer is judged by the requests that
// it serves, not by its polls.
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
	for incarnation := range p.states {
		if !kept[incarnation] {
			delete(p.states, incarnation)
		}
	}
}
