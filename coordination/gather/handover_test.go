package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// handover moves the queue to a new planner, on which before runs first.
func (r *rig) handover(before ...func()) {
	schedule, state := r.planner.ExportSchedule(r.now), r.planner.Export(r.now)
	require.Zero(r.t, r.planner.RequestCount())
	next := New(r.planner.config)
	for name, s := range r.services {
		next.SetService(name, s.config)
		require.Empty(r.t, next.SetTargets(r.now, name, s.targets))
	}
	r.planner = next
	inProgress := len(r.running)
	for _, f := range before {
		f()
	}
	next.ImportSchedule(r.now, schedule)
	actions, ids := next.Import(r.now, state)
	for i, c := range r.running[:inProgress] {
		id, ok := ids[c.ID]
		require.True(r.t, ok, "a call in progress is missing from the import")
		r.running[i].ID = id
	}
	r.do(actions)
}

// callTally counts what the targets receive: how often each piece is sent, and which target
// produced each result.
type callTally struct {
	sent       map[string]int
	results    map[string]int
	producedAt map[string]string
}

// checkCalls checks for each call as it is sent that its target has a free slot and
// capacity for the results.
func (r *rig) checkCalls(config ServiceConfig) *callTally {
	tally := &callTally{sent: map[string]int{}, results: map[string]int{}, producedAt: map[string]string{}}
	r.callDuration = func(c StartCall) time.Duration {
		busy := 0
		results := len(c.Pieces)
		for _, other := range r.running {
			if other.Target == c.Target {
				busy++
				results += len(other.Pieces)
			}
		}
		for handle, target := range tally.producedAt {
			if target == c.Target.Incarnation && !r.wasFreed(handle) {
				results++
			}
		}
		require.Less(r.t, busy, config.Slots, "a call finds its target full")
		require.LessOrEqual(r.t, int64(results*1000), config.ResultCapacity, "results do not fit")
		for _, p := range c.Pieces {
			tally.sent[fmt.Sprintf("%s/%d/%d", p.Request, p.Stage, p.Index)]++
		}
		return config.CallTime + time.Duration(len(c.Pieces))*config.PieceTime
	}
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		results := make([]PieceResult, len(c.Pieces))
		for i := range results {
			r.produced++
			results[i].Handle = fmt.Sprintf("%s/%d", c.Target.Incarnation, r.produced)
			tally.producedAt[results[i].Handle] = c.Target.Incarnation
		}
		return CallAnswered, results
	}
	return tally
}

func (r *rig) wasFreed(handle string) bool {
	for _, h := range r.freed {
		if h == handle {
			return true
		}
	}
	return false
}

// longTTL keeps results longer than any test takes, with capacity for 14 of them: as much
// as a call and the results of a request.
var longTTL = ServiceConfig{Slots: 1, MaxPieces: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultCapacity: 14_000, ResultTTL: time.Minute}

// The holder of the queue stops while calls are in progress and requests wait. If the requests
// were submitted anew elsewhere, pieces would run twice, targets that still work for the old
// holder would refuse calls, and results wouldn't fit beside those that nobody frees.
//
// In a simulated day of stops, 335 of 2,130 calls found their target full and 1,224 results
// didn't fit, nearly all within seven seconds of a holder's stop.
func TestHandoverRepeatsNoPieces(t *testing.T) {
	for _, after := range []time.Duration{0, 50, 200, 240, 260, 400, 700, 1100} {
		t.Run(fmt.Sprint(int(after)), func(t *testing.T) {
			r := newRig(t)
			for _, name := range []string{"a", "b"} {
				r.service(name, longTTL, "x", "y")
			}
			tally := r.checkCalls(longTTL)
			for i := range 6 {
				r.submit(chain(fmt.Sprint(i), 5, 3))
			}
			r.run(after * time.Millisecond)
			r.handover()
			r.run(20 * time.Millisecond)
			r.handover()
			r.run(4 * time.Second)
			require.Len(t, r.completed, 6)
			for i := range 6 {
				r.do(r.planner.Drop(r.now, fmt.Sprint(i)))
			}
			for piece, n := range tally.sent {
				require.Equal(t, 1, n, piece)
			}
			require.Len(t, r.freed, len(tally.producedAt), "all capacity is freed")
		})
	}
}

// After a handover the end of a call in progress is never reported, and the results that
// it read may have expired at their target. The new holder must run its pieces again.
func TestHandoverOfUnansweredCall(t *testing.T) {
	r := newRig(t)
	for _, name := range []string{"a", "b"} {
		r.service(name, smallBatch, "x", "x")
	}
	r.submit(chain("one", 1, 1))
	r.run(100 * time.Millisecond)
	r.handover()
	r.running = nil
	r.run(4 * time.Second)
	require.Contains(t, r.completed, "one")
}

// A caller submits a request to the new holder before the queue arrives. The imported one
// with results replaces it, and it ends once.
func TestHandoverOfRequestAlreadyHeld(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.service("b", smallBatch, "x")
	r.submit(chain("one", 2, 2))
	r.run(300 * time.Millisecond)
	r.handover(func() {
		r.submit(chain("other", 8))
		r.submit(chain("one", 2, 2))
	})
	r.run(time.Second)
	require.Len(t, r.completed["one"], 2)
	require.Equal(t, 1, r.endCount["one"])
	r.do(r.planner.Drop(r.now, "one"))
	r.do(r.planner.Drop(r.now, "other"))
	require.Len(t, r.freed, r.produced)
	require.Equal(t, []int{2, 2, 8}, piecesOf(r.calls), "the calls of the old holder continue")
}

// piecesOf returns the number of pieces of each call.
func piecesOf(calls []StartCall) []int {
	var n []int
	for _, c := range calls {
		n = append(n, len(c.Pieces))
	}
	return n
}

// A call that another instance carries out counts as in progress, and as unanswered after
// the timeout that its sender gave it.
func TestHandoverOfCallInProgress(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.submit(chain("one", 2))
	timeout := r.calls[0].Timeout
	r.run(100 * time.Millisecond)
	r.handover()
	id := r.running[0].ID
	require.Equal(t, map[uint64]time.Time{id: r.now.Add(timeout - 100*time.Millisecond)}, r.planner.CallTimeouts(map[uint64]uint64{1: id}))
	r.do(r.planner.ShortenDeadlines(r.now, r.now.Add(150*time.Millisecond), "one"))
	require.Empty(t, r.refused, "it ends in 140 ms")
	r.run(time.Second)
	require.Len(t, r.completed, 1)
}

// The new holder knows a target that the old one didn't. Its first call must be full: calls
// start only after all requests are imported.
func TestHandoverToFreeTargets(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	for i := range 6 {
		r.submit(chain(fmt.Sprint(i), 2))
	}
	one := r.services["a"]
	r.services["a"] = listedService{smallBatch, append(one.targets, Target{Incarnation: "a-1", Name: "a-1", Address: "a-1", DataCentre: "x"})}
	r.handover()
	require.Equal(t, []int{2, 8}, piecesOf(r.calls))
}

// Without failures, callers submit and drop requests, instances stop and shorten deadlines,
// in any order. No piece runs twice, no call finds its target full or without capacity,
// each request ends once, and all capacity is freed.
func TestAnyOrderOfHandovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(t)
		r.planner = New(Config{AccountSharing: rapid.Bool().Draw(rt, "sharing")})
		for _, name := range []string{"a", "b", "c"} {
			r.service(name, longTTL, "x", "y")
		}
		tally := r.checkCalls(longTTL)
		submitted := 0
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1, 2:
				q := chain(fmt.Sprint(submitted), rapid.IntRange(1, 6).Draw(rt, "n1"), rapid.IntRange(0, 6).Draw(rt, "n2"), rapid.IntRange(0, 4).Draw(rt, "n3"))
				q.Priority = rapid.IntRange(0, 2).Draw(rt, "priority")
				q.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "account")
				submitted++
				r.submit(q)
			case 3:
				r.do(r.planner.Drop(r.now, fmt.Sprint(rapid.IntRange(0, submitted).Draw(rt, "dropped"))))
			case 4:
				r.handover()
			case 5:
				left := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "left")) * time.Millisecond
				r.do(r.planner.ShortenDeadlines(r.now, r.now.Add(left), fmt.Sprint(rapid.IntRange(0, submitted).Draw(rt, "bounded"))))
			}
			r.run(time.Duration(rapid.IntRange(10, 400).Draw(rt, "pause")) * time.Millisecond)
			checkBacklog(rt, r.planner)
		}
		r.run(12 * time.Second)
		require.Zero(rt, r.planner.RequestCount(), "everything has ended")
		for piece, n := range tally.sent {
			require.Equal(rt, 1, n, piece)
		}
		for id, n := range r.endCount {
			require.Equal(rt, 1, n, id)
		}
		require.Len(rt, r.freed, len(tally.producedAt), "all capacity is freed")
	})
}

// Results are being freed during a handover of the queue. If their capacity counted as free
// at once, the next call would be refused.
func TestHandoverOfCapacityBeingFreed(t *testing.T) {
	r := newRig(t)
	r.service("a", longTTL, "x")
	r.submit(chain("one", 3))
	r.run(300 * time.Millisecond)
	require.Len(t, r.planner.Drop(r.now, "one"), 1, "its target has not been notified yet")
	r.handover()
	target := r.planner.services["a"].targets["a-0"]
	require.EqualValues(t, 3000, target.usedBytes)
	r.run(freeReservationTime + 10*time.Millisecond)
	require.Zero(t, target.usedBytes)
}

// The new holder learns of a target's restart from the imported queue, before its own list
// has it. Once the list has it, the results at the old process are produced again.
func TestHandoverReportsRestartBeforeTargetList(t *testing.T) {
	r := producedByFirst(t)
	other := New(Config{})
	other.SetService("a", smallBatch)
	other.SetTargets(r.now, "a", targetsNamed("a", "a-0@200"))
	r.starts["a-0"] = 200
	actions, _ := r.planner.Import(r.now, other.Export(r.now))
	r.do(actions)
	r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@200")))
	r.do(r.planner.SetTargets(r.now, "b", targetsNamed("b", "b-0@100")))
	r.run(2 * time.Second)
	require.Len(t, r.completed["one"], 3)
	require.Equal(t, "a-0@200", r.calls[1].Target.Incarnation)
}

// A call to a replaced process is still in progress at the handover of the queue. Its
// reply, read later, names results that no longer exist.
func TestHandoverOfCallToReplacedTarget(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.submit(chain("one", 2))
	r.run(100 * time.Millisecond)
	r.starts["a-0"] = 1
	r.service("a", smallBatch, "x")
	require.Len(t, r.calls, 2, "sent again at once")
	r.handover()
	r.run(2 * time.Second)
	require.Len(t, r.completed["one"], 2)
	require.NotContains(t, r.freed, "a-0/1")
}

// The other instance doesn't accept the queue, and the planner continues with what it exported. If
// its waiting work counted twice, requests would be refused as if the queue were longer.
func TestKeptQueueCountsItsWorkOnce(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	for i := range 3 {
		r.submit(chain(fmt.Sprint(i), 8))
	}
	r.planner.Import(r.now, r.planner.Export(r.now))
	checkBacklog(t, r.planner)
}
