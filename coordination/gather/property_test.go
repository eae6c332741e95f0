package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Targets are slow, full, silent, unreachable or restart under their names, results expire,
// callers leave, target lists change and the queue is handed over, in any order. A piece is
// always sent with all its inputs or none, and none from a replaced process; each request
// ends once, and nothing is held forever.
func TestAnyOrderOfFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRigOf(t, Config{AccountSharing: rapid.Bool().Draw(rt, "sharing"), ResultFlowControl: rapid.Bool().Draw(rt, "flow control")})
		config := smallBatch
		config.ResultTTL = time.Duration(rapid.IntRange(300, 3000).Draw(rt, "keep")) * time.Millisecond
		config.ResultCapacity = int64(rapid.IntRange(5, 40).Draw(rt, "room")) * 1000
		services := []string{"a", "b", "c"}
		for _, name := range services {
			r.service(name, config, "x", "y", "x")
		}
		r.callDuration = func(StartCall) time.Duration {
			return time.Duration(rapid.IntRange(50, 3000).Draw(rt, "took")) * time.Millisecond
		}
		r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
			switch rapid.IntRange(0, 9).Draw(rt, "end") {
			case 0:
				return CallTargetFull, nil
			case 1:
				return CallWrongTarget, nil
			case 2:
				return CallUnanswered, nil
			case 3:
				results := make([]PieceResult, len(c.Pieces))
				for i := range results {
					results[i].Failure = PieceFailure(rapid.IntRange(1, 4).Draw(rt, "failure"))
				}
				return CallAnswered, results
			}
			return CallAnswered, nil
		}
		submitted := 0
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				q := chain(fmt.Sprint(submitted), rapid.IntRange(0, 9).Draw(rt, "n1"), rapid.IntRange(0, 12).Draw(rt, "n2"), rapid.IntRange(0, 5).Draw(rt, "n3"))
				q.Priority = rapid.IntRange(0, 2).Draw(rt, "priority")
				q.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "account")
				q.DataCentre = "y"
				submitted++
				r.submit(q)
			case 2:
				r.do(r.planner.Drop(r.now, fmt.Sprint(rapid.IntRange(0, submitted).Draw(rt, "dropped"))))
			case 4:
				name := rapid.SampledFrom(services).Draw(rt, "restarted")
				r.starts[fmt.Sprintf("%s-%d", name, rapid.IntRange(0, 3).Draw(rt, "target"))]++
				r.service(name, config, "x", "y", "x", "y")
			case 3:
				name := rapid.SampledFrom(services).Draw(rt, "relisted")
				r.service(name, config, []string{"x", "y", "x", "y"}[:rapid.IntRange(0, 4).Draw(rt, "targets")]...)
			case 5:
				r.handover()
			}
			r.run(time.Duration(rapid.IntRange(10, 400).Draw(rt, "pause")) * time.Millisecond)
			checkBacklog(rt, r.planner)
			checkReleased(rt, r.planner)
		}
		r.run(12 * time.Second)
		for _, c := range r.calls {
			require.LessOrEqual(rt, len(c.Pieces), config.MaxPieces)
		}
		require.Zero(rt, r.planner.RequestCount(), "everything has ended")
		for id := range r.completed {
			require.NotContains(rt, r.refused, id)
		}
		for id, n := range r.endCount {
			require.Equal(rt, 1, n, id)
		}
	})
}
