package gather

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rig simulates targets against a planner in virtual time.
type rig struct {
	t         *testing.T
	planner   *Planner
	now       time.Time
	running   []runningCall
	completed map[string][]string
	refused   map[string]Refused
	freed     []string
	// callDuration overrides how long a call takes.
	callDuration func(StartCall) time.Duration
	// callEnd overrides how a call ends.
	callEnd func(StartCall) (CallOutcome, []PieceResult)
	// calls has all calls in order.
	calls    []StartCall
	produced int
	// starts counts the starts of targets by name.
	starts map[string]int
	// services has those added so far, for a planner that imports the queue.
	services map[string]listedService
	// endCount counts how often each request ended.
	endCount map[string]int
	// config is that of the planners.
	config Config
}

type listedService struct {
	config  ServiceConfig
	targets []Target
}

type runningCall struct {
	StartCall
	ends time.Time
}

func newRig(t *testing.T) *rig { return newRigOf(t, Config{}) }

func newRigOf(t *testing.T, config Config) *rig {
	return &rig{
		t: t, config: config, planner: New(config), now: time.Unix(1000, 0),
		completed: map[string][]string{}, refused: map[string]Refused{}, starts: map[string]int{},
		services: map[string]listedService{}, endCount: map[string]int{},
	}
}

// smallBatch is a configuration with calls of up to eight pieces.
var smallBatch = ServiceConfig{Slots: 1, MaxPieces: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultTTL: 4 * time.Second}

// service adds a service with targets in the given data centres.
func (r *rig) service(name string, config ServiceConfig, dataCentres ...string) {
	r.planner.SetService(name, config)
	var list []Target
	for i, dc := range dataCentres {
		id := fmt.Sprintf("%s-%d", name, i)
		list = append(list, Target{Incarnation: r.incarnation(id), Name: id, Address: id, DataCentre: dc})
	}
	r.services[name] = listedService{config, list}
	r.do(r.planner.SetTargets(r.now, name, list))
}

func (r *rig) submit(q Request) {
	if q.Deadline.IsZero() {
		q.Objective, q.Deadline = r.now.Add(2*time.Second), r.now.Add(6*time.Second)
	}
	r.do(r.planner.Submit(r.now, q))
}

func (r *rig) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartCall:
			r.calls = append(r.calls, a)
			for _, piece := range a.Pieces {
				r.requireHeld(piece.Inputs)
				for _, input := range piece.Inputs {
					require.NotContains(r.t, r.freed, input, "a call reads a freed result")
				}
			}
			took := 200*time.Millisecond + time.Duration(len(a.Pieces))*20*time.Millisecond
			if r.callDuration != nil {
				took = r.callDuration(a)
			}
			r.running = append(r.running, runningCall{a, r.now.Add(min(took, a.Timeout))})
		case Completed:
			r.requireHeld(a.Handles)
			r.completed[a.Request] = a.Handles
			r.endCount[a.Request]++
		case Refused:
			r.refused[a.Request] = a
			r.endCount[a.Request]++
		case FreeResults:
			r.freed = append(r.freed, a.Handles...)
			r.do(r.planner.FreeDone(r.now, a.Handles))
		}
	}
}

// run advances the virtual time by d.
func (r *rig) run(d time.Duration) {
	until := r.now.Add(d)
	for r.now.Before(until) {
		r.now = r.now.Add(10 * time.Millisecond)
		for i := 0; i < len(r.running); i++ {
			c := r.running[i]
			if c.ends.After(r.now) {
				continue
			}
			r.running = slices.Delete(r.running, i, i+1)
			i--
			r.finish(c.StartCall)
		}
		r.do(r.planner.Tick(r.now))
	}
}

func (r *rig) finish(c StartCall) {
	if r.callEnd != nil {
		if outcome, results := r.callEnd(c); outcome != CallAnswered || results != nil {
			r.do(r.planner.CallDone(r.now, c.ID, outcome, results))
			return
		}
	}
	results := make([]PieceResult, len(c.Pieces))
	for i := range c.Pieces {
		r.produced++
		results[i].Handle = fmt.Sprintf("%s/%d", c.Target.Incarnation, r.produced)
	}
	r.do(r.planner.CallDone(r.now, c.ID, CallAnswered, results))
}

func chain(id string, counts ...int) Request {
	q := Request{ID: id, Route: "r", Key: "k"}
	names := []string{"a", "b", "c"}
	for i, n := range counts {
		s := Stage{Service: names[i], Pieces: n, ResultBytes: 1000}
		if i > 0 {
			s.After = []int{i - 1}
		}
		q.Stages = append(q.Stages, s)
	}
	return q
}

// Requests run through their stages in order, each piece reads all results of the stage
// before it and only those, and the last stage's results are returned.
func TestStagesRunInOrder(t *testing.T) {
	r := newRig(t)
	for _, name := range []string{"a", "b", "c"} {
		r.service(name, smallBatch, "x", "x")
	}
	r.submit(chain("one", 1, 3, 2))
	r.run(2 * time.Second)

	require.Len(t, r.completed["one"], 2)
	for _, c := range r.calls {
		for _, p := range c.Pieces {
			require.Equal(t, "one", p.Request)
			require.Len(t, p.Inputs, []int{0, 1, 3}[p.Stage])
			require.Equal(t, p.Stage == 0, p.Key != "")
		}
	}
	require.Len(t, r.freed, 4, "results that were read are freed")
	r.do(r.planner.Drop(r.now, "one"))
	require.Len(t, r.freed, 6)
	require.Zero(t, r.planner.RequestCount())
}

// Many requests arrive at once. Sent one by one they would take a call each; pieces that
// wait together are sent in full calls.
func TestCallsAreFilled(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x", "x")
	for i := range 34 {
		r.submit(chain(fmt.Sprint(i), 1))
	}
	r.run(2 * time.Second)
	require.Len(t, r.completed, 34)
	require.LessOrEqual(t, len(r.calls), 2+32/8+1)
}

// The first stage's results expire while the second stage waits for a free target. The
// second stage must wait until they are produced again; sent with the remaining ones, it
// would read nothing, and the instance that holds the queue would crash.
func TestResultsExpireWhileTheirReaderWaits(t *testing.T) {
	r := newRig(t)
	short := smallBatch
	short.ResultTTL = 600 * time.Millisecond
	r.service("a", short, "x")
	r.service("b", smallBatch, "x")
	r.callDuration = func(c StartCall) time.Duration {
		if c.Pieces[0].Stage == 1 {
			return 700 * time.Millisecond
		}
		return 200 * time.Millisecond
	}
	for i := range 12 {
		q := chain(fmt.Sprint(i), 1, 4)
		q.Objective, q.Deadline = r.now.Add(20*time.Second), r.now.Add(30*time.Second)
		r.submit(q)
	}
	r.run(12 * time.Second)
	require.Len(t, r.completed, 12)
	for _, c := range r.calls {
		for _, p := range c.Pieces {
			require.Len(t, p.Inputs, p.Stage)
		}
	}
}

// A target stops answering during a call, and the results that the call read expire
// meanwhile. Hedged, its pieces would be sent without inputs, and the instance that holds
// the queue would crash.
func TestResultsExpireDuringAnOverdueCall(t *testing.T) {
	r := newRig(t)
	short := smallBatch
	short.ResultTTL = 700 * time.Millisecond
	r.service("a", short, "x")
	r.service("b", smallBatch, "x", "x")
	r.callDuration = func(c StartCall) time.Duration {
		if c.Pieces[0].Stage == 1 && c.Target.Incarnation == "b-0" {
			return 3 * time.Second
		}
		return 250 * time.Millisecond
	}
	for i := range 6 {
		q := chain(fmt.Sprint(i), 1, 3)
		q.Objective, q.Deadline = r.now.Add(20*time.Second), r.now.Add(30*time.Second)
		r.submit(q)
		r.run(150 * time.Millisecond)
	}
	r.run(15 * time.Second)
	require.Len(t, r.completed, 6)
}

// The answer to one call reports a missing input for every piece that read it. The input is
// produced again once, and then the pieces that read it.
func TestMissingInputIsProducedAgain(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.service("b", smallBatch, "x")
	missing := true
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		if c.Pieces[0].Stage == 0 || !missing {
			return CallAnswered, nil
		}
		missing = false
		return CallAnswered, []PieceResult{{Failure: PieceInputMissing}, {Failure: PieceInputMissing}}
	}
	r.submit(chain("one", 1, 2))
	r.run(3 * time.Second)
	require.Len(t, r.completed["one"], 2)
	require.Len(t, r.calls, 4)
}

// One target refuses the call, one is replaced by another process, one doesn't answer: the
// pieces go to the remaining target, and the request doesn't fail.
func TestFailedCallsAreRetriedElsewhere(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x", "x", "x", "x")
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		switch c.Target.Incarnation {
		case "a-0":
			return CallTargetFull, nil
		case "a-1":
			return CallWrongTarget, nil
		case "a-2":
			return CallUnanswered, nil
		}
		return CallAnswered, nil
	}
	r.submit(chain("one", 3))
	r.run(3 * time.Second)
	require.Len(t, r.completed["one"], 3)
	require.Empty(t, r.refused)
}

// A request that can't meet its deadline is refused at once with a retry delay, before any
// stage runs.
func TestUnattainableRequestIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	for i := range 80 {
		q := chain(fmt.Sprint(i), 4)
		q.Objective, q.Deadline = r.now.Add(time.Second), r.now.Add(3*time.Second)
		r.submit(q)
	}
	require.NotEmpty(t, r.refused)
	for _, refused := range r.refused {
		require.Equal(t, ReasonQueueTooLong, refused.Reason)
		require.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	}
	refused := len(r.refused)
	r.run(5 * time.Second)
	require.Len(t, r.refused, refused, "admitted requests are done in time")
	require.Equal(t, 80, len(r.completed)+refused)
}

// A request's deadline is before its objective. Its stages would meet the objective but not
// the deadline: it must be refused at once, not after a stage.
func TestDeadlineBeforeTheObjective(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	q := chain("one", 1)
	q.Objective, q.Deadline = r.now.Add(2*time.Second), r.now.Add(100*time.Millisecond)
	r.submit(q)
	require.Equal(t, ReasonQueueTooLong, r.refused["one"].Reason)
	require.Empty(t, r.calls)
}

// A request that needs a service without targets is refused at once.
func TestNoTarget(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch)
	r.submit(chain("one", 1))
	require.Equal(t, ReasonNoTarget, r.refused["one"].Reason)
}

// Of the waiting requests, the more urgent go first.
func TestUrgentFirst(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.submit(chain("first", 8))
	for _, name := range []string{"low", "high"} {
		q := chain(name, 8)
		q.Priority = map[string]int{"low": 2, "high": 0}[name]
		r.submit(q)
	}
	r.run(3 * time.Second)
	require.Equal(t, "high", r.calls[1].Pieces[0].Request)
	require.Equal(t, "low", r.calls[2].Pieces[0].Request)
}

// A target has capacity for two results of the size. A third piece sent there would be
// refused and waste a call.
func TestResultCapacityIsRespected(t *testing.T) {
	r := newRig(t)
	tight := smallBatch
	tight.ResultCapacity = 2500
	r.service("a", tight, "x")
	for i := range 3 {
		r.submit(chain(fmt.Sprint(i), 1))
	}
	r.run(time.Second)
	require.Len(t, r.completed, 2)
	for id := range r.completed {
		r.do(r.planner.Drop(r.now, id))
	}
	r.run(time.Second)
	require.Len(t, r.completed, 3)
}

// A caller leaves while its pieces run: their results are freed.
func TestDroppedDuringACall(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.submit(chain("one", 2))
	r.do(r.planner.Drop(r.now, "one"))
	r.run(time.Second)
	require.Len(t, r.freed, 2)
	require.Empty(t, r.completed)
}

// One of two targets takes five times as long. Waiting for the other is faster, so the slow
// one gets only an occasional call, which shows when it has recovered.
func TestSlowTargetIsPassedOver(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x", "x")
	slow := true
	r.callDuration = func(c StartCall) time.Duration {
		if slow && c.Target.Incarnation == "a-0" {
			return 1300 * time.Millisecond
		}
		return 260 * time.Millisecond
	}
	count := func(from int) (slowCalls int) {
		for _, c := range r.calls[from:] {
			if c.Target.Incarnation == "a-0" {
				slowCalls++
			}
		}
		return slowCalls
	}
	play := func(seconds int) {
		for i := range seconds * 5 {
			r.submit(chain(fmt.Sprint(r.now.UnixNano(), i), 3))
			r.run(200 * time.Millisecond)
			for id := range r.completed {
				r.do(r.planner.Drop(r.now, id))
			}
		}
	}
	play(4)
	before := len(r.calls)
	play(6)
	require.LessOrEqual(t, count(before), 4)
	require.Empty(t, r.refused)
	slow = false
	play(4)
	before = len(r.calls)
	play(4)
	require.GreaterOrEqual(t, count(before), 3)
}
