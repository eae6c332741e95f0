package target_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/transport/target"
)

// Prevents outcome Unknown for a call that never started: it waits in the queue of a
// full target until its deadline, and the client's own deadline would expire before
// the target's "not run" arrives.
func TestDeadlineInQueueIsNotRun(t *testing.T) {
	for _, stream := range []bool{false, true} {
		options := engine()
		options.CallTime = time.Hour
		inBubble(t, options, func(r *rig) {
			fill(r, nil)
			for _, left := range []time.Duration{3 * time.Millisecond, 90 * time.Millisecond, 700 * time.Millisecond} {
				call := attempt("queued")
				call.Deadline = time.Now().Add(left)
				_, err := r.run(call, stream)
				requireFailure(r, err, target.NotRun, target.ReasonFull)
				require.True(r, time.Now().Before(call.Deadline))
			}
			require.Zero(r, r.target.Runs()["r-queued"])
		})
	}
}
