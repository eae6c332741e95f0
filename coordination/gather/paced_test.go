package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// Short calls come to stage targets that may be cold. None may get more calls in any second than
// a holder's part of the limit, and all requests are served in the end.
func TestColdStageTargetsAreNotOverloaded(t *testing.T) {
	r := newRig(t)
	r.callDuration = func(StartCall) time.Duration { return 10 * time.Millisecond }
	config := smallBatch
	config.MaxPieces, config.Pace = 1, pacing.ForLimit(6)
	r.service("s", config, "x", "x")
	started := map[string][]time.Time{}
	seen := 0
	for i := range 20 {
		r.submit(Request{ID: fmt.Sprint(i), Route: "r", Stages: []Stage{{Service: "s", Pieces: 1}}, Objective: r.now.Add(20 * time.Second), Deadline: r.now.Add(20 * time.Second)})
	}
	for range 120 {
		r.run(100 * time.Millisecond)
		for ; seen < len(r.calls); seen++ {
			name := r.calls[seen].Target.Name
			started[name] = append(started[name], r.now)
		}
	}
	require.Len(t, r.completed, 20)
	for name, times := range started {
		for i := 3; i < len(times); i++ {
			require.Greater(t, times[i].Sub(times[i-3]), 900*time.Millisecond, "%s: more than three calls in a second", name)
		}
	}
}

// A stage target is drained and taken back within a second. If the holder forgot the calls that it
// started there, the target would get its part of the limit twice.
func TestCallsBeforeAShortDrainCount(t *testing.T) {
	r := newRig(t)
	r.callDuration = func(StartCall) time.Duration { return 10 * time.Millisecond }
	config := smallBatch
	config.MaxPieces, config.Pace = 1, pacing.ForLimit(6)
	r.service("s", config, "x")
	list := r.planner.services["s"].listedTargets()
	for i := range 20 {
		r.submit(Request{ID: fmt.Sprint(i), Route: "r", Stages: []Stage{{Service: "s", Pieces: 1}}, Objective: r.now.Add(20 * time.Second), Deadline: r.now.Add(20 * time.Second)})
	}
	var started []time.Time
	seen := 0
	for i := range 50 {
		r.run(100 * time.Millisecond)
		for ; seen < len(r.calls); seen++ {
			started = append(started, r.now)
		}
		if i%5 == 4 {
			r.do(r.planner.SetTargets(r.now, "s", nil))
			r.do(r.planner.SetTargets(r.now, "s", list))
		}
	}
	for i := 3; i < len(started); i++ {
		require.Greater(t, started[i].Sub(started[i-3]), 900*time.Millisecond, "more than three calls in a second")
	}
}

// Guards against a stage target that names a limit and gets more calls than that, or far fewer although
// the other target can't take the rest, and against work that is admitted as if it took calls like the others.
func TestStageTargetGetsWhatItsLimitAllows(t *testing.T) {
	const seconds, interval = 10, 80 * time.Millisecond
	for _, name := range []string{"s-0", "s-1"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.callDuration = func(StartCall) time.Duration { return 100 * time.Millisecond }
			config := smallBatch
			config.MaxPieces, config.CallTime = 1, 100*time.Millisecond
			r.service("s", config, "x", "x")
			whole := r.planner.services["s"].capacity(r.now)
			r.do(r.planner.SetLimits(r.now, map[string]pacing.Pace{r.incarnation(name): pacing.ForRate(1)}))
			require.Less(t, r.planner.services["s"].capacity(r.now), whole)
			for i := range int(seconds * time.Second / interval) {
				r.submit(Request{ID: fmt.Sprint(i), Route: "r", Stages: []Stage{{Service: "s", Pieces: 1}}, Objective: r.now.Add(20 * time.Second), Deadline: r.now.Add(20 * time.Second)})
				r.run(interval)
			}
			calls := map[string]int{}
			for _, c := range r.calls {
				calls[c.Target.Name]++
			}
			require.LessOrEqual(t, calls[name], seconds+1)
			require.GreaterOrEqual(t, calls[name], seconds/2)
			require.Greater(t, len(r.completed), 9*seconds)
		})
	}
}
