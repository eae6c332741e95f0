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

// Callers abandon a stream without an event for four times its objective. Work that ends later is
// of no use.
func TestEventDeadlineIsBeforeCallersAbandon(t *testing.T) {
	cases := map[string]struct {
		objective, pause, deadline, due time.Duration
	}{
		"objective":     {1900 * time.Millisecond, 300 * time.Millisecond, 20 * time.Second, 7600 * time.Millisecond},
		"pause":         {100 * time.Millisecond, 500 * time.Millisecond, 20 * time.Second, 4 * time.Second},
		"minimum":       {100 * time.Millisecond, 100 * time.Millisecond, 20 * time.Second, 2 * time.Second},
		"deadline":      {1900 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 3*time.Second + answerMargin},
		"not a stream":  {300 * time.Millisecond, 0, 30 * time.Second, 30*time.Second + answerMargin},
		"deadline wins": {2000 * time.Millisecond, 300 * time.Millisecond, 6 * time.Second, 6*time.Second + answerMargin},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &request{route: &routes.Route{LatencyObjective: c.objective, MaxEventGap: c.pause}, arrived: began, deadline: began.Add(c.deadline)}
			require.Equal(t, began.Add(c.due-answerMargin), q.eventDeadline(began))
		})
	}
}

// The last part of a prompt belongs to the request itself; the parts before it are shared.
func TestLastSharedPart(t *testing.T) {
	require.Empty(t, lastSharedPart(nil))
	require.Equal(t, "a", lastSharedPart([]routing.PrefixPart{{ID: "a"}}))
	require.Equal(t, "a", lastSharedPart([]routing.PrefixPart{{ID: "a"}, {ID: "own"}}))
	require.Equal(t, "b", lastSharedPart([]routing.PrefixPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}))
}

// Requests are distributed by weight, and a service of weight zero gets none.
func TestPickServiceByWeight(t *testing.T) {
	split := []routes.WeightedService{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off", Weight: 0}}
	count := map[string]int{}
	for range 10000 {
		count[pickService(split)]++
	}
	require.InDelta(t, 1000, count["new"], 200)
	require.Zero(t, count["off"])
	require.Equal(t, "only", pickService([]routes.WeightedService{{Service: "only"}}))
}

// A stream is broken off five seconds after its request arrived. Its caller waits for the next event
// from then on. If the due time of that event were counted from the arrival of the request, the stages
// that run again would have half a second, and would be refused.
func TestResumedStreamHasTimeForItsStages(t *testing.T) {
	route := &routes.Route{LatencyObjective: 1400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond}
	q := &request{route: route, arrived: began, deadline: began.Add(20 * time.Second)}
	brokenOff := began.Add(5 * time.Second)
	require.Equal(t, began.Add(5600*time.Millisecond-answerMargin), q.eventDeadline(brokenOff))
	q.headerSent = true
	require.Equal(t, brokenOff.Add(5600*time.Millisecond-answerMargin), q.eventDeadline(brokenOff))
}

// Guards against streams that are taken up and refused, since they would miss the objective of a first event that their
// callers have, while new streams begin.
func TestStreamThatIsTakenUpIsDueByItsDeadline(t *testing.T) {
	for resumeAfter, want := range map[string]time.Duration{"": time.Second, "12": 6 * time.Second} {
		q := &request{
			route: &routes.Route{Kind: routes.KindStreaming, Resumable: true, LatencyObjective: time.Second, MaxEventGap: 300 * time.Millisecond, Timeout: 6 * time.Second},
			call:  exchange.CallerRequest{ResumeAfter: resumeAfter}, arrived: began,
		}
		q.setDeadlines()
		require.Equal(t, began.Add(want), q.objective, "resumes after %q", resumeAfter)
		require.Equal(t, began.Add(6*time.Second), q.deadline)
	}
}

// A caller declares a prompt with more tokens than any engine holds, or a negative number of them.
// If the length weren't clamped, it would overflow, and an engine would count as idle in spite of it.
func TestPromptLengthIsClamped(t *testing.T) {
	q := request{route: &routes.Route{PrefixCaching: true}, service: "engines", call: exchange.CallerRequest{
		PromptTokens: math.MaxInt, Prefix: []routing.PrefixPart{{ID: "a", Tokens: math.MinInt}},
	}}
	p := q.prompt()
	require.Equal(t, maxPromptTokens, p.Tokens)
	require.Equal(t, []placing.Part{{ID: "a", Tokens: 0}}, p.Parts)
	q.route = &routes.Route{}
	require.Equal(t, placing.Prompt{}, q.prompt(), "a route without prompts has no engine to choose")
}

// A stream that no other target can resume must not be cancelled because it pauses.
func TestNonResumableStreamMayPause(t *testing.T) {
	q := &request{route: &routes.Route{MaxEventGap: 300 * time.Millisecond, Kind: routes.KindStreaming, Resumable: true, MaxAttempts: 2}}
	require.Equal(t, maxEventGap, q.eventTimeout())
	q.notResumable = true
	require.Equal(t, noTimeout, q.eventTimeout())
}
