package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against admitted requests that are refused, with time left, because all targets paused for longer
// than a call may take.
func TestAdmittedRequestsOutliveAPauseOfAllTargets(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			r := newRig(t)
			wakes := r.now.Add(pause)
			unanswered := map[uint64]bool{}
			r.callDuration = func(c StartCall) time.Duration {
				took := max(wakes.Sub(r.now), 0) + 20*time.Millisecond
				unanswered[c.ID] = took > c.Timeout
				return took
			}
			r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
				if unanswered[c.ID] {
					return CallUnanswered, nil
				}
				return CallAnswered, nil
			}
			r.service("a", ServiceConfig{Slots: 1, MaxPieces: 8, CallTime: 20 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: 4 * time.Second}, "x", "x")
			const requests = 20
			for i := range requests {
				q := chain(fmt.Sprint(i), 2)
				q.Objective, q.Deadline = r.now.Add(1500*time.Millisecond), r.now.Add(7*time.Second)
				r.submit(q)
				r.run(10 * time.Millisecond)
			}
			r.run(7 * time.Second)
			require.Empty(t, r.refused)
			require.Len(t, r.completed, requests)
		})
	}
}
