package gather

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// retryLoad is a load whose callers come back once when they are refused.
type retryLoad struct {
	rate, burst           float64
	burstFrom, burstUntil time.Duration
	duration              time.Duration
	objective, deadline   time.Duration
	stages                []Stage
	reservations, sharing bool
	run                   *fleetRun
	// open has the callers that wait, by request id.
	open map[string]*retryCaller
	// first and again count those served at once and those served on their return.
	total, first, again, refused, told, toldServed, timely int
}

// retryCaller is one request as its caller sees it.
type retryCaller struct {
	arrived, due time.Time
	told, again  bool
	fingerprint  string
}

func (l *retryLoad) play(seed uint64) *retryLoad {
	r := &fleetRun{
		planner: New(Config{RetryReservations: l.reservations, AccountSharing: l.sharing}), rng: rand.New(rand.NewPCG(seed, 1)),
		begin: time.Unix(1000, 0), now: time.Unix(1000, 0), calls: map[string]int{}, pieces: map[string]int{}, services: map[string]fleetService{},
	}
	l.run, l.open = r, map[string]*retryCaller{}
	if l.stages == nil {
		l.stages = []Stage{{Service: lookup, Pieces: 1, ResultBytes: 1}}
	}
	config := ServiceConfig{Slots: 1, MaxPieces: 4, CallTime: 200 * time.Millisecond, ResultCapacity: 1 << 30, ResultTTL: 10 * time.Second}
	for _, st := range l.stages {
		r.services[st.Service] = fleetService{st.Service, 2, config}
		r.planner.SetService(st.Service, config)
		l.step(func() []Action {
			return r.planner.SetTargets(r.now, st.Service, targetsNamed(st.Service, st.Service+"-1", st.Service+"-2"))
		})
	}
	l.arrive()
	l.tick()
	r.run(l.duration + l.deadline)
	return l
}

func (l *retryLoad) tick() {
	l.run.at(100*time.Millisecond, func() {
		l.step(func() []Action { return l.run.planner.Tick(l.run.now) })
		l.tick()
	})
}

func (l *retryLoad) arrive() {
	rate := l.rate
	if at := l.run.now.Sub(l.run.begin); at >= l.burstFrom && at < l.burstUntil {
		rate = l.burst
	}
	l.run.at(time.Duration(l.run.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if l.run.now.Sub(l.run.begin) < l.duration {
			l.total++
			c := &retryCaller{arrived: l.run.now, due: l.run.now.Add(l.deadline), fingerprint: fmt.Sprint("f", l.total)}
			l.submit(c)
			l.arrive()
		}
	})
}

func (l *retryLoad) submit(c *retryCaller) {
	r := l.run
	r.nextID++
	q := Request{
		ID: fmt.Sprint("q", r.nextID), Route: "route", Account: "account", Fingerprint: c.fingerprint, Priority: 1, Stages: l.stages,
		Objective: r.now.Add(l.objective), Deadline: c.due, MaxRetryDelay: c.due.Sub(r.now) / 3,
	}
	l.open[q.ID] = c
	l.step(func() []Action { return r.planner.Submit(r.now, q) })
}

func (l *retryLoad) step(step func() []Action) {
	r := l.run
	for _, a := range step() {
		switch a := a.(type) {
		case StartCall:
			took := r.services[a.Service].config.CallTime
			r.at(took, func() {
				results := make([]PieceResult, len(a.Pieces))
				for i := range results {
					r.handles++
					results[i].Handle = fmt.Sprint("h", r.handles)
				}
				l.step(func() []Action { return r.planner.CallDone(r.now, a.ID, CallAnswered, results) })
			})
		case Completed:
			l.completed(a.Request)
		case Refused:
			l.refusedBy(a)
		case FreeResults:
			r.at(45*time.Millisecond, func() { l.step(func() []Action { return r.planner.FreeDone(r.now, a.Handles) }) })
		}
	}
}

func (l *retryLoad) completed(id string) {
	now := l.run.now
	c := l.open[id]
	if c.again {
		l.again++
	} else {
		l.first++
	}
	if c.told {
		l.toldServed++
	}
	if !now.After(c.arrived.Add(l.objective)) {
		l.timely++
	}
	l.run.at(time.Millisecond, func() { l.step(func() []Action { return l.run.planner.Drop(l.run.now, id) }) })
}

func (l *retryLoad) refusedBy(a Refused) {
	c := l.open[a.Request]
	if c.again {
		return
	}
	c.again = true
	now := l.run.now
	l.refused++
	left := c.due.Sub(now)
	c.told = a.RetryAfter < left
	if c.told {
		l.told++
	}
	after := min(a.RetryAfter, left/3)
	l.run.at(after, func() { l.submit(c) })
}

// sum plays the load with several seeds and returns the sums.
func (l retryLoad) sum(seeds int) retryLoad {
	load := l
	for seed := range seeds {
		c := load
		c.play(uint64(seed + 1))
		l.total += c.total
		l.first += c.first
		l.again += c.again
		l.refused += c.refused
		l.told += c.told
		l.toldServed += c.toldServed
		l.timely += c.timely
	}
	return l
}

func (l retryLoad) served() int { return l.first + l.again }

// timelyScatter is the share by which the requests served within their objective may differ in two
// plays that differ in the order of a few events only.
const timelyScatter = 0.005

// Prevents times told to callers at which they are refused again, and reservations at the cost of
// others: neither all served nor those served within their objective may be fewer than without.
func TestReturningCallersAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		objective, burst time.Duration
		stages           []Stage
		sharing          bool
	}{
		"objective of 1.5 s": {1500 * time.Millisecond, 2 * time.Second, nil, false},
		"objective of 2 s":   {2 * time.Second, 2 * time.Second, nil, false},
		"objective of 2.5 s": {2500 * time.Millisecond, 2 * time.Second, nil, false},
		"objective of 1 s":   {time.Second, time.Second, nil, false},
		"burst of 6 s":       {2 * time.Second, 6 * time.Second, nil, false},
		"accounts share":     {2 * time.Second, 2 * time.Second, nil, true},
		"three stages":       {2 * time.Second, 2 * time.Second, chain("", 1, 1, 1).Stages, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := retryLoad{
				rate: 25, burst: 160, burstFrom: 4 * time.Second, burstUntil: 4*time.Second + c.burst,
				duration: 16 * time.Second, objective: c.objective, stages: c.stages, sharing: c.sharing, deadline: 5900 * time.Millisecond,
			}
			before := l.sum(10)
			l.reservations = true
			after := l.sum(10)
			before.log(t)
			after.log(t)
			require.GreaterOrEqual(t, float64(after.toldServed), 0.8*float64(after.told))
			require.NotZero(t, after.told)
			require.Greater(t, after.served(), before.served())
			require.GreaterOrEqual(t, float64(after.timely), (1-timelyScatter)*float64(before.timely))
		})
	}
}

func (l *retryLoad) log(t *testing.T) {
	t.Logf("reservations %t: asked %d, served at once %d, refused %d, told %d, of them served %d, served on return %d, within objective %d, served %d",
		l.reservations, l.total, l.first, l.refused, l.told, l.toldServed, l.again, l.timely, l.served())
}
