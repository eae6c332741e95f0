package placing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// scanChoose is the reference for Choose: it examines all engines and uses no index.
func (t *Table) scanChoose(now time.Time, p *Prompt, transferCost func(dataCentre string) time.Duration) (Choice, bool) {
	pool := t.pools[p.Pool]
	if pool == nil {
		return Choice{}, false
	}
	var best Choice
	var bestCost time.Duration
	found := false
	homeOf := pool.scanHome(p.homeKey())
	for _, e := range pool.engines {
		if slices.Contains(p.Exclude, e.Incarnation) {
			continue
		}
		uncached := e.uncachedTokens(p)
		wait := max(e.scanQueueWait(now), e.slotWait(now))
		seconds := pool.model.seconds(uncached) * e.slowdown
		weighted := float64(uncached) * pool.model.perToken * e.slowdown * (uncachedWeight - 1)
		cost := wait + duration(seconds+weighted) + transferCost(e.DataCentre) + e.readDelay(uncached) + e.runCost(t.predict(now, p))
		if e.Name == homeOf {
			cost -= homeAdvantage
		}
		if now.Before(e.avoidUntil) {
			cost += unreachablePenalty
		}
		if found && cmp.Or(cmp.Compare(cost, bestCost), cmp.Compare(e.Incarnation, best.Engine.Incarnation)) >= 0 {
			continue
		}
		best = Choice{Engine: e.Engine, FirstEvent: wait + duration(seconds), FirstEventIdle: duration(seconds), uncached: uncached, queueWait: wait}
		bestCost, found = cost, true
	}
	return best, found
}

func (p *poolState) scanHome(home string) string {
	if home == "" {
		return ""
	}
	var best string
	var bestScore uint64
	for _, e := range p.engines {
		name := cmp.Or(e.Name, e.Incarnation)
		if score := rendezvous.Score(name, home); best == "" || score < bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

func (e *engineState) scanQueueWait(now time.Time) time.Duration {
	if len(e.prefills) == 0 {
		return 0
	}
	var first, last time.Time
	for _, r := range e.prefills {
		if first.IsZero() || r.due.Before(first) {
			first = r.due
		}
		if r.due.After(last) {
			last = r.due
		}
	}
	overdue := max(now.Sub(first.Add(reportDelay)), 0)
	return max(last.Sub(now), 0) + overdue
}

// randomTable is a table that receives random events in random order.
type randomTable struct {
	*rapid.T
	table   *Table
	now     time.Time
	engines int
	open    []RequestEnd
	next    int
}

func (w *randomTable) draw(name string, most int) int { return rapid.IntRange(0, most).Draw(w.T, name) }

// setEngines adds, removes and restarts random engines; a few have no name.
func (w *randomTable) setEngines() {
	var list []Engine
	for i := range w.engines {
		e := Engine{Incarnation: fmt.Sprintf("e%d@0", i), Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%3)}
		switch w.draw("state", 15) {
		case 0:
			continue
		case 1:
			e.Incarnation = fmt.Sprintf("e%d@1", i)
		case 2:
			list = append(list, e)
			e.Incarnation = fmt.Sprintf("e%d@1", i)
		case 3:
			e.Name = ""
		}
		list = append(list, e)
	}
	w.table.SetEngines(Pool{Name: "p", CacheTokens: 40_000, Slots: 2}, list)
}

// prompt returns a random prompt, which may be shorter than its parts, have a part twice or
// have no parts.
func (w *randomTable) prompt() *Prompt {
	p := &Prompt{Pool: "p", Tokens: 500 * w.draw("tokens", 16)}
	for depth := range w.draw("parts", 4) {
		id := fmt.Sprint("part", depth, w.draw("part", 1<<depth))
		if w.draw("twice", 9) == 0 {
			id = "part00"
		}
		p.Parts = append(p.Parts, Part{id, 500 * w.draw("part tokens", 6)})
	}
	for range w.draw("excluded", 9) - 6 {
		p.Exclude = append(p.Exclude, w.engine())
	}
	return p
}

func (w *randomTable) engine() string { return fmt.Sprintf("e%d@0", w.draw("engine", w.engines)) }

// request compares both choices for a random prompt, and may send it.
func (w *randomTable) request() {
	p := w.prompt()
	transferCosts := map[string]time.Duration{}
	for i := range 3 {
		transferCosts[fmt.Sprint("dc", i)] = time.Duration(w.draw("transfer cost", 3)) * 10 * time.Millisecond
	}
	transferCost := func(dataCentre string) time.Duration { return transferCosts[dataCentre] }
	homes := len(w.table.pools["p"].homeNames)
	explained := w.table.Explain(w.now, p, math.MaxInt64, transferCost, nil)
	require.Len(w, w.table.pools["p"].homeNames, homes)
	want, wantOK := w.table.scanChoose(w.now, p, transferCost)
	got, ok := w.table.Choose(w.now, p, transferCost)
	require.Equal(w, wantOK, ok)
	require.Equal(w, want, got)
	requireExplains(w, explained, got, ok)
	if !ok || w.draw("sent", 3) == 0 {
		return
	}
	id := fmt.Sprint(w.next)
	w.next++
	w.table.RecordSent(w.now, id, p, got)
	w.open = append(w.open, RequestEnd{Request: id, Engine: got.Engine.Incarnation})
}

// requireExplains compares an explanation with a choice.
func requireExplains(t require.TestingT, e Explanation, choice Choice, ok bool) {
	require.Equal(t, ok, e.Found)
	require.Equal(t, choice, e.Choice)
	for i, x := range e.Engines {
		require.Equal(t, ok && i == 0, x.Chosen)
		if x.Chosen {
			require.Equal(t, choice.Engine, x.Engine)
		}
		if i > 0 && x.State == e.Engines[i-1].State && x.State == StateUsable {
			require.GreaterOrEqual(t, x.Terms.Sum(), e.Engines[i-1].Terms.Sum())
		}
	}
}

// end ends a random request, with or without a first event.
func (w *randomTable) end() {
	if len(w.open) == 0 {
		return
	}
	i := w.draw("ended", len(w.open)-1)
	s := w.open[i]
	s.FirstEvent = time.Duration(w.draw("first", 20)) * 20 * time.Millisecond
	s.Running = s.FirstEvent > 0 && w.draw("running", 2) > 0
	if s.Running {
		w.open[i].FirstEvent = s.FirstEvent
	} else {
		w.open = slices.Delete(w.open, i, i+1)
	}
	w.table.RecordProgress(w.now, s)
	w.table.RecordEnd(s)
}

// endStream ends the stream of a random request whose first event may have come.
func (w *randomTable) endStream() {
	if len(w.open) == 0 {
		return
	}
	s := w.open[w.draw("stream", len(w.open)-1)]
	s.Duration, s.Events, s.Complete = s.FirstEvent+time.Duration(1+w.draw("rest", 3000))*time.Millisecond, w.draw("events", 50), w.draw("complete", 3) > 0
	w.table.RecordProgress(w.now, s)
}

// mergeCaches adds a part to the caches of some engines, as after a handover of the queue.
func (w *randomTable) mergeCaches() {
	var caches []EngineCache
	part := Part{fmt.Sprint("part", 0, w.draw("caches", 1)), 500}
	for i := range w.draw("readers", w.engines) {
		caches = append(caches, EngineCache{Pool: "p", Engine: fmt.Sprintf("e%d@0", i), Parts: []Part{part}})
	}
	w.table.MergeCaches(w.now, caches)
}

// Choose examines few engines and must return the same choice as a scan of all of them, both
// with fewer and with more engines than maxScannedCachers.
func TestChooseMatchesScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := rapid.SampledFrom([]func() *Table{NewTable, NewTableByCost}).Draw(rt, "table")()
		w := &randomTable{T: rt, table: table, now: start, engines: rapid.SampledFrom([]int{1, 4, 3 * maxScannedCachers}).Draw(rt, "engines")}
		w.setEngines()
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			w.now = w.now.Add(time.Duration(w.draw("pause", 60)) * time.Millisecond)
			switch w.draw("step", 20) {
			case 0:
				w.setEngines()
			case 1:
				w.table.RecordUnreachable(w.now, "p", w.engine())
			case 2:
				w.mergeCaches()
			case 3:
				w.table.RecordPrefill(w.now, w.prompt(), w.engine())
			case 4:
				w.now = w.now.Add(requestExpiry)
				w.table.Tick(w.now)
			case 5:
				w.endStream()
			case 6, 7, 8, 9:
				w.end()
			default:
				w.request()
			}
			requireConsistentIndexes(rt, w.table.pools["p"])
			requireConsistentAccounts(rt, w.table)
		}
	})
}

// requireConsistentAccounts compares the engines' accounts with the requests that the table knows.
func requireConsistentAccounts(t require.TestingT, table *Table) {
	known := 0
	for _, e := range table.pools["p"].engines {
		memory := 0.0
		for id, g := range e.byID {
			require.Same(t, e, table.running[id])
			memory += g.memory
		}
		require.Equal(t, len(e.byID), e.account.Len())
		require.InDelta(t, memory, e.memory, 1e-6)
		known += len(e.byID)
	}
	require.Len(t, table.running, known)
}

// requireConsistentIndexes compares the indexes with the engines.
func requireConsistentIndexes(t require.TestingT, p *poolState) {
	require.Len(t, p.bySlowdown, len(p.engines))
	require.True(t, slices.IsSortedFunc(p.bySlowdown, compareSlowdown))
	cached, held := 0, 0
	for _, e := range p.engines {
		cached += len(e.cached)
		for id := range e.cached {
			require.Contains(t, p.cachedBy[id], e)
		}
	}
	for _, cachers := range p.cachedBy {
		held += len(cachers)
	}
	require.Equal(t, cached, held)
	require.LessOrEqual(t, len(p.homeNames), maxHomes)
}
