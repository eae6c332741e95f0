package gather

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// carries reports whether a call has pieces of a request.
func carries(c StartCall, request string) bool {
	return slices.ContainsFunc(c.Pieces, func(p Piece) bool { return p.Request == request })
}

// produceAll produces the results of all pieces of a call.
func (r *rig) produceAll(c StartCall) (CallOutcome, []PieceResult) {
	results := make([]PieceResult, len(c.Pieces))
	for i := range results {
		r.produced++
		results[i].Handle = fmt.Sprint("result ", r.produced)
	}
	return CallAnswered, results
}

// simple is a request of two pieces at one service.
func simple(id string) Request {
	return Request{ID: id, Stages: []Stage{{Service: "s", Pieces: 2, ResultBytes: 1000}}}
}

// A request crashes one target after another. It must be refused, and the requests that
// share its calls must not be refused with it.
func TestRequestThatCrashesStageTargetsIsRefused(t *testing.T) {
	r := newRig(t)
	r.service("s", smallBatch, "x", "x")
	crashed, shared := 0, 0
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		if !carries(c, "bad") {
			return r.produceAll(c)
		}
		crashed++
		if carries(c, "a") {
			shared++
		}
		return CallTargetCrashed, nil
	}
	for _, id := range []string{"first", "second", "bad", "a", "b", "c"} {
		r.submit(simple(id)) // the first two occupy both targets, the others wait and share a call
	}
	r.run(5 * time.Second)
	require.Positive(t, shared)
	require.Equal(t, ReasonCrashesStageTargets, r.refused["bad"].Reason)
	require.Len(t, r.refused, 1)
	require.Len(t, r.completed, 5)
	require.LessOrEqual(t, crashed, MaxCrashes)
}

// One event crashes targets of all services that work for a request. The request must not
// be refused because of it.
func TestSimultaneousCrashesRefuseNoRequest(t *testing.T) {
	r := newRig(t)
	var stages []Stage
	for _, name := range []string{"s", "t", "u"} {
		r.service(name, smallBatch, "x", "x")
		stages = append(stages, Stage{Service: name, Pieces: 2, ResultBytes: 1000})
	}
	event := r.now.Add(350 * time.Millisecond)
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		if r.now.Before(event) || r.now.After(event.Add(300*time.Millisecond)) || len(c.Pieces) == 2 {
			return r.produceAll(c)
		}
		return CallTargetCrashed, nil
	}
	for i := range 6 {
		r.submit(Request{ID: fmt.Sprint(i), Stages: stages})
	}
	r.run(6 * time.Second)
	require.Empty(t, r.refused)
	require.Len(t, r.completed, 6)
}
