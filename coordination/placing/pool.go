package placing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

const (
	// maxHomes limits the number of home keys whose hash results are cached.
	maxHomes = 4096
	// maxScannedCachers is the largest number of engines with a part in cache that Choose
	// examines one by one.
	maxScannedCachers = 16
)

// poolState holds the engines of a service, with indexes for Choose.
type poolState struct {
	Pool
	model firstEventModel
	steps stepModel
	// grants are the sends that were granted.
	grants  pacing.Holder
	engines map[string]*engineState
	// bySlowdown has the engines in ascending order of slowdown.
	bySlowdown []*engineState
	// byName has the engines by name, names is the sorted input of the hash of homes: the
	// incarnation stands in for an empty name.
	byName map[string][]*engineState
	names  []string
	// dataCentres has each data centre with an engine once.
	dataCentres []string
	// cachedBy has the engines that have a part in cache, by the part's ID.
	cachedBy map[string][]*engineState
	// homeNames caches the result of hashHome by home key.
	homeNames map[string]string
}

func newPoolState() *poolState {
	return &poolState{
		model: newFirstEventModel(), engines: map[string]*engineState{},
		cachedBy: map[string][]*engineState{}, homeNames: map[string]string{},
	}
}

// setEngines replaces the list of engines and returns those that were removed.
func (p *poolState) setEngines(list []Engine) (removed []*engineState) {
	kept := make(map[string]*engineState, len(list))
	for _, e := range list {
		if kept[e.Incarnation] = p.engines[e.Incarnation]; kept[e.Incarnation] == nil {
			kept[e.Incarnation] = newEngineState(p, e)
		}
	}
	for id, e := range p.engines {
		if kept[id] == nil {
			e.clearCache()
			removed = append(removed, e)
		}
	}
	p.engines = kept
	p.rebuildIndexes()
	return removed
}

// setLimits sets the paces of the engines that name a limit, by incarnation.
func (p *poolState) setLimits(limits map[string]pacing.Pace) {
	for incarnation, e := range p.engines {
		e.limit = limits[incarnation]
	}
}

// rebuildIndexes rebuilds the indexes that depend on the list of engines.
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

// setSlowdown changes an engine's slowdown and its position in bySlowdown.
func (p *poolState) setSlowdown(e *engineState, slowdown float64) {
	i, _ := slices.BinarySearchFunc(p.bySlowdown, e, compareSlowdown)
	p.bySlowdown = slices.Delete(p.bySlowdown, i, i+1)
	e.slowdown = slowdown
	i, _ = slices.BinarySearchFunc(p.bySlowdown, e, compareSlowdown)
	p.bySlowdown = slices.Insert(p.bySlowdown, i, e)
}

// enginesWithRarePart finds the first part of a prompt that at most maxScannedCachers engines
// have in cache. It returns these engines, and a lower bound for the uncached tokens at every
// other engine. If there is no such part, it returns the engines that have the last part.
func (p *poolState) enginesWithRarePart(prompt *Prompt) (cachers []*engineState, uncached int) {
	uncached = prompt.Tokens
	for _, part := range prompt.Parts {
		cachers = p.cachedBy[part.ID]
		if len(cachers) <= maxScannedCachers {
			break
		}
		uncached -= part.Tokens
	}
	return cachers, max(uncached, 0)
}

// minTransferCost returns the lowest transfer cost to any data centre of the engines.
func (p *poolState) minTransferCost(transferCost func(dataCentre string) time.Duration) time.Duration {
	var least time.Duration
	for i, dataCentre := range p.dataCentres {
		if d := transferCost(dataCentre); i == 0 || d < least {
			least = d
		}
	}
	return least
}

// homeOf returns the engine name that the hash assigns to a home key.
func (p *poolState) homeOf(key string) string {
	if key == "" {
		return ""
	}
	name, ok := p.homeNames[key]
	if !ok {
		name = p.hashHome(key)
		if len(p.homeNames) >= maxHomes {
			clear(p.homeNames)
		}
		p.homeNames[key] = name
	}
	return name
}

func (p *poolState) hashHome(key string) string {
	var best string
	var bestScore uint64
	for _, name := range p.names {
		if score := rendezvous.Score(name, key); best == "" || score < bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// addCacher records that an engine has a part in cache.
func (p *poolState) addCacher(id string, e *engineState) { p.cachedBy[id] = append(p.cachedBy[id], e) }

// removeCacher records that an engine no longer has a part in cache.
func (p *poolState) removeCacher(id string, e *engineState) {
	cachers := p.cachedBy[id]
	if len(cachers) == 1 {
		delete(p.cachedBy, id)
		return
	}
	i := slices.Index(cachers, e)
	p.cachedBy[id] = slices.Delete(cachers, i, i+1)
}
