package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func mixedLoad() play {
	return play{engines: 6, slots: 64, lasts: time.Minute, kinds: []playKind{
		{name: "light", rate: 40, subjects: 40, shared: 1000, own: 300, output: 20},
		{name: "long", rate: 14, subjects: 12, shared: 2000, own: 500, output: 400},
	}}
}

// plays returns the sums of four plays with the same arrivals, before and by cost.
func plays(t *testing.T, load play) (before, after playResult) {
	for seed := range uint64(4) {
		for _, byCost := range []bool{false, true} {
			p, sum := load, &before
			if p.byCost = byCost; byCost {
				sum = &after
			}
			r := p.run(seed)
			t.Logf("by cost %v: %d of %d light in time, p90 %v, busiest %.2f, %d shared tokens read, %d of %d sends overfull",
				byCost, r.lightInTime, r.light, r.lateDecile, r.busiest, r.sharedRead, r.overfull, r.sent)
			sum.light, sum.lightInTime, sum.sharedRead = sum.light+r.light, sum.lightInTime+r.lightInTime, sum.sharedRead+r.sharedRead
			sum.overfull, sum.sent, sum.busiest = sum.overfull+r.overfull, sum.sent+r.sent, max(sum.busiest, r.busiest)
		}
	}
	return before, after
}

// Guards against long generations that the choice doesn't see: light requests are late where many run,
// while other engines have few. One in ten lost reports of ends must not matter either.
func TestLongGenerationsAreBalanced(t *testing.T) {
	for _, lost := range []float64{0, 0.1} {
		load := mixedLoad()
		load.lost = lost
		_, after := plays(t, load)
		require.Less(t, after.busiest, 1.3)
		require.GreaterOrEqual(t, float64(after.lightInTime), 0.95*float64(after.light))
	}
}

// Guards against an engine that is sent more than its memory holds, some 22 prompts of 9,200 tokens,
// while another has room: it would preempt requests and read them again, or end.
func TestMemoryOfEnginesIsNotExceeded(t *testing.T) {
	for _, rate := range []float64{7, 9} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) { playMemory(t, rate, false) })
	}
	// Here no send depends on ends that the holder couldn't know of yet: the choice alone is at fault.
	t.Run("9 a second, reports at once", func(t *testing.T) { playMemory(t, 9, true) })
}

func playMemory(t *testing.T, rate float64, atOnce bool) {
	before, after := plays(t, play{engines: 6, slots: 64, memory: 222_000, lasts: time.Minute, atOnce: atOnce, kinds: []playKind{
		{name: "long", rate: rate, subjects: 12, shared: 2000, own: 7200, output: 300},
	}})
	require.Positive(t, before.overfull, "the load needs the guard")
	require.Zero(t, after.overfull)
}

// Guards against requests that leave the engine with their shared parts because of the others there:
// these parts would be read again.
func TestSharedPartsAreNotReadAgain(t *testing.T) {
	for _, rate := range []float64{22, 28, 34} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) {
			before, after := plays(t, play{engines: 6, slots: 64, lasts: time.Minute, kinds: []playKind{
				{name: "light", rate: rate, subjects: 60, shared: 6000, own: 1000, output: 100},
			}})
			require.LessOrEqual(t, after.sharedRead, before.sharedRead)
		})
	}
}

// Guards against an engine that gets no requests after it has been slow.
func TestRecoveredEngineGetsRequests(t *testing.T) {
	for seed := range uint64(4) {
		load := mixedLoad()
		load.slowUntil, load.byCost = 20*time.Second, true
		load.run(seed)
		running := 0
		for _, e := range load.sims {
			running += len(e.running)
		}
		require.Greater(t, len(load.sims[0].running), running/load.engines/2, "half of an even share")
	}
}

// accountTable returns a table of two engines, and has the first request sent and begun at one of them.
func accountTable(t *testing.T) (*Table, Choice) {
	table := NewTableByCost()
	setAccountEngines(table, "e0@1", "e1@1")
	prompt := &Prompt{Pool: "p", Tokens: 1000}
	c, ok := table.Choose(start, prompt, noTransferCost)
	require.True(t, ok)
	table.RecordSent(start, "1", prompt, c)
	table.RecordProgress(start.Add(time.Second), RequestEnd{Request: "1", Engine: c.Engine.Incarnation, FirstEvent: time.Second, Running: true})
	return table, c
}

func setAccountEngines(table *Table, incarnations ...string) {
	var list []Engine
	for _, id := range incarnations {
		list = append(list, Engine{Incarnation: id, Name: id[:2]})
	}
	table.SetEngines(Pool{Name: "p", CacheTokens: 10_000, Slots: 1}, list)
}

// requireAccount compares what is known of the engine.
func requireAccount(t *testing.T, table *Table, engine string, requests int, memory float64) {
	e := table.pools["p"].engines[engine]
	require.Equal(t, requests, e.account.Len())
	require.InDelta(t, memory, e.memory, 1e-6)
	require.Len(t, table.running, requests)
}

// Guards against an engine that counts as busy for good after a report of an end was lost.
func TestLostEndExpires(t *testing.T) {
	table, c := accountTable(t)
	table.Tick(start.Add(unknownExpiry))
	requireAccount(t, table, c.Engine.Incarnation, 1, 1000)
	table.Tick(start.Add(unknownExpiry + time.Second))
	requireAccount(t, table, c.Engine.Incarnation, 0, 0)
}

// Guards against an engine that started again and counts as running what its last incarnation ran, and
// against a late report about that which ends something else.
func TestRestartedEngineHasNoWork(t *testing.T) {
	table, c := accountTable(t)
	setAccountEngines(table, "e0@2", "e1@2")
	requireAccount(t, table, c.Engine.Name+"@2", 0, 0)
	table.RecordSent(start, "1", &Prompt{Pool: "p", Tokens: 500}, Choice{Engine: Engine{Incarnation: "e0@2"}})
	table.RecordProgress(start.Add(time.Second), RequestEnd{Request: "1", Engine: c.Engine.Incarnation, FirstEvent: 1, Duration: time.Second})
	requireAccount(t, table, "e0@2", 1, 500)
}

// Guards against a new holder that takes the busy engine for idle, and against a second takeover that
// counts its requests twice.
func TestNewHolderTakesOverAccounts(t *testing.T) {
	old, c := accountTable(t)
	next := NewTableByCost()
	setAccountEngines(next, "e0@1", "e1@1")
	now := start.Add(2 * time.Second)
	for range 2 {
		next.MergeRunning(now, old.Running(now))
		requireAccount(t, next, c.Engine.Incarnation, 1, 1000)
	}
	chosen, _ := next.Choose(now, &Prompt{Pool: "p", Tokens: 1000}, noTransferCost)
	require.NotEqual(t, c.Engine, chosen.Engine)
	next.RecordProgress(now, RequestEnd{Request: "1", Engine: c.Engine.Incarnation, FirstEvent: time.Second, Duration: 2 * time.Second, Complete: true})
	requireAccount(t, next, c.Engine.Incarnation, 0, 0)
}

// Guards against a holder that ignores what the caller says of the output: it then takes a long request
// for a short one of the same kind. Without observations it doesn't tell when a request has ended.
func TestOutputEstimatePredictsWork(t *testing.T) {
	table, c := accountTable(t)
	prompt := func(hint int) *Prompt { return &Prompt{Pool: "p", Tokens: 1000, Hint: hint, MaxOutput: 600} }
	w := table.predict(start, prompt(500))
	require.Equal(t, 1500.0, w.Memory)
	require.Equal(t, 1600.0, table.predict(start, prompt(900)).Memory, "at most the greatest number")
	require.Equal(t, unknownExpiry, w.expiry())
	for i := range 10 {
		for hint, took := range map[int]time.Duration{20: time.Second, 500: 20 * time.Second} {
			id := fmt.Sprint(hint, "-", i)
			table.RecordSent(start, id, prompt(hint), c)
			table.RecordProgress(start.Add(took), RequestEnd{Request: id, Engine: c.Engine.Incarnation, FirstEvent: 1, Duration: took, Events: hint, Complete: true})
		}
	}
	require.Greater(t, table.predict(start, prompt(500)).rest, 5*table.predict(start, prompt(20)).rest)
}
