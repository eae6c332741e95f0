package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// Fails if an engine that is passed over has no reason, or an explanation of a large pool isn't bounded.
func TestExplainNamesStates(t *testing.T) {
	table := NewTableByCost()
	list := []Engine{{Incarnation: "free", Name: "free"}, {Incarnation: "gone", Name: "gone"}, {Incarnation: "limited", Name: "limited"}, {Incarnation: "other", Name: "other"}, {Incarnation: "tried", Name: "tried"}}
	pool := Pool{Name: "p", CacheTokens: 40_000, Slots: 2, Pace: pacing.ForRate(100)}
	table.SetEngines(pool, list)
	table.SetLimits(map[string]pacing.Pace{"limited": pacing.ForLimit(1)})
	table.RecordUnreachable(start, "p", "gone")
	p := &Prompt{Pool: "p", Tokens: 100, Exclude: []string{"tried"}}
	for i := range 5 {
		table.RecordSent(start, fmt.Sprint(i), p, Choice{Engine: list[2]})
	}
	free := func(string) time.Duration { return 0 }
	e := table.Explain(start, p, 500*time.Millisecond, free, func(engine string) bool { return engine != "other" })
	states := map[string]EngineState{}
	for _, x := range e.Engines {
		states[x.Engine.Name] = x.State
	}
	require.Equal(t, map[string]EngineState{
		"free": StateUsable, "gone": StateUnreachable, "limited": StateNoGrant, "other": StateOtherGrants, "tried": StateExcluded,
	}, states)
	require.True(t, e.Engines[0].Chosen)
	require.Equal(t, "free", e.Choice.Engine.Name)
	for i := range 100 {
		list = append(list, Engine{Incarnation: fmt.Sprint(i), Name: fmt.Sprint(i)})
	}
	table.SetEngines(pool, list)
	e = table.Explain(start, p, time.Second, free, nil)
	require.Len(t, e.Engines, MaxExplained)
	require.Equal(t, len(list)-MaxExplained, e.Omitted)
	require.False(t, table.Explain(start, &Prompt{Pool: "unknown"}, time.Second, free, nil).Found)
}
