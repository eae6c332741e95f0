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

// Options configures an Executor. Blocklist, NothingListens, Tracer and Now are optional.
type Options struct {
	Router  Router
	Targets Caller
	Gate    Gate
	Budgets Budgets
	Times   *deadline.Times
	// Status records the result of each attempt.
	Status *requests.Table
	// Blocklist blocks requests that crash their targets; nil blocks none.
	Blocklist blocklist.Records
	// NothingListens reports whether no process listens at an address, which identifies
	// a target that crashed; with nil no crash is detected.
	NothingListens func(ctx context.Context, address string) bool
	// Config returns the configuration in force, with the records of pools and tiers.
	Config func() *catalog.Snapshot
	// Tracer starts a span for each stage; nil means no tracing.
	Tracer trace.Tracer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Executor runs jobs. It is safe for concurrent use.
type Executor struct {
	opts       Options
	admissions *admissionControllers
}

// New returns an executor.
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
	return &Executor{opts: o, admissions: newAdmissionControllers()}
}

// jobRun is the state of one job.
type jobRun struct {
	*Executor
	job    *Job
	ledger outcome.Ledger
	// nonRepeatable records only the attempts of stages that are not repeatable.
	nonRepeatable outcome.Ledger
	// outputs holds each finished stage's output. The stage's done channel is closed once
	// it is set.
	outputs []string
	tokens  []int
	done    []chan struct{}

	// rank is the position of the tier among the tiers in force; 0 is the highest.
	rank int
	// suspects is what of the job may crash targets. trialGranted is true if this is the one
	// run with a suspect on trial that is allowed.
	suspects     quarantine.Suspects
	trialGranted bool
	// probe is true if the job was admitted to measure its stages again.
	probe bool

	mu sync.Mutex
	// estimates holds the estimated time of each stage.
	estimates []deadline.RemainingStage
	finished  []bool
	claimed   bool
}

// Run runs the job's stages and returns the complete response of the last one. Its
// error is always a *Failure with a final verdict: nothing of the job is sent to a
// target after Run has returned.
func (e *Executor) Run(ctx context.Context, job Job) (result Result, err error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r := e.newRun(&job)
	defer func() { r.probeEnded(err == nil) }()
	if failure := r.admitContent(ctx); failure != nil {
		return Result{}, r.seal(failure)
	}
	if failure := r.admit(); failure != nil {
		return Result{}, r.seal(failure)
	}
	group, stageCtx := errgroup.WithContext(ctx)
	for i := range job.Pipeline.Stages {
		group.Go(func() error { return r.stageWhenReady(stageCtx, i) })
	}
	if err = group.Wait(); err != nil || !r.complete() {
		return Result{}, r.seal(r.asFailure(ctx, err))
	}
	r.ledger.Seal()
	r.opts.Blocklist.RecordCompletion(r.suspects)
	last := len(r.outputs) - 1
	return Result{Output: r.outputs[last], Tokens: r.tokens[last]}, nil
}

func (e *Executor) newRun(job *Job) *jobRun {
	n := len(job.Pipeline.Stages)
	r := &jobRun{
		Executor: e,
		job:      job,
		outputs:  make([]string, n),
		tokens:   make([]int, n),
		done:     make([]chan struct{}, n),
		finished: make([]bool, n),
		rank:     e.gateRank(job.Tier),
		suspects: suspectsOf(job),
	}
	for i := range job.Pipeline.Stages {
		r.done[i] = make(chan struct{})
		r.estimates = append(r.estimates, r.estimate(i))
	}
	return r
}

// admit refuses, before any stage runs, a job that can't meet its deadline or has a stage
// without a target.
func (r *jobRun) admit() *Failure {
	for i := range r.job.Pipeline.Stages {
		stage := &r.job.Pipeline.Stages[i]
		query := routing.Query{Pool: stage.Pool, Model: stage.Model, Adapter: stage.Adapter}
		if !r.opts.Gate.Open(stage.Pool) || !r.opts.Router.Serves(&query) {
			return &Failure{Reason: ReasonNoTarget, Step: stage.Name}
		}
	}
	decision := r.admissions.decide(r.opts.Now(), r.job, r.estimates)
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

// probeEnded reports the result of a probe to the admission controller, so that refusals
// by learned times end once the stages are fast again.
func (r *jobRun) probeEnded(metDeadline bool) {
	if r.probe {
		r.admissions.probeEnded(r.job, metDeadline)
	}
}

// stageWhenReady waits for the predecessors of stage i, then runs it. If the context ends while
// it waits, it returns nil: the stage that failed reports the cause and its own name.
func (r *jobRun) stageWhenReady(ctx context.Context, i int) (err error) {
	s := newStageRun(r, i)
	defer s.recoverPanic(&err)
	inputs, ok := r.awaitInputs(ctx, i)
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

// awaitInputs waits for the outputs that stage i reads. It returns false if the context
// ended first.
func (r *jobRun) awaitInputs(ctx context.Context, i int) ([]string, bool) {
	predecessors := r.job.Pipeline.Stages[i].After
	if len(predecessors) == 0 {
		return []string{r.job.Input}, true
	}
	inputs := make([]string, 0, len(predecessors))
	for _, predecessor := range predecessors {
		select {
		case <-r.done[predecessor]:
			inputs = append(inputs, r.outputs[predecessor])
		case <-ctx.Done():
			return nil, false
		}
	}
	return inputs, true
}

func (r *jobRun) finish(i int, s *stageRun) {
	r.outputs[i] = s.output
	r.tokens[i] = s.tokens
	r.mu.Lock()
	r.finished[i] = true
	r.mu.Unlock()
	close(r.done[i])
}

// stageBudget computes stage i's budget of the time remaining until the deadline.
func (r *jobRun) stageBudget(now time.Time, i int) deadline.StageBudget {
	r.mu.Lock()
	var unfinished []deadline.RemainingStage
	for j := range r.estimates {
		if !r.finished[j] {
			unfinished = append(unfinished, r.estimates[j])
		}
	}
	r.mu.Unlock()
	for _, budget := range deadline.Plan(now, r.job.Deadline, unfinished) {
		if budget.Stage == i {
			return budget
		}
	}
	return deadline.StageBudget{Stage: i, Due: r.job.Deadline, LatestStart: r.job.Deadline}
}

// claimDispatch calls BeforeDispatch unless it has succeeded already. It is called before
// a stage that is not repeatable is sent.
func (r *jobRun) claimDispatch() error {
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

// seal seals the ledgers and sets what the failure promises.
func (r *jobRun) seal(f *Failure) *Failure {
	f.Verdict = r.ledger.Seal()
	f.MayRunAgain = r.nonRepeatable.Seal() == outcome.NotRun
	return f
}

// complete reports whether every stage finished. It prevents an empty response from being
// returned as a complete one: if the context ends at the moment a stage finishes, the next
// stage still waits and reports no failure.
func (r *jobRun) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.Contains(r.finished, false)
}

// ErrStopping is the cause of a context that ends because the instance stops.
var ErrStopping = errors.New("the instance stops")

// asFailure returns err if it is a *Failure, and otherwise a failure with the cause of the
// context's end.
func (r *jobRun) asFailure(ctx context.Context, err error) *Failure {
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

func (r *jobRun) firstUnfinished() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, finished := range r.finished {
		if !finished {
			return r.job.Pipeline.Stages[i].Name
		}
	}
	return ""
}

// newRand returns a random source. Each stage has its own, so that no lock is shared.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
