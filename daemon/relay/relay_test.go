package relay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

var began = time.Unix(1000, 0)

// Callers give a stream up that brings nothing for four times its objective. Work
// that ends later than that is for nobody.
func TestFirstEventIsDueBeforeCallersLeave(t *testing.T) {
	cases := map[string]struct {
		objective, pause, deadline, due time.Duration
	}{
		"objective":     {1900 * time.Millisecond, 300 * time.Millisecond, 20 * time.Second, 7600 * time.Millisecond},
		"pause":         {100 * time.Millisecond, 500 * time.Millisecond, 20 * time.Second, 4 * time.Second},
		"least":         {100 * time.Millisecond, 100 * time.Millisecond, 20 * time.Second, 2 * time.Second},
		"deadline":      {1900 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 3*time.Second + answerMargin},
		"not a stream":  {300 * time.Millisecond, 0, 30 * time.Second, 30*time.Second + answerMargin},
		"deadline wins": {2000 * time.Millisecond, 300 * time.Millisecond, 6 * time.Second, 6*time.Second + answerMargin},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &request{route: &routes.Route{LatencyObjective: c.objective, MaxEventGap: c.pause}, arrived: began, deadline: began.Add(c.deadline)}
			require.Equal(t, began.Add(c.due-answerMargin), q.nextEventDue(began))
		})
	}
}

// The last part of a prompt is the request's own; what others read too is before it.
func TestSubjectIsTheLastSharedPart(t *testing.T) {
	require.Empty(t, subject(nil))
	require.Equal(t, "a", subject([]routing.PrefixPart{{ID: "a"}}))
	require.Equal(t, "a", subject([]routing.PrefixPart{{ID: "a"}, {ID: "own"}}))
	require.Equal(t, "b", subject([]routing.PrefixPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}))
}

// Requests are shared out by weight, and a service of weight nought gets none.
func TestServicesByWeight(t *testing.T) {
	split := []routes.WeightedService{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off", Weight: 0}}
	count := map[string]int{}
	for range 10000 {
		count[pickService(split)]++
	}
	require.InDelta(t, 1000, count["new"], 200)
	require.Zero(t, count["off"])
	require.Equal(t, "only", pickService([]routes.WeightedService{{Service: "only"}}))
}

// A stream broke off five seconds after its request came. Its caller waits for the
// next event from then on; counted from the request's arrival, the stages that run
// again would have half a second, and be refused.
func TestResumedStreamHasTimeForItsStages(t *testing.T) {
	route := &routes.Route{LatencyObjective: 1400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond}
	q := &request{route: route, arrived: began, deadline: began.Add(20 * time.Second)}
	broke := began.Add(5 * time.Second)
	require.Equal(t, began.Add(5600*time.Millisecond-answerMargin), q.nextEventDue(broke))
	q.headerSent = true
	require.Equal(t, broke.Add(5600*time.Millisecond-answerMargin), q.nextEventDue(broke))
}

// A caller says that its prompt has more tokens than any engine holds, or fewer than
// none. Taken at its word its length overflows, and an engine counts as idle for it.
func TestLengthOfAPromptIsBounded(t *testing.T) {
	q := request{route: &routes.Route{PrefixCaching: true}, service: "engines", call: exchange.CallerRequest{
		PromptTokens: math.MaxInt, Prefix: []routing.PrefixPart{{ID: "a", Tokens: math.MinInt}},
	}}
	p := q.prompt()
	require.Equal(t, maxPromptTokens, p.Tokens)
	require.Equal(t, []placing.Part{{ID: "a", Tokens: 0}}, p.Parts)
	q.route = &routes.Route{}
	require.Equal(t, placing.Prompt{}, q.prompt(), "no prompt, no engine to choose")
}

// TestStreamThatCannotGoOnMayPause guards against the end of a stream by our own bound of its
// silence, though no other target can go on with it.
func TestStreamThatCannotGoOnMayPause(t *testing.T) {
	q := &request{route: &routes.Route{MaxEventGap: 300 * time.Millisecond, Kind: routes.KindStreaming, Resumable: true, MaxAttempts: 2}}
	require.Equal(t, silentGap, q.gapBound())
	q.notResumable = true
	require.Equal(t, unbounded, q.gapBound())
}
