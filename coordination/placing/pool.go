package placing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

const (
	// maxHomes bounds the homes whose engines are remembered.
	maxHomes = 4096
	// fewHolders are so few engines that each is looked at.
	fewHolders = 16
)

// pool is the engines of a service, with indexes for the search among them.
type pool struct {
	Pool
	model   model
	engines map[string]*engine
	// bySlowness are the engines, the fastest first.
	bySlowness []*engine
	// named are the engines of a name, names what their hashes are made of.
	named map[string][]*engine
	names []string
	// dataCentres are those of the engines.
	dataCentres []string
	// holders are the engines that have read a part, by its id.
	holders map[string][]*engine
	// homes are the names that hashes have given to homes.
	homes map[string]string
}

func newPool() *pool {
	return &pool{
		model: newModel(), engines: map[string]*engine{},
		holders: map[string][]*engine{}, homes: map[string]string{},
	}
}

// set takes the engines and returns those that are gone.
func (p *pool) set(list []Engine) (gone []*engine) {
	kept := make(map[string]*engine, len(list))
	for _, e := range list {
		if kept[e.Incarnation] = p.engines[e.Incarnation]; kept[e.Incarnation] == nil {
			kept[e.Incarnation] = newEngine(p, e)
		}
	}
	for id, e := range p.engines {
		if kept[id] == nil {
			e.forgetParts()
			gone = append(gone, e)
		}
	}
	p.engines = kept
	p.index()
	return gone
}

// index makes the indexes that depend on the list of engines.
func (p *pool) index() {
	p.bySlowness = slices.SortedFunc(maps.Values(p.engines), compareSlowness)
	p.named = map[string][]*engine{}
	names := map[string]bool{}
	dataCentres := map[string]bool{}
	for _, e := range p.engines {
		p.named[e.Name] = append(p.named[e.Name], e)
		names[cmp.Or(e.Name, e.Incarnation)] = true
		dataCentres[e.DataCentre] = true
	}
	p.dataCentres = slices.Collect(maps.Keys(dataCentres))
	if sorted := slices.Sorted(maps.Keys(names)); !slices.Equal(sorted, p.names) {
		p.names = sorted
		clear(p.homes)
	}
}

func compareSlowness(a, b *engine) int {
	return cmp.Or(cmp.Compare(a.slow, b.slow), cmp.Compare(a.Incarnation, b.Incarnation))
}

// setSlow notes how slow an engine is.
func (p *pool) setSlow(e *engine, slow float64) {
	i, _ := slices.BinarySearchFunc(p.bySlowness, e, compareSlowness)
	p.bySlowness = slices.Delete(p.bySlowness, i, i+1)
	e.slow = slow
	i, _ = slices.BinarySearchFunc(p.bySlowness, e, compareSlowness)
	p.bySlowness = slices.Insert(p.bySlowness, i, e)
}

// rareHolders are the engines that have read the first part of a prompt that few have
// read, and what any other has at least to read.
func (p *pool) rareHolders(prompt *Prompt) (holders []*engine, unread int) {
	unread = prompt.Tokens
	for _, part := range prompt.Parts {
		holders = p.holders[part.ID]
		if len(holders) <= fewHolders {
			break
		}
		unread -= part.Tokens
	}
	return holders, max(unread, 0)
}

// leastDetour is the least of the detours to the data centres.
func (p *pool) leastDetour(detour func(dataCentre string) time.Duration) time.Duration {
	var least time.Duration
	for i, dataCentre := range p.dataCentres {
		if d := detour(dataCentre); i == 0 || d < least {
			least = d
		}
	}
	return least
}

// homeOf is the name of the engine that a hash gives to a home.
func (p *pool) homeOf(home string) string {
	if home == "" {
		return ""
	}
	name, ok := p.homes[home]
	if !ok {
		name = p.hash(home)
		if len(p.homes) >= maxHomes {
			clear(p.homes)
		}
		p.homes[home] = name
	}
	return name
}

func (p *pool) hash(home string) string {
	var best string
	var bestScore uint64
	for _, name := range p.names {
		if score := rendezvous.Score(name, home); best == "" || score < bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// hold notes that an engine has read a part.
func (p *pool) hold(id string, e *engine) { p.holders[id] = append(p.holders[id], e) }

// release notes that an engine no longer has a part.
func (p *pool) release(id string, e *engine) {
	holders := p.holders[id]
	if len(holders) == 1 {
		delete(p.holders, id)
		return
	}
	i := slices.Index(holders, e)
	p.holders[id] = slices.Delete(holders, i, i+1)
}
