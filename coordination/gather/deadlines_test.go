package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance stops while its requests wait for their stages. Requests that won't be done
// by the end of its grace period are refused at once, so that their callers can be served
// elsewhere; at the end of the grace period it would be too late. The other requests
// continue.
func TestShortenedDeadlineRefusesUnattainableRequests(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	for i := range 4 {
		r.submit(chain(fmt.Sprint(i), 8))
	}
	r.run(100 * time.Millisecond)
	r.do(r.planner.ShortenDeadlines(r.now, r.now.Add(900*time.Millisecond), "0", "1", "2", "3", "unknown"))
	require.NotContains(t, r.refused, "0", "it has started")
	require.NotContains(t, r.refused, "1", "its turn comes in time")
	for _, id := range []string{"2", "3"} {
		require.Equal(t, ReasonStopping, r.refused[id].Reason, id)
		require.Equal(t, minRetryAfter, r.refused[id].RetryAfter)
	}
	r.run(time.Second)
	require.Len(t, r.completed, 2)
}

// A started request is refused according to the minimum time that it still takes, and its
// results are freed.
func TestShortenedDeadlineOfStartedRequest(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.service("b", smallBatch, "x")
	r.submit(chain("one", 4, 4))
	r.run(100 * time.Millisecond)
	r.do(r.planner.ShortenDeadlines(r.now, r.now.Add(100*time.Millisecond), "one"))
	require.Equal(t, ReasonStopping, r.refused["one"].Reason)
	r.run(time.Second)
	require.Len(t, r.freed, r.produced)
	require.Zero(t, r.planner.RequestCount())
}

// A deadline is never extended, and a completed request stays completed.
func TestShortenDeadlinesNeverExtends(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.submit(chain("one", 1))
	r.do(r.planner.ShortenDeadlines(r.now, r.now.Add(time.Minute), "one"))
	require.Equal(t, r.now.Add(6*time.Second), r.planner.requests["one"].Deadline)
	r.run(time.Second)
	r.do(r.planner.ShortenDeadlines(r.now, r.now, "one"))
	require.Empty(t, r.refused)
	require.Empty(t, r.freed)
}
