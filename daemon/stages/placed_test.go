package stages

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

func queueWithEngines() *queue {
	o := newQueue(nil, nil, nil, newMetrics(tally.NoopScope))
	table := &routes.Table{Services: map[string]*routes.Service{"engines": {Name: "engines", CacheTokens: 300_000}}}
	o.setTargets(time.Now(), table, map[string][]routes.Target{"engines": {
		{Name: "e1", DataCentre: "x"}, {Name: "e2", DataCentre: "y"},
	}})
	return o
}

func uniquePrompt(tokens int) placing.Prompt {
	return placing.Prompt{Pool: "engines", Tokens: tokens, Parts: []placing.Part{{ID: "own", Tokens: tokens}}}
}

// A request with a prompt of 30,000 tokens and one of 100 come together. The engine
// takes most of a second for the long one: counted like the other its stages would be
// done in time, and its answer late.
func TestLongPromptsNeedTheirStagesEarlier(t *testing.T) {
	o := queueWithEngines()
	short := o.predictEngine(time.Now(), gather.Request{ID: "short"}, uniquePrompt(100))
	long := o.predictEngine(time.Now(), gather.Request{ID: "long"}, uniquePrompt(30_000))
	require.Less(t, short.Remaining, 150*time.Millisecond)
	require.Greater(t, long.Remaining, 500*time.Millisecond)
	require.LessOrEqual(t, o.predictEngine(time.Now(), gather.Request{ID: "endless"}, uniquePrompt(1<<30)).Remaining, maxRemaining)
}

// A request's large results lie in one data centre when its stages are done. It goes to
// an engine there, though another was as good when it came.
func TestEngineIsInTheDataCentreOfTheResults(t *testing.T) {
	for _, dataCentre := range []string{"x", "y"} {
		o := queueWithEngines()
		o.predictEngine(time.Now(), gather.Request{ID: "1"}, uniquePrompt(500))
		engine := o.assignEngine(time.Now(), gather.Completed{Request: "1", Bytes: map[string]int64{dataCentre: 4 << 20}})
		require.Equal(t, map[string]string{"x": "e1", "y": "e2"}[dataCentre], engine)
	}
}

// A request was taken over with another's queue and ends before its asker comes. Nobody
// knows its prompt: its asker chooses.
func TestEngineOfUnknownPromptIsLeftToRequester(t *testing.T) {
	require.Empty(t, queueWithEngines().assignEngine(time.Now(), gather.Completed{Request: "1"}))
}
