package gather

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// carries tells whether a call has pieces of a request.
func carries(c StartCall, request string) bool {
	return slices.ContainsFunc(c.Pieces, func(p PieceOrder) bool { return p.Request == request })
}

// TestRequestThatCrashesStageTargetsIsGivenUp guards against a request under whose pieces one
// target ends after the other, and against those in its calls being given up with it.
func TestRequestThatCrashesStageTargetsIsGivenUp(t *testing.T) {
	r := newRig(t)
	r.service("s", narrow, "x", "x", "x", "x", "x", "x")
	crashed := 0
	r.end = func(c StartCall) (CallOutcome, []PieceResult) {
		if carries(c, "bad") {
			crashed++
			return CallCrashed, nil
		}
		results := make([]PieceResult, len(c.Pieces))
		for i := range results {
			r.made++
			results[i].Handle = fmt.Sprint("result ", r.made)
		}
		return CallAnswered, results
	}
	for _, id := range []string{"bad", "a", "b", "c"} {
		r.submit(Request{ID: id, Stages: []Stage{{Service: "s", Pieces: 2, ResultBytes: 1000}}})
	}
	r.run(4 * time.Second)
	require.Equal(t, ReasonCrashes, r.refused["bad"].Reason)
	require.Len(t, r.refused, 1)
	require.Len(t, r.completed, 3)
	require.LessOrEqual(t, crashed, MaxCrashes)
}

// TestTargetsThatCrashByThemselvesCostNoRequest guards against requests being given up for
// the ends of targets that one event causes, or that come now and then.
func TestTargetsThatCrashByThemselvesCostNoRequest(t *testing.T) {
	r := newRig(t)
	r.service("s", narrow, "x", "x", "x", "x")
	calls := 0
	r.end = func(c StartCall) (CallOutcome, []PieceResult) {
		if calls++; calls <= 4 {
			return CallCrashed, nil
		}
		results := make([]PieceResult, len(c.Pieces))
		for i := range results {
			r.made++
			results[i].Handle = fmt.Sprint("result ", r.made)
		}
		return CallAnswered, results
	}
	for i := range 16 {
		r.submit(Request{ID: fmt.Sprint(i), Stages: []Stage{{Service: "s", Pieces: 2, ResultBytes: 1000}}})
	}
	r.run(6 * time.Second)
	require.Empty(t, r.refused)
	require.Len(t, r.completed, 16)
}
