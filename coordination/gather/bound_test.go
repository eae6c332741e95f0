package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance stops while its requests wait for their stages. Those that won't be done
// by the end of its grace are refused at once, so that their callers can be served
// elsewhere; told at the end of the grace, they have no time left. What can be done
// goes on.
func TestShortenedDeadlineRefusesUnattainableRequests(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	for i := range 4 {
		r.submit(chain(fmt.Sprint(i), 8))
	}
	r.run(100 * time.Millisecond)
	r.do(r.planner.ShortenDeadlines(r.now, r.now.Add(900*time.Millisecond), "0", "1", "2", "3", "unknown"))
	require.NotContains(t, r.refused, "0", "it has begun")
	require.NotContains(t, r.refused, "1", "it has its turn in time")
	for _, id := range []string{"2", "3"} {
		require.Equal(t, ReasonStopping, r.refused[id].Reason, id)
		require.Equal(t, minRetryAfter, r.refused[id].RetryAfter)
	}
	r.run(time.Second)
	require.Len(t, r.completed, 2)
}

// One that has begun is refused by the least that it takes, and its results are given
// back.
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

// A deadline is never put off, and what is done stays done.
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
