package gather

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// retryLoad is a load whose callers come back once when they are refused.
type retryLoad struct {
	rate, burst            float64
	burstFrom, burstUntil  time.Duration
	duration               time.Duration
	objective, deadline    time.Duration
	stages                 []Stage
	returns, reservations  bool
	priorities             int
	returnedShare          float64
	run                    *fleetRun
	first, again           map[string]*retryCaller
	servedFirst, servedRet int
	refused, told, toldOK  int
	returned, returnedOK   int
	timely, served, total  int
}

// retryCaller is one request as its caller sees it.
type retryCaller struct {
	arrived, due time.Time
	told         bool
	priority     int
	fingerprint  string
}

func (l *retryLoad) play(seed uint64) *retryLoad {
	r := &fleetRun{
		planner: New(Config{RetryReservations: l.reservations}), rng: rand.New(rand.NewPCG(seed, 1)),
		begin: time.Unix(1000, 0), now: time.Unix(1000, 0), calls: map[string]int{}, pieces: map[string]int{}, services: map[string]fleetService{},
	}
	l.run, l.first, l.again = r, map[string]*retryCaller{}, map[string]*retryCaller{}
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
			l.submit(l.first, c)
			l.arrive()
		}
	})
}

func (l *retryLoad) submit(open map[string]*retryCaller, c *retryCaller) {
	r := l.run
	r.nextID++
	q := Request{
		ID: fmt.Sprint("q", r.nextID), Route: "route", Account: "account", Fingerprint: c.fingerprint, Priority: 1 + c.priority, Stages: l.stages,
		Objective: r.now.Add(l.objective), Deadline: c.due, MaxRetryDelay: c.due.Sub(r.now) / 3,
	}
	open[q.ID] = c
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
	c := l.first[id]
	if c != nil {
		l.servedFirst++
	} else {
		c = l.again[id]
		l.servedRet++
		if c.told {
			l.toldOK++
		}
	}
	l.served++
	if !now.After(c.arrived.Add(l.objective)) {
		l.timely++
	}
	l.run.at(time.Millisecond, func() { l.step(func() []Action { return l.run.planner.Drop(l.run.now, id) }) })
}

func (l *retryLoad) refusedBy(a Refused) {
	c := l.first[a.Request]
	if c == nil {
		return
	}
	now := l.run.now
	l.refused++
	left := c.due.Sub(now)
	c.told = a.RetryAfter < left
	if c.told {
		l.told++
	}
	after := min(a.RetryAfter, left/3)
	l.run.at(after, func() { l.submit(l.again, c) })
}

func TestRetryTrial(t *testing.T) {
	for _, obj := range []time.Duration{1500, 2000, 2500} {
		for _, on := range []bool{false, true} {
			sum := retryLoad{}
			n := 10
			for seed := range n {
				l := &retryLoad{rate: 25, burst: 160, burstFrom: 4 * time.Second, burstUntil: 6 * time.Second, duration: 12 * time.Second, objective: obj * time.Millisecond, deadline: 5900 * time.Millisecond, reservations: on}
				l.play(uint64(seed + 1))
				sum.total += l.total
				sum.servedFirst += l.servedFirst
				sum.servedRet += l.servedRet
				sum.refused += l.refused
				sum.told += l.told
				sum.toldOK += l.toldOK
				sum.timely += l.timely
				sum.served += l.served
			}
			t.Logf("objective %d on %v: total %d first %d refused %d told %d toldServed %d returnedServed %d timely %d served %d", obj, on, sum.total/n, sum.servedFirst/n, sum.refused/n, sum.told/n, sum.toldOK/n, sum.servedRet/n, sum.timely/n, sum.served/n)
		}
	}
}
