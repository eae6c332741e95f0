package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// flowSums are the measures of several plays.
type flowSums struct {
	flowTotals
	kinds   map[string]fleetResult
	timely  int
	seconds int
}

func playFlow(d flowDeployment, config Config) flowSums {
	sum := flowSums{kinds: map[string]fleetResult{}}
	for seed := range uint64(3) {
		f := newFlowRun(seed, config, d)
		f.run(24 * time.Second)
		f.finish()
		for name, r := range f.fleetRun.results {
			k := sum.kinds[name]
			sum.kinds[name] = fleetResult{submitted: k.submitted + r.submitted, timely: k.timely + r.timely, missed: k.missed + r.missed, refused: k.refused + r.refused}
			sum.timely += r.timely
		}
		for _, total := range f.totals {
			sum.noRoom, sum.unused, sum.wasted = sum.noRoom+total.noRoom, sum.unused+total.unused, sum.wasted+total.wasted
		}
		over, seconds := f.overloaded()
		sum.full += over[d.binding].full / time.Duration(f.services[d.binding].targets)
		sum.calls, sum.pieces, sum.seconds = sum.calls+over[d.binding].calls, sum.pieces+over[d.binding].pieces, sum.seconds+seconds
	}
	return sum
}

// Guards against a stage that binds and works below its throughput while requests are refused for
// it, because results occupy capacity, and against work for results that nobody uses.
func TestBindingStageWorksAtItsThroughput(t *testing.T) {
	for i, d := range flowDeployments() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			off, on := playFlow(d, Config{}), playFlow(d, Config{ResultFlowControl: true})
			for name, s := range map[string]flowSums{"off": off, "on": on} {
				t.Logf("%s: binding stage %.3f of its throughput and %.1f pieces a call in %d s, no room %d, unused %d, wasted %s, %+v",
					name, s.full.Seconds()/float64(max(s.seconds, 1)), float64(s.pieces)/float64(max(s.calls, 1)), s.seconds, s.noRoom, s.unused, s.wasted, s.kinds)
			}
			require.GreaterOrEqual(t, on.full.Seconds(), 0.95*float64(on.seconds))
			require.LessOrEqual(t, on.noRoom, off.noRoom/2)
			require.LessOrEqual(t, on.unused, off.unused/2)
			require.LessOrEqual(t, on.wasted, off.wasted/2)
			require.Greater(t, on.timely, off.timely)
			for name, k := range on.kinds {
				require.Greater(t, k.timelyShare(), off.kinds[name].timelyShare()-0.01, name)
			}
		})
	}
}

// checkReleased compares the counts of released pieces with those of all waiting requests.
func checkReleased(t require.TestingT, p *Planner) {
	if !p.config.ResultFlowControl {
		return
	}
	for _, s := range p.services {
		want := map[int]int{}
		for _, req := range p.requests {
			for _, st := range req.stages {
				if st.service == s && !req.completed && len(st.pending) > 0 && st.inputsReleased() {
					want[req.Priority] += len(st.pending)
				}
			}
		}
		require.Len(t, s.flow.pieces, len(want), s.name)
		for priority, n := range want {
			require.Equal(t, n, s.flow.pieces[priority], s.name)
		}
	}
}

// readCompleted drops the requests whose results are there.
func (r *rig) readCompleted() {
	for id := range r.completed {
		r.do(r.planner.Drop(r.now, id))
	}
}

// flowFailureConfig has capacity for the results of two calls.
var flowFailureConfig = ServiceConfig{Slots: 1, MaxPieces: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultCapacity: 14_000, ResultTTL: 4 * time.Second}

// tightInputs leaves capacity for two results at the targets of the first stage.
func (r *rig) tightInputs() {
	config := flowFailureConfig
	config.ResultCapacity = 2000
	r.service("a", config, "x", "x")
}

// Each failure happens once under load. Requests held back for ever, or a call that reads a result
// that was freed, would be lost work or lost requests.
func TestFlowControlOutlivesFailures(t *testing.T) {
	for name, fail := range map[string]func(*rig){
		"call waits behind that of another holder": func(r *rig) {
			r.tightInputs()
			r.callDuration = func(c StartCall) time.Duration {
				own := 200*time.Millisecond + time.Duration(len(c.Pieces))*20*time.Millisecond
				if c.Service == "b" {
					return 2 * own
				}
				return own
			}
			late := 0
			r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
				if c.Service == "b" {
					late++
				}
				// The first calls show that their targets aren't punctual.
				if c.Service == "b" && late > 4 {
					for _, input := range c.Pieces[0].Inputs {
						require.NotContains(r.t, r.freed, input)
					}
				}
				return CallAnswered, nil
			}
			r.t.Cleanup(func() { require.Greater(r.t, late, 4) })
		},
		"call fails after its inputs were freed": func(r *rig) {
			r.tightInputs()
			failed := false
			r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
				if !failed && c.Service == "b" && r.wasFreed(c.Pieces[0].Inputs[0]) {
					failed = true
					return CallUnanswered, nil
				}
				return CallAnswered, nil
			}
			r.t.Cleanup(func() { require.True(r.t, failed) })
		},
		"link is lost": func(r *rig) {
			lost := 0
			r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
				if c.Service == "b" && lost < 4 {
					lost++
					return CallUnanswered, nil
				}
				return CallAnswered, nil
			}
			r.run(time.Second)
			r.do(r.planner.ForgetFailures(r.now, "b"))
		},
		"target restarts without its results": func(r *rig) {
			r.starts["a-0"]++
			r.service("a", flowFailureConfig, "x", "x")
		},
		"holder without learned times": func(r *rig) {
			r.handover(func() {
				for _, s := range r.planner.services {
					s.times = newCallTimes()
				}
			})
		},
		"handover": func(r *rig) { r.handover() },
		"handover that nobody accepts": func(r *rig) {
			actions, ids := r.planner.Import(r.now, r.planner.Export(r.now))
			for i, c := range r.running {
				r.running[i].ID = ids[c.ID]
			}
			r.do(actions)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRigOf(t, Config{ResultFlowControl: true})
			for _, service := range []string{"a", "b", "c"} {
				r.service(service, flowFailureConfig, "x", "x")
			}
			const requests = 40
			for i := range requests {
				q := chain(fmt.Sprint(i), 1, 3, 3)
				q.Objective, q.Deadline = r.now.Add(20*time.Second), r.now.Add(30*time.Second)
				r.submit(q)
				r.run(30 * time.Millisecond)
				if i == requests/2 {
					fail(r)
				}
				checkReleased(t, r.planner)
				checkBacklog(t, r.planner)
				r.readCompleted()
			}
			for range 100 {
				r.run(300 * time.Millisecond)
				r.readCompleted()
			}
			require.Len(t, r.completed, requests)
			for _, s := range r.planner.services {
				require.Empty(t, s.flow.pieces, s.name)
			}
		})
	}
}

// Guards against a request that waits because requests of a lower tier have filled the queue of a
// later stage.
func TestLowerTierHoldsBackNoHigherTier(t *testing.T) {
	r := newRigOf(t, Config{ResultFlowControl: true})
	r.service("a", smallBatch, "x", "x", "x")
	r.service("b", smallBatch, "x")
	submit := func(id string, priority int) {
		q := chain(id, 1, 8)
		q.Priority, q.Objective, q.Deadline = priority, r.now.Add(20*time.Second), r.now.Add(30*time.Second)
		r.submit(q)
	}
	for i := range 12 {
		submit(fmt.Sprint("low", i), 2)
	}
	r.run(time.Second)
	submit("high", 0)
	r.run(400 * time.Millisecond)
	low := 0
	for _, c := range r.calls {
		for _, p := range c.Pieces {
			if p.Stage == 0 && p.Request != "high" {
				low++
			}
		}
	}
	require.Less(t, low, 12, "work of the lower tier is held back")
	require.Equal(t, "high", r.calls[len(r.calls)-1].Pieces[0].Request)
}

// Guards against results that wait until they expire since their request is late, capacity that large
// results leave unused, and late requests that are refused although their waits coincide.
func TestFlowChoices(t *testing.T) {
	for _, on := range []bool{false, true} {
		p := New(Config{ResultFlowControl: on})
		config := longTTL
		config.ResultCapacity = 40 << 20
		p.SetService("a", config)
		now := time.Unix(1000, 0)
		req := p.newHeldRequest(chain("late", 1))
		req.started, req.latestStart = true, now.Add(-time.Second)
		require.Equal(t, on, req.rank(now) == req.baseRank())
		require.Equal(t, on, p.largeResultReserve(p.service("a")) == smallResultBytes)
		ends := p.afterStage(time.Second, time.Second, req.stages[0], queuePosition{yields: true})
		require.Equal(t, on, ends < 2*time.Second)
		require.Equal(t, 2*time.Second, p.afterStage(time.Second, time.Second, req.stages[0], queuePosition{}))
	}
}

// Guards against calls that wait to be filled while nothing can fill them: the wait would only be added
// to the time of their requests.
func TestCallThatNothingFillsIsNotDelayed(t *testing.T) {
	r := newRigOf(t, Config{ResultFlowControl: true})
	slow := smallBatch
	slow.CallTime = 2 * time.Second
	r.service("a", slow, "x")
	r.service("b", smallBatch, "x")
	r.callDuration = func(c StartCall) time.Duration {
		return map[string]time.Duration{"a": slow.CallTime, "b": smallBatch.CallTime}[c.Service]
	}
	single := func(id string) {
		r.submit(Request{ID: id, Route: "r", Key: "k", Stages: []Stage{{Service: "b", Pieces: 1, ResultBytes: 1000}}})
	}
	single("first")
	single("second")
	for i := range 4 {
		r.submit(chain(fmt.Sprint("chain", i), 1, 8))
	}
	require.True(t, r.planner.service("b").binds(r.now))
	r.run(230 * time.Millisecond)
	require.Equal(t, "second", r.calls[len(r.calls)-1].Pieces[0].Request)
}
