package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// coldLimit is the number of requests in a second above which the cold engines of these tests crash.
const coldLimit = 17.6

// holderPart is what one holder may grant of it: two may grant at the same time.
const holderPart = 8

func pacedTable(engines ...Engine) *Table {
	t := NewTable()
	t.SetEngines(Pool{Name: "pool", Pace: pacing.ForLimit(coldLimit)}, engines)
	return t
}

func noTransfer(string) time.Duration { return 0 }

// sendAll assigns requests that arrive evenly for a while, and returns the times at which each
// engine gets them and the longest wait.
func sendAll(table *Table, perSecond int, lasts time.Duration) (sent map[string][]time.Time, longest time.Duration) {
	sent = map[string][]time.Time{}
	now := time.Unix(1000, 0)
	interval := time.Second / time.Duration(perSecond)
	for i := range int(lasts / interval) {
		id := fmt.Sprint("r", i)
		prompt := &Prompt{Pool: "pool", Tokens: 500, Parts: []Part{{ID: "shared", Tokens: 300}, {ID: id, Tokens: 200}}}
		choice, ok := table.Choose(now, prompt, noTransfer)
		if ok {
			table.RecordSent(now, id, prompt, choice)
			sent[choice.Engine.Name] = append(sent[choice.Engine.Name], now.Add(choice.SendAfter))
			longest = max(longest, choice.SendAfter)
			// It answers at once, as an idle engine with the prompt in its cache does.
			table.RecordEnd(RequestEnd{Request: id, Engine: choice.Engine.Incarnation, FirstEvent: time.Millisecond})
		}
		now = now.Add(interval)
	}
	return sent, longest
}

func engines(n int) []Engine {
	var list []Engine
	for i := range n {
		list = append(list, Engine{Incarnation: fmt.Sprint("e", i, "@1"), Name: fmt.Sprint("e", i), DataCentre: "x"})
	}
	return list
}

func mostInOneSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A data centre comes back with idle engines, which are the cheapest choice of each request of a
// subject at once. None may get more than a holder's part of the limit, and nothing waits while
// other engines have room.
func TestIdleEnginesAreNotFlooded(t *testing.T) {
	sent, longest := sendAll(pacedTable(engines(20)...), 60, 5*time.Second)
	total := 0
	for name, times := range sent {
		require.LessOrEqual(t, mostInOneSecond(times), holderPart, name)
		total += len(times)
	}
	require.Equal(t, 300, total)
	require.Less(t, longest, 100*time.Millisecond)
}

// More requests come than all engines may get: they wait their turn.
func TestRequestsWaitForTheirTurn(t *testing.T) {
	sent, longest := sendAll(pacedTable(engines(2)...), 30, 3*time.Second)
	require.Len(t, sent, 2)
	for name, times := range sent {
		require.LessOrEqual(t, mostInOneSecond(times), holderPart, name)
	}
	require.Greater(t, longest, time.Second)
}

// An instance that reaches few others may grant sends to some engines only.
func TestGrantsAreRestricted(t *testing.T) {
	table := pacedTable(engines(4)...)
	table.SetGrants(func(name string) bool { return name == "e2" })
	sent, _ := sendAll(table, 10, time.Second)
	require.Len(t, sent, 1)
	require.Contains(t, sent, "e2")
	table.SetGrants(func(string) bool { return false })
	_, ok := table.Choose(time.Unix(2000, 0), &Prompt{Pool: "pool"}, noTransfer)
	require.False(t, ok)
}

// A data centre is drained and taken back within a second. If the holder forgot what it granted to
// the engines there, they would get its part of the limit twice: with a second holder, more than
// cold ones bear.
func TestGrantsOutliveAShortDrain(t *testing.T) {
	table := pacedTable(engines(1)...)
	sent := map[string][]time.Time{}
	now := time.Unix(1000, 0)
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		id := fmt.Sprint("r", i)
		prompt := &Prompt{Pool: "pool", Tokens: 500}
		if choice, ok := table.Choose(now, prompt, noTransfer); ok && choice.SendAfter < time.Second {
			table.RecordSent(now, id, prompt, choice)
			sent[choice.Engine.Name] = append(sent[choice.Engine.Name], now.Add(choice.SendAfter))
		}
		if i%10 == 0 {
			table.SetEngines(Pool{Name: "pool", Pace: pacing.ForLimit(coldLimit)}, nil)
			table.Tick(now)
			table.SetEngines(Pool{Name: "pool", Pace: pacing.ForLimit(coldLimit)}, engines(1))
		}
	}
	require.Greater(t, len(sent["e0"]), holderPart)
	require.LessOrEqual(t, mostInOneSecond(sent["e0"]), holderPart)
}

// Guards against an engine that names a limit and gets more than that, and against one that is left
// out although it accepts some requests.
func TestEngineGetsWhatItsLimitAllows(t *testing.T) {
	table := NewTable()
	table.SetLimits(map[string]pacing.Pace{"e0@1": pacing.ForRate(2)})
	table.SetEngines(Pool{Name: "pool"}, engines(3))
	sent, longest := sendAll(table, 60, 10*time.Second)
	require.LessOrEqual(t, len(sent["e0"]), 2*10+1)
	require.GreaterOrEqual(t, len(sent["e0"]), 10)
	require.Less(t, longest, 100*time.Millisecond, "others have room")
	table.SetLimits(nil)
	sent, _ = sendAll(table, 60, 10*time.Second)
	require.Greater(t, len(sent["e0"]), 100)
}

// Guards against two groups of instances that don't reach each other and both grant sends to an
// engine that names a limit.
func TestGrantsToLimitedEnginesAreRestricted(t *testing.T) {
	table := NewTable()
	table.SetEngines(Pool{Name: "pool"}, engines(3))
	table.SetLimits(map[string]pacing.Pace{"e0@1": pacing.ForRate(2)})
	table.SetGrants(func(name string) bool { return name == "e2" })
	sent, _ := sendAll(table, 30, time.Second)
	require.NotContains(t, sent, "e0")
	require.Contains(t, sent, "e1", "it needs no grant")
}
