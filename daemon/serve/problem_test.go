package serve

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
)

// A store that is back in half a millisecond made a refusal say "come back in 0
// ms", which callers read as "don't come back": the order was given up.
func TestRefusalsAlwaysNameATimeToComeBack(t *testing.T) {
	cases := map[time.Duration]int64{
		0:                       defaultRetryAfter.Milliseconds(),
		-time.Second:            defaultRetryAfter.Milliseconds(),
		time.Microsecond:        1,
		1500 * time.Microsecond: 2,
		time.Second:             1000,
	}
	for after, want := range cases {
		p := withRetryAfter(refusal(http.StatusServiceUnavailable, typeStore, ""), after)
		require.Equal(t, want, p.RetryAfterMS, after)
	}
}

// A stage panics over a request, and its text holds what it stumbled on. That is
// for the log alone: another team may read the caller's errors.
func TestAFaultTellsNothingOfTheRequest(t *testing.T) {
	f := &execute.Failure{Reason: execute.ReasonFault, Verdict: outcome.Unknown, Step: "generate", Cause: errors.New("secret")}
	p := failureProblem(f)
	require.Equal(t, internalFault, p.Detail)
	require.Equal(t, typeOutcomeUnknown, p.Type)
	require.Equal(t, http.StatusBadGateway, p.Status)
}
