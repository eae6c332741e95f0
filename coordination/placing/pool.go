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
	maxScannedCachers = 16
)

// pool is the engines of a service, with indexes for the search among them.
type poolState struct {
	Pool
	model   firstEventModel
	engines map[string]*engineState
	// bySlowness are the engines, the fastest first.
	bySlowdown []*engineState
	// named are the engines of a name, names what their hashes are made of.
	byName map[string][]*engineState
	names  []string
	// dataCentres are those of the engines.
	dataCentres []string
	// holders are the engines that have read a part, by its id.
	cachedBy map[string][]*engineState
	// homes are the names that hashes have given to homes.
	homeNames map[string]string
}

func newPoolState() *poolState {
	return &poolState{
		model: newFirstEventModel(), engines: map[string]*engineState{},
		cachedBy: map[string][]*engineState{}, homeNames: map[string]string{},
	}
}

// set takes the engines and returns those that are gone.
func (p *poolState) setEngines(list []Engine) (gone []*engineState) {
	kept := make(map[string]*engineState, len(list))
	for _, e := range list {
		if kept[e.Incarnation] = p.engines[e.Incarnation]; kept[e.Incarnation] == nil {
			kept[e.Incarnation] = newEngineState(p, e)
		}
	}
	for id, e := range p.engines {
		if kept[id] == nil {
			e.clearCache()
			gone = append(gone, e)
		}
	}
	p.engines = kept
	p.rebuildIndexes()
	return gone
}

// index makes the indexes that depend on the list of engines.
func (p *poolState) rebuildIndexes() {
	p.bySlowdown = slices.SortedFunc(maps.Values(p.engines), compareSlowdown)
	p.byName = map[string][]*engineState{}
	names := map[string]bool{}
	dataCentres := map[string]bool{}
	for _, e := range p.engines {
		p.byName[e.Name] = append(p.byName[e.Name], e)
		names[cmp.Or(e.Name, e.Incarnation)] = true
		dataCentres[e.DataCentre] = true
	}
	p.dataCentres = slices.Collect(maps.Keys(dataCentres))
	if sorted := slices.Sorted(maps.Keys(names)); !slices.Equal(sorted, p.names) {
		p.names = sorted
		clear(p.homeNames)
	}
}

func compareSlowdown(a, b *engineState) int {
	return cmp.Or(cmp.Compare(a.slowdown, b.slowdown), cmp.Compare(a.Incarnation, b.Incarnation))
}

// setSlow notes how slow an engine is.
func (p *poolState) setSlowdown(e *engineState, slow float64) {
	i, _ := slices.BinarySearchFunc(p.bySlowdown, e, compareSlowdown)
	p.bySlowdown = slices.Delete(p.bySlowdown, i, i+1)
	e.slowdown = slow
	i, _ = slices.BinarySearchFunc(p.bySlowdown, e, compareSlowdown)
	p.bySlowdown = slices.Insert(p.bySlowdown, i, e)
}

// rareHolders are the engines that have read the first part of a prompt that few have
// read, and what any other has at least to read.
func (p *poolState) enginesWithRarePart(prompt *Prompt) (holders []*engineState, unread int) {
	unread = prompt.Tokens
	for _, part := range prompt.Parts {
		holders = p.cachedBy[part.ID]
		if len(holders) <= maxScannedCachers {
			break
		}
		unread -= part.Tokens
	}
	return holders, max(unread, 0)
}

// leastDetour is the least of the detours to the data centres.
func (p *poolState) minTransferCost(detour func(dataCentre string) time.Duration) time.Duration {
	var least time.Duration
	for i, dataCentre := range p.dataCentres {
		if d := detour(dataCentre); i == 0 || d < least {
			least = d
		}
	}
	return least
}

// homeOf is the name of the engine that a hash gives to a home.
func (p *poolState) homeOf(home string) string {
	if home == "" {
		return ""
	}
	name, ok := p.homeNames[home]
	if !ok {
		name = p.hashHome(home)
		if len(p.homeNames) >= maxHomes {
			clear(p.homeNames)
		}
		p.homeNames[home] = name
	}
	return name
}

func (p *poolState) hashHome(home string) string {
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
func (p *poolState) addCacher(id string, e *engineState) { p.cachedBy[id] = append(p.cachedBy[id], e) }

// release notes that an engine no longer has a part.
func (p *poolState) removeCacher(id string, e *engineState) {
	holders := p.cachedBy[id]
	if len(holders) == 1 {
		delete(p.cachedBy, id)
		return
	}
	i := slices.Index(holders, e)
	p.cachedBy[id] = slices.Delete(holders, i, i+1)
}
