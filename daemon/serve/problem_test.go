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

// Rounded down, a delay of half a millisecond would become 0 ms. Callers read that as
// "don't retry" and give up the request.
func TestRefusalsHaveARetryDelay(t *testing.T) {
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

// A stage panics, and the text of the panic contains parts of the request. The text must
// appear only in the log, since other people may read the caller's errors.
func TestInternalFaultHidesTheRequest(t *testing.T) {
	f := &execute.Failure{Reason: execute.ReasonFault, Verdict: outcome.Unknown, Step: "generate", Cause: errors.New("secret")}
	p := failureProblem(f)
	require.Equal(t, internalFault, p.Detail)
	require.Equal(t, typeOutcomeUnknown, p.Type)
	require.Equal(t, http.StatusBadGateway, p.Status)
}
