package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// One-way delays between an instance and a target.
const (
	nearDelay = 250 * time.Microsecond
	farDelay  = time.Millisecond
)

// instance serves requests with its own router and control.
type instance struct {
	run        *run
	name       string
	dataCentre string
	router     Router
	control    Control
	rng        *rand.Rand
	learned    *learner
	flows      []*flow
	lost       bool
}

// flow is one request at an instance.
type flow struct {
	instance *instance
	request  *Request
	stage    int
	sent     int // attempts of the current stage
	open     []*attempt
	excluded []string
	ended    bool
	record   *record
}

// attempt is one call of a target.
type attempt struct {
	flow    *flow
	stage   int
	target  *target
	job     *job
	sentAt  time.Duration
	done    func(time.Time, routing.Result)
	settled bool
	hedge   bool
}

func (f *flow) info() StageInfo {
	return StageInfo{
		Request: f.request,
		Shape:   &f.instance.run.config.Shape,
		Stage:   f.stage,
		Attempt: f.sent,
		Left:    f.request.Deadline - f.instance.run.clock.now,
	}
}

// accept takes a request at the moment it reaches the instance.
func (i *instance) accept(r *Request, rec *record) {
	f := &flow{instance: i, request: r, stage: -1, record: rec}
	if !i.control.Admit(i.run.clock.time(), StageInfo{r, &i.run.config.Shape, 0, 0, r.Deadline - i.run.clock.now}) {
		rec.fate = fateRefused
		return
	}
	i.flows = append(i.flows, f)
	i.run.clock.at(r.Deadline-i.run.config.Shape.ClientDelay, func() { f.end(fateLate) })
	f.nextStage()
}

func (f *flow) nextStage() {
	f.stage++
	f.sent = 0
	f.excluded = nil
	for f.stage < len(f.request.Work) && f.request.Work[f.stage] == 0 {
		f.stage++
	}
	if f.stage == len(f.request.Work) {
		f.end(fateWhole)
		return
	}
	stage := f.stage
	f.instance.control.StartStage(f.instance.run.clock.time(), f.info(), func(ok bool) {
		if f.ended || f.stage != stage {
			return
		}
		if !ok {
			f.end(fateRefused)
			return
		}
		f.send(false)
		f.planHedge()
	})
}

func (f *flow) planHedge() {
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
		if f.ended || f.stage != stage || len(f.open) != 1 {
			return
		}
		if control.Hedge(clock.time(), f.info()) {
			f.send(true)
		}
	})
}

// send starts one attempt of the current stage.
func (f *flow) send(hedge bool) {
	i := f.instance
	shape := &i.run.config.Shape.Stages[f.stage]
	query := routing.Query{Pool: shape.Pool, Exclude: f.excluded, Rank: f.request.Tier}
	if shape.Pool == enginePool {
		query.Prefix = f.request.Prefix
	}
	choice, err := i.router.Pick(i.run.clock.time(), i.rng, query)
	if err != nil {
		if len(f.open) == 0 {
			f.end(fateFailed)
		}
		return
	}
	t := i.run.byName[choice.Target.Incarnation]
	a := &attempt{flow: f, stage: f.stage, target: t, sentAt: i.run.clock.now, hedge: hedge}
	a.job = &job{request: f.request, stage: f.stage}
	a.done = i.router.Started(i.run.clock.time(), t.spec.Incarnation, 1)
	f.sent++
	f.excluded = append(f.excluded, t.spec.Incarnation)
	f.open = append(f.open, a)
	f.record.attempts = append(f.record.attempts, a)
	a.dispatch()
}

func (a *attempt) delay() time.Duration {
	if a.target.spec.DataCentre == a.flow.instance.dataCentre {
		return nearDelay
	}
	return farDelay
}

func (a *attempt) dispatch() {
	clock := a.flow.instance.run.clock
	a.job.reply = func(ans answer) {
		clock.after(a.delay(), func() { a.answered(ans) })
	}
	clock.after(a.delay(), func() {
		if a.target.down {
			a.job.state = jobEnded
			clock.after(connectTimeout, func() { a.answered(answer{outcome: routing.OutcomeFailed}) })
			return
		}
		a.target.submit(a.job)
	})
}

func (a *attempt) answered(ans answer) {
	f := a.flow
	if a.settled || f.instance.lost {
		return
	}
	f.instance.reportFrom(a.target)
	a.settle(ans.outcome, ans.units)
	switch {
	case ans.outcome == routing.OutcomeOK:
		f.record.won = append(f.record.won, a)
		f.cancelOpen()
		f.nextStage()
	case len(f.open) > 0:
	case ans.outcome == routing.OutcomeFailed && f.instance.control.Retry(f.instance.run.clock.time(), f.info()):
		f.send(false)
	default:
		f.end(fateFailed)
	}
}

// settle tells the router and the control how the attempt ended.
func (a *attempt) settle(outcome routing.Outcome, units time.Duration) {
	a.settled = true
	f := a.flow
	i := f.instance
	f.open = slices.DeleteFunc(f.open, func(other *attempt) bool { return other == a })
	latency := i.run.clock.now - a.sentAt
	if units == 0 {
		units = i.run.config.Shape.Stages[a.stage].mean()
	}
	result := routing.Result{Outcome: outcome, Latency: latency, Expected: i.learned.expected(a.stage, units)}
	if outcome == routing.OutcomeOK {
		i.learned.observe(a.stage, units, latency)
	}
	now := i.run.clock.time()
	a.done(now, result)
	info := f.info()
	info.Stage = a.stage
	size := float64(units) / float64(i.run.config.Shape.Stages[a.stage].mean())
	i.control.AttemptDone(now, info, result, size)
}

// cancelOpen gives up the attempts still open; a cancel travels to the target.
func (f *flow) cancelOpen() {
	for len(f.open) > 0 {
		f.open[0].giveUp(routing.OutcomeCancelled)
	}
}

func (a *attempt) giveUp(outcome routing.Outcome) {
	a.settle(outcome, 0)
	a.flow.instance.run.clock.after(a.delay(), func() { a.target.cancel(a.job, outcome) })
}

func (f *flow) end(fate fate) {
	if f.ended {
		return
	}
	f.ended = true
	i := f.instance
	for len(f.open) > 0 {
		f.open[0].giveUp(routing.OutcomeDeadlineMissed)
	}
	f.record.fate = fate
	if fate == fateWhole {
		f.record.answered = i.run.clock.now + i.run.config.Shape.ClientDelay
	}
	if i.lost {
		return
	}
	i.flows = slices.DeleteFunc(i.flows, func(other *flow) bool { return other == f })
	info := f.info()
	info.Stage = min(info.Stage, len(f.request.Work)-1)
	i.control.RequestDone(i.run.clock.time(), info, fate == fateWhole)
}

// lose stops the instance; the requests it served are lost with it.
func (i *instance) lose() {
	i.lost = true
	for _, f := range i.flows {
		f.end(fateFailed)
	}
	i.flows = nil
}

// reportFrom takes in the load that a target states with each answer.
func (i *instance) reportFrom(t *target) {
	if !t.stage.Reports || t.down {
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
