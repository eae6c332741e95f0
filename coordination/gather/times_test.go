package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Calls hold one piece each, and latency adds twenty milliseconds to each. Then a burst
// fills the calls. If the latency were attributed to the piece, each piece would count
// twice its time, and requests would be refused that can be served in time.
func TestSmallCallsTeachNoPieceTimes(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x", "x")
	r.callDuration = func(c StartCall) time.Duration {
		return 220*time.Millisecond + time.Duration(len(c.Pieces))*20*time.Millisecond
	}
	for i := range 60 {
		r.submit(chain(fmt.Sprint(i), 1))
		r.run(300 * time.Millisecond)
	}
	s := r.planner.services["a"]
	kind := pieceKind{route: "r", stage: 0}
	require.InDelta(t, 220, s.callTime().Milliseconds(), 6)
	require.InDelta(t, 1, *s.times.pieceFactor(kind), 0.2)

	for i := range 36 { // six full calls for each target end within 2.3 s
		q := chain(fmt.Sprint("burst", i), 2)
		q.Objective, q.Deadline = r.now.Add(2300*time.Millisecond), r.now.Add(2300*time.Millisecond)
		r.submit(q)
	}
	require.Empty(t, r.refused)
}

// The pieces of one kind of request take a third of the configured time, those of another
// twice as much. Both must be learned, also from calls that hold both.
func TestPieceTimesAreLearnedByKind(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x", "x")
	r.callDuration = func(c StartCall) time.Duration {
		took := 200 * time.Millisecond
		for _, piece := range c.Pieces {
			if piece.Request[0] == 's' {
				took += 7 * time.Millisecond
			} else {
				took += 40 * time.Millisecond
			}
		}
		return took
	}
	for i := range 200 {
		short, long := chain(fmt.Sprint("s", i), 1+i%4), chain(fmt.Sprint("l", i), 1+i%3)
		long.Route = "long"
		r.submit(short)
		r.submit(long)
		r.run(250 * time.Millisecond)
	}
	s := r.planner.services["a"]
	require.InDelta(t, 0.35, *s.times.pieceFactor(pieceKind{"r", 0}), 0.25)
	require.InDelta(t, 2, *s.times.pieceFactor(pieceKind{"long", 0}), 0.4)
	require.InDelta(t, 200, s.callTime().Milliseconds(), 15)
}
