package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// One-way delays between an instance and a target.
const (
	localDelay  = 250 * time.Microsecond
	remoteDelay = time.Millisecond
)

// instance models one instance with its own router and control.
type instance struct {
	run        *run
	name       string
	dataCentre string
	router     Router
	control    Control
	rng        *rand.Rand
	latencies  *latencyEstimator
	executions []*execution
	failed     bool
}

// execution is the execution of one request by an instance.
type execution struct {
	instance *instance
	request  *Request
	stage    int
	sent     int // attempts of the current stage
	inFlight []*attempt
	excluded []string
	ended    bool
	record   *requestRecord
}

// attempt is one call to a target.
type attempt struct {
	execution *execution
	stage     int
	target    *target
	job       *job
	sentAt    time.Duration
	done      func(time.Time, routing.Result)
	settled   bool
	hedge     bool
}

func (e *execution) info() StageInfo {
	return StageInfo{
		Request:   e.request,
		Shape:     &e.instance.run.config.Shape,
		Stage:     e.stage,
		Attempts:  e.sent,
		Remaining: e.request.Deadline - e.instance.run.clock.now,
	}
}

// accept starts a request when it reaches the instance, unless admission
// refuses it.
func (i *instance) accept(r *Request, rec *requestRecord) {
	e := &execution{instance: i, request: r, stage: -1, record: rec}
	if !i.control.Admit(i.run.clock.time(), StageInfo{r, &i.run.config.Shape, 0, 0, r.Deadline - i.run.clock.now}) {
		rec.outcome = outcomeRefused
		return
	}
	i.executions = append(i.executions, e)
	i.run.clock.at(r.Deadline-i.run.config.Shape.ClientDelay, func() { e.end(outcomeDeadlineMissed) })
	e.nextStage()
}

func (e *execution) nextStage() {
	e.stage++
	e.sent = 0
	e.excluded = nil
	for e.stage < len(e.request.Work) && e.request.Work[e.stage] == 0 {
		e.stage++
	}
	if e.stage == len(e.request.Work) {
		e.end(outcomeCompleted)
		return
	}
	stage := e.stage
	e.instance.control.StartStage(e.instance.run.clock.time(), e.info(), func(ok bool) {
		if e.ended || e.stage != stage {
			return
		}
		if !ok {
			e.end(outcomeRefused)
			return
		}
		e.send(false)
		e.planHedge()
	})
}

func (e *execution) planHedge() {
	if e.ended {
		return
	}
	clock := e.instance.run.clock
	control := e.instance.control
	after, ok := control.HedgeAfter(clock.time(), e.info())
	if !ok {
		return
	}
	stage := e.stage
	clock.after(after, func() {
		if e.ended || e.stage != stage || len(e.inFlight) != 1 {
			return
		}
		if control.Hedge(clock.time(), e.info()) {
			e.send(true)
		}
	})
}

// send starts an attempt of the current stage.
func (e *execution) send(hedge bool) {
	i := e.instance
	shape := &i.run.config.Shape.Stages[e.stage]
	query := routing.Query{Pool: shape.Pool, Exclude: e.excluded, Rank: e.request.Tier}
	if shape.Pool == enginePool {
		query.Prefix = e.request.Prefix
	}
	choice, err := i.router.Pick(i.run.clock.time(), i.rng, query)
	if err != nil {
		if len(e.inFlight) == 0 {
			e.end(outcomeFailed)
		}
		return
	}
	t := i.run.byName[choice.Target.Incarnation]
	a := &attempt{execution: e, stage: e.stage, target: t, sentAt: i.run.clock.now, hedge: hedge}
	a.job = &job{request: e.request, stage: e.stage}
	a.done = i.router.Started(i.run.clock.time(), t.spec.Incarnation, 1)
	e.sent++
	e.excluded = append(e.excluded, t.spec.Incarnation)
	e.inFlight = append(e.inFlight, a)
	e.record.attempts = append(e.record.attempts, a)
	a.dispatch()
}

func (a *attempt) delay() time.Duration {
	if a.target.spec.DataCentre == a.execution.instance.dataCentre {
		return localDelay
	}
	return remoteDelay
}

func (a *attempt) dispatch() {
	clock := a.execution.instance.run.clock
	a.job.reply = func(resp response) {
		clock.after(a.delay(), func() { a.handleResponse(resp) })
	}
	clock.after(a.delay(), func() {
		if a.target.down {
			a.job.state = jobEnded
			clock.after(connectTimeout, func() { a.handleResponse(response{outcome: routing.OutcomeFailed}) })
			return
		}
		a.target.submit(a.job)
	})
}

func (a *attempt) handleResponse(resp response) {
	e := a.execution
	if a.settled || e.instance.failed {
		return
	}
	e.instance.applyLoadReport(a.target)
	a.settle(resp.outcome, resp.idleTime)
	switch {
	case resp.outcome == routing.OutcomeOK:
		e.record.successful = append(e.record.successful, a)
		e.cancelInFlight()
		e.nextStage()
	case len(e.inFlight) > 0:
	case resp.outcome == routing.OutcomeFailed && e.instance.control.Retry(e.instance.run.clock.time(), e.info()):
		e.send(false)
	default:
		e.end(outcomeFailed)
	}
}

// settle reports the end of the attempt to the router and the control.
func (a *attempt) settle(outcome routing.Outcome, idleTime time.Duration) {
	a.settled = true
	e := a.execution
	i := e.instance
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == a })
	latency := i.run.clock.now - a.sentAt
	if idleTime == 0 {
		idleTime = i.run.config.Shape.Stages[a.stage].meanIdleTime()
	}
	result := routing.Result{Outcome: outcome, Latency: latency, Expected: i.latencies.expected(a.stage, idleTime)}
	if outcome == routing.OutcomeOK {
		i.latencies.observe(a.stage, idleTime, latency)
	}
	now := i.run.clock.time()
	a.done(now, result)
	info := e.info()
	info.Stage = a.stage
	size := float64(idleTime) / float64(i.run.config.Shape.Stages[a.stage].meanIdleTime())
	i.control.AttemptDone(now, info, result, size)
}

// cancelInFlight abandons the attempts in flight and cancels them at their targets.
func (e *execution) cancelInFlight() {
	for len(e.inFlight) > 0 {
		e.inFlight[0].abandon(routing.OutcomeCancelled)
	}
}

func (a *attempt) abandon(outcome routing.Outcome) {
	a.settle(outcome, 0)
	a.execution.instance.run.clock.after(a.delay(), func() { a.target.cancel(a.job, outcome) })
}

func (e *execution) end(outcome requestOutcome) {
	if e.ended {
		return
	}
	e.ended = true
	i := e.instance
	for len(e.inFlight) > 0 {
		e.inFlight[0].abandon(routing.OutcomeDeadlineMissed)
	}
	e.record.outcome = outcome
	if outcome == outcomeCompleted {
		e.record.completedAt = i.run.clock.now + i.run.config.Shape.ClientDelay
	}
	if i.failed {
		return
	}
	i.executions = slices.DeleteFunc(i.executions, func(other *execution) bool { return other == e })
	info := e.info()
	info.Stage = min(info.Stage, len(e.request.Work)-1)
	i.control.RequestDone(i.run.clock.time(), info, outcome == outcomeCompleted)
}

// fail stops the instance; the requests in flight there fail.
func (i *instance) fail() {
	i.failed = true
	for _, e := range i.executions {
		e.end(outcomeFailed)
	}
	i.executions = nil
}

// applyLoadReport passes the load that a target reports, in a response or to a
// poll, to the router.
func (i *instance) applyLoadReport(t *target) {
	if !t.stage.ReportsLoad || t.down {
		return
	}
	age := i.run.reportAge()
	load, ok := t.report(age)
	if !ok {
		return
	}
	if !i.run.config.AgeKnown {
		age = reportAge
	}
	i.router.Report(i.run.clock.time(), t.spec.Incarnation, routing.Load{
		Active: load.active,
		Queued: load.queued,
		Slots:  t.spec.Slots,
		Age:    age,
	})
}
