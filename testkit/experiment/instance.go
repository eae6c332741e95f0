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

// instance serves requests with its own router and control.
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

// flow is one request at an instance.
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

// attempt is one call of a target.
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

func (f *execution) info() StageInfo {
	return StageInfo{
		Request:   f.request,
		Shape:     &f.instance.run.config.Shape,
		Stage:     f.stage,
		Attempts:  f.sent,
		Remaining: f.request.Deadline - f.instance.run.clock.now,
	}
}

// accept takes a request at the moment it reaches the instance.
func (i *instance) accept(r *Request, rec *requestRecord) {
	f := &execution{instance: i, request: r, stage: -1, record: rec}
	if !i.control.Admit(i.run.clock.time(), StageInfo{r, &i.run.config.Shape, 0, 0, r.Deadline - i.run.clock.now}) {
		rec.outcome = outcomeRefused
		return
	}
	i.executions = append(i.executions, f)
	i.run.clock.at(r.Deadline-i.run.config.Shape.ClientDelay, func() { f.end(outcomeDeadlineMissed) })
	f.nextStage()
}

func (f *execution) nextStage() {
	f.stage++
	f.sent = 0
	f.excluded = nil
	for f.stage < len(f.request.Work) && f.request.Work[f.stage] == 0 {
		f.stage++
	}
	if f.stage == len(f.request.Work) {
		f.end(outcomeCompleted)
		return
	}
	stage := f.stage
	f.instance.control.StartStage(f.instance.run.clock.time(), f.info(), func(ok bool) {
		if f.ended || f.stage != stage {
			return
		}
		if !ok {
			f.end(outcomeRefused)
			return
		}
		f.send(false)
		f.planHedge()
	})
}

func (f *execution) planHedge() {
	if f.ended {
		return
	}
	clock := f.instance.run.clock
	control := f.instance.control
	after, ok := control.HedgeAfter(clock.time(), f.info())
	if !ok {
		return
	}
	stage := f.stage
	clock.after(after, func() {
		if f.ended || f.stage != stage || len(f.inFlight) != 1 {
			return
		}
		if control.Hedge(clock.time(), f.info()) {
			f.send(true)
		}
	})
}

// send starts one attempt of the current stage.
func (f *execution) send(hedge bool) {
	i := f.instance
	shape := &i.run.config.Shape.Stages[f.stage]
	query := routing.Query{Pool: shape.Pool, Exclude: f.excluded, Rank: f.request.Tier}
	if shape.Pool == enginePool {
		query.Prefix = f.request.Prefix
	}
	choice, err := i.router.Pick(i.run.clock.time(), i.rng, query)
	if err != nil {
		if len(f.inFlight) == 0 {
			f.end(outcomeFailed)
		}
		return
	}
	t := i.run.byName[choice.Target.Incarnation]
	a := &attempt{execution: f, stage: f.stage, target: t, sentAt: i.run.clock.now, hedge: hedge}
	a.job = &job{request: f.request, stage: f.stage}
	a.done = i.router.Started(i.run.clock.time(), t.spec.Incarnation, 1)
	f.sent++
	f.excluded = append(f.excluded, t.spec.Incarnation)
	f.inFlight = append(f.inFlight, a)
	f.record.attempts = append(f.record.attempts, a)
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
	a.job.reply = func(ans response) {
		clock.after(a.delay(), func() { a.handleResponse(ans) })
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

func (a *attempt) handleResponse(ans response) {
	f := a.execution
	if a.settled || f.instance.failed {
		return
	}
	f.instance.applyLoadReport(a.target)
	a.settle(ans.outcome, ans.idleTime)
	switch {
	case ans.outcome == routing.OutcomeOK:
		f.record.successful = append(f.record.successful, a)
		f.cancelInFlight()
		f.nextStage()
	case len(f.inFlight) > 0:
	case ans.outcome == routing.OutcomeFailed && f.instance.control.Retry(f.instance.run.clock.time(), f.info()):
		f.send(false)
	default:
		f.end(outcomeFailed)
	}
}

// settle tells the router and the control how the attempt ended.
func (a *attempt) settle(outcome routing.Outcome, units time.Duration) {
	a.settled = true
	f := a.execution
	i := f.instance
	f.inFlight = slices.DeleteFunc(f.inFlight, func(other *attempt) bool { return other == a })
	latency := i.run.clock.now - a.sentAt
	if units == 0 {
		units = i.run.config.Shape.Stages[a.stage].meanIdleTime()
	}
	result := routing.Result{Outcome: outcome, Latency: latency, Expected: i.latencies.expected(a.stage, units)}
	if outcome == routing.OutcomeOK {
		i.latencies.observe(a.stage, units, latency)
	}
	now := i.run.clock.time()
	a.done(now, result)
	info := f.info()
	info.Stage = a.stage
	size := float64(units) / float64(i.run.config.Shape.Stages[a.stage].meanIdleTime())
	i.control.AttemptDone(now, info, result, size)
}

// cancelOpen gives up the attempts still open; a cancel travels to the target.
func (f *execution) cancelInFlight() {
	for len(f.inFlight) > 0 {
		f.inFlight[0].abandon(routing.OutcomeCancelled)
	}
}

func (a *attempt) abandon(outcome routing.Outcome) {
	a.settle(outcome, 0)
	a.execution.instance.run.clock.after(a.delay(), func() { a.target.cancel(a.job, outcome) })
}

func (f *execution) end(fate requestOutcome) {
	if f.ended {
		return
	}
	f.ended = true
	i := f.instance
	for len(f.inFlight) > 0 {
		f.inFlight[0].abandon(routing.OutcomeDeadlineMissed)
	}
	f.record.outcome = fate
	if fate == outcomeCompleted {
		f.record.completedAt = i.run.clock.now + i.run.config.Shape.ClientDelay
	}
	if i.failed {
		return
	}
	i.executions = slices.DeleteFunc(i.executions, func(other *execution) bool { return other == f })
	info := f.info()
	info.Stage = min(info.Stage, len(f.request.Work)-1)
	i.control.RequestDone(i.run.clock.time(), info, fate == outcomeCompleted)
}

// lose stops the instance; the requests it served are lost with it.
func (i *instance) fail() {
	i.failed = true
	for _, f := range i.executions {
		f.end(outcomeFailed)
	}
	i.executions = nil
}

// reportFrom takes in the load that a target states with each answer.
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
