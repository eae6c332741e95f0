package stages

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

func queueWithEngines() *queue {
	q := newQueue(nil, nil, nil, gather.Config{}, newMetrics(tally.NoopScope))
	view := membership.NewView(1, "a", []membership.Member{{Name: "a"}})
	q.view = func() *membership.View { return view }
	table := &routes.Table{Services: map[string]*routes.Service{"engines": {Name: "engines", CacheTokens: 300_000}}}
	q.setTargets(time.Now(), table, map[string][]routes.Target{"engines": {
		{Name: "e1", DataCentre: "x"}, {Name: "e2", DataCentre: "y"},
	}})
	return q
}

func uniquePrompt(tokens int) placing.Prompt {
	return placing.Prompt{Pool: "engines", Tokens: tokens, Parts: []placing.Part{{ID: "own", Tokens: tokens}}}
}

// A request with a prompt of 30,000 tokens and one with 100 arrive together. The engine takes
// most of a second for the long one. If both counted with the same remaining time, the stages
// of the long one would meet their deadline and its first event would be late.
func TestLongPromptsNeedTheirStagesEarlier(t *testing.T) {
	q := queueWithEngines()
	short := q.predictEngine(time.Now(), gather.Request{ID: "short"}, uniquePrompt(100))
	long := q.predictEngine(time.Now(), gather.Request{ID: "long"}, uniquePrompt(30_000))
	require.Less(t, short.Remaining, 150*time.Millisecond)
	require.Greater(t, long.Remaining, 500*time.Millisecond)
	require.LessOrEqual(t, q.predictEngine(time.Now(), gather.Request{ID: "endless"}, uniquePrompt(1<<30)).Remaining, maxRemaining)
}

// The large results of a request are in one data centre when its stages have completed. The
// request is assigned to an engine there, although another was equally good when it arrived.
func TestEngineIsInTheDataCentreOfTheResults(t *testing.T) {
	for _, dataCentre := range []string{"x", "y"} {
		q := queueWithEngines()
		q.predictEngine(time.Now(), gather.Request{ID: "1"}, uniquePrompt(500))
		engine, _ := q.assignEngine(time.Now(), gather.Completed{Request: "1", Bytes: map[string]int64{dataCentre: 4 << 20}})
		require.Equal(t, map[string]string{"x": "e1", "y": "e2"}[dataCentre], engine)
	}
}

// A request was taken over with the queue of another instance and completes before its
// requester asks here. Its prompt is unknown here, so the requester chooses.
func TestEngineOfUnknownPromptIsLeftToRequester(t *testing.T) {
	engine, _ := queueWithEngines().assignEngine(time.Now(), gather.Completed{Request: "1"})
	require.Empty(t, engine)
}

// Guards against requests that can't wait for a grant and use up those of the requests that can: under
// overload every grant would lie beyond its request's deadline, and the engine would get nothing.
func TestGrantsBeyondTheDeadlineAreNotUsedUp(t *testing.T) {
	q := queueWithEngines()
	q.setLimits(time.Now(), map[string]float64{"e1": 1, "e2": 1})
	now := time.Now()
	granted := map[int]int{}
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		id, priority := fmt.Sprint(i), i%2
		q.predictEngine(now, gather.Request{ID: id, Priority: priority, Deadline: now.Add(time.Minute)}, uniquePrompt(500))
		engine, sendAt := q.assignEngine(now, gather.Completed{Request: id})
		require.LessOrEqual(t, sendAt.Sub(now), 4*time.Second, "the horizon and one interval of a holder that has just begun")
		if engine != "" {
			granted[priority]++
			q.engines.RecordEnd(placing.RequestEnd{Request: id, Engine: engine, FirstEvent: time.Millisecond})
		}
	}
	require.GreaterOrEqual(t, granted[0]+granted[1], 14, "of twenty in ten seconds")
	require.Greater(t, granted[0], 2*granted[1], "the more urgent requests come first")
}

// Guards against a request that is refused because its cheapest engine names a limit and has no grant for
// it in time, although another engine would serve it a little later.
func TestEngineWithoutATimelyGrantIsPassedOver(t *testing.T) {
	q := queueWithEngines()
	q.setLimits(time.Now(), map[string]float64{"e1": 0.5})
	now := time.Now()
	engines := map[string]int{}
	for i := range 10 {
		id := fmt.Sprint(i)
		prompt := uniquePrompt(30_000)
		prompt.Parts[0].ID = id
		q.predictEngine(now, gather.Request{ID: id, Priority: 2, Deadline: now.Add(time.Minute)}, prompt)
		engine, _ := q.assignEngine(now, gather.Completed{Request: id})
		engines[engine]++
	}
	require.Equal(t, map[string]int{"e1": 1, "e2": 9}, engines)
}
