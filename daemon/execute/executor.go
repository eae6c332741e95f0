package execute

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"github.com/ivyhollow/ivyhollow/coordination/admission"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// Options are the parts an Executor works with; all are required but Now.
type Options struct {
	Router  Router
	Targets Caller
	Gate    Gate
	Budgets Budgets
	Times   *deadline.Times
	// Status keeps the fate of each attempt.
	Status *requests.Table
	// Blocklist refuses requests that crash their targets; nil refuses none.
	Blocklist blocklist.Records
	// NothingListens tells whether an address has no process that listens, by which a
	// target that crashed is known; nil knows none.
	NothingListens func(ctx context.Context, address string) bool
	// Config returns the configuration in force, for the pools' records.
	Config func() *catalog.Snapshot
	// Tracer starts a span for each stage; nil means none.
	Tracer trace.Tracer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Executor runs jobs. It is safe for concurrent use.
type Executor struct {
	opts       Options
	admissions *admissions
}

// New makes an executor.
func New(o Options) *Executor {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if o.Blocklist == nil {
		o.Blocklist = blocklist.None{}
	}
	return &Executor{opts: o, admissions: newAdmissions()}
}

// run is the state of one job.
type run struct {
	*Executor
	job    *Job
	ledger outcome.Ledger
	// once counts only the attempts of stages that may not be repeated.
	once outcome.Ledger
	// outputs holds each finished stage's output; done is closed with it.
	outputs []string
	tokens  []int
	done    []chan struct{}

	// rank is the tier's place among the tiers in force; 0 is the highest.
	rank int
	// content is the digest of what the job's repeats have in common; onTrial tells that
	// this is the one run of it that is allowed.
	content quarantine.Digest
	onTrial bool
	// probe tells that the job was admitted to measure its stages anew.
	probe bool

	mu        sync.Mutex
	remaining []deadline.RemainingStage
	finished  []bool
	claimed   bool
}

// Run runs the job's stages and returns the whole answer of the last one. Its
// error is always a *Failure, whose verdict is final: nothing of the job leaves
// for a target after Run returned.
func (e *Executor) Run(ctx context.Context, job Job) (result Result, err error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r := e.newRun(&job)
	defer func() { r.probed(err == nil) }()
	if failure := r.admitContent(ctx); failure != nil {
		return Result{}, r.seal(failure)
	}
	if failure := r.hopeless(); failure != nil {
		return Result{}, r.seal(failure)
	}
	group, stageCtx := errgroup.WithContext(ctx)
	for i := range job.Pipeline.Stages {
		group.Go(func() error { return r.stageWhenReady(stageCtx, i) })
	}
	if err = group.Wait(); err != nil || !r.whole() {
		return Result{}, r.seal(r.asFailure(ctx, err))
	}
	r.ledger.Seal()
	r.opts.Blocklist.RecordCompletion(r.content)
	last := len(r.outputs) - 1
	return Result{Output: r.outputs[last], Tokens: r.tokens[last]}, nil
}

func (e *Executor) newRun(job *Job) *run {
	n := len(job.Pipeline.Stages)
	r := &run{
		Executor: e,
		job:      job,
		outputs:  make([]string, n),
		tokens:   make([]int, n),
		done:     make([]chan struct{}, n),
		finished: make([]bool, n),
		rank:     e.place(job.Tier),
		content:  quarantine.DigestOf("", job.Pipeline.Key.Name, job.Account, []byte(job.Input)),
	}
	for i := range job.Pipeline.Stages {
		r.done[i] = make(chan struct{})
		r.remaining = append(r.remaining, r.estimate(i))
	}
	return r
}

// hopeless refuses a job that can't make its deadline, or that a later stage
// has no target for, before it costs a stage.
func (r *run) hopeless() *Failure {
	for i := range r.job.Pipeline.Stages {
		stage := &r.job.Pipeline.Stages[i]
		query := routing.Query{Pool: stage.Pool, Model: stage.Model, Adapter: stage.Adapter}
		if !r.opts.Gate.Open(stage.Pool) || !r.opts.Router.Serves(&query) {
			return &Failure{Reason: ReasonNoTarget, Step: stage.Name}
		}
	}
	decision := r.admissions.decide(r.opts.Now(), r.job, r.remaining)
	if decision.Admit {
		r.probe = decision.Probe
		return nil
	}
	f := &Failure{Reason: ReasonDeadline, Step: r.job.Pipeline.Stages[0].Name}
	f.RetryAfter = decision.RetryAfter
	if decision.Reason == admission.ReasonQueueTooLong {
		f.Reason = ReasonOverload
	}
	return f
}

// probed tells the admission how a probe ended, so that refusals by learned
// times end once the stages are fast again.
func (r *run) probed(made bool) {
	if r.probe {
		r.admissions.probed(r.job, made)
	}
}

// stageWhenReady waits for the stages before, then runs stage i. A stage that
// waits in vain reports nothing: the one that it waits for says why, and where.
func (r *run) stageWhenReady(ctx context.Context, i int) (err error) {
	s := newStageRun(r, i)
	defer s.contain(&err)
	inputs, ok := r.inputs(ctx, i)
	if !ok {
		return nil
	}
	s.inputs = inputs
	ctx, span := r.opts.Tracer.Start(ctx, "stage "+s.stage.Name)
	defer span.End()
	span.SetAttributes(telemetry.AttrRequestID.String(r.job.ID), telemetry.AttrStage.String(s.stage.Name))
	if err = s.execute(ctx); err != nil {
		span.SetStatus(codes.Error, string(reasonOf(err)))
		return err
	}
	r.finish(i, s)
	return nil
}

// inputs waits for what stage i reads; false tells that the context ended first.
func (r *run) inputs(ctx context.Context, i int) ([]string, bool) {
	after := r.job.Pipeline.Stages[i].After
	if len(after) == 0 {
		return []string{r.job.Input}, true
	}
	inputs := make([]string, 0, len(after))
	for _, before := range after {
		select {
		case <-r.done[before]:
			inputs = append(inputs, r.outputs[before])
		case <-ctx.Done():
			return nil, false
		}
	}
	return inputs, true
}

func (r *run) finish(i int, s *stageRun) {
	r.outputs[i] = s.output
	r.tokens[i] = s.tokens
	r.mu.Lock()
	r.finished[i] = true
	r.mu.Unlock()
	close(r.done[i])
}

// share recomputes stage i's part of what is left of the deadline.
func (r *run) share(now time.Time, i int) deadline.StageBudget {
	r.mu.Lock()
	var left []deadline.RemainingStage
	for j := range r.remaining {
		if !r.finished[j] {
			left = append(left, r.remaining[j])
		}
	}
	r.mu.Unlock()
	for _, share := range deadline.Plan(now, r.job.Deadline, left) {
		if share.Stage == i {
			return share
		}
	}
	return deadline.StageBudget{Stage: i, Due: r.job.Deadline, LatestStart: r.job.Deadline}
}

// claimDispatch asks once for leave to send stages that may not be repeated.
func (r *run) claimDispatch() error {
	if r.job.BeforeDispatch == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed {
		return nil
	}
	if err := r.job.BeforeDispatch(); err != nil {
		return err
	}
	r.claimed = true
	return nil
}

// seal makes the failure's verdict final.
func (r *run) seal(f *Failure) *Failure {
	f.Verdict = r.ledger.Seal()
	f.MayRunAgain = r.once.Seal() == outcome.NotRun
	return f
}

// whole tells whether every stage was answered. The failure: the context ends at
// the moment at which a stage is answered, the next one still waits and reports
// nothing, and the caller gets an empty answer for a whole one.
func (r *run) whole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.Contains(r.finished, false)
}

// ErrStopping is the cause of a context that ends since the instance stops.
var ErrStopping = errors.New("the instance stops")

// asFailure names the cause of an end that no stage reported.
func (r *run) asFailure(ctx context.Context, err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	reason := ReasonCaller
	if errors.Is(context.Cause(ctx), ErrStopping) {
		reason = ReasonStopping
	}
	if !r.opts.Now().Before(r.job.Deadline) {
		reason = ReasonDeadline
	}
	return &Failure{Reason: reason, Step: r.firstUnfinished(), Cause: context.Cause(ctx)}
}

func reasonOf(err error) Reason {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return ReasonDeadline
}

func (r *run) firstUnfinished() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, finished := range r.finished {
		if !finished {
			return r.job.Pipeline.Stages[i].Name
		}
	}
	return ""
}

// newRand gives each stage its own source, so that no lock is shared.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
