package stages

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/daemon/orders/boottime"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

const (
	// tick is the interval at which the planner checks its timers.
	tick = 100 * time.Millisecond
	// freeDelay is the time in which the results of a target are collected, to be freed in
	// one call. A few requests end in that time.
	freeDelay = 40 * time.Millisecond
	// limitedFreeDelay replaces freeDelay at a target that names a limit, which counts these calls
	// as well.
	limitedFreeDelay = time.Second
	// maxReply limits the reply to a stage call, in bytes: the handles of 128 pieces and a
	// reserve.
	maxReply = 1 << 20
)

// queue is this instance's part in the queue of the stage targets. While the instance holds
// the queue, it drives a gather.Planner and carries out its calls. After a handover it refers
// to the instance that has the queue.
type queue struct {
	dialect exchange.Dialect
	client  *forward.Client
	// follower is notified of targets that were replaced by another process.
	follower  Follower
	metrics   metrics
	responses recentResponses
	// reportCallEnd notifies the instance that has the queue of the end of a call,
	// forwardDrops of requests that have ended.
	reportCallEnd func(to string, call uint64, callOutcome gather.CallOutcome, results []gather.PieceResult)
	forwardDrops  func(to string, ends ...placing.RequestEnd)

	mu      sync.Mutex
	planner *gather.Planner
	engines *placing.Table
	// prompts holds the prompts of the requests whose stages run here, by request ID. waiters
	// holds the channels that receive the requests' outcomes.
	prompts     map[string]heldPrompt
	waiters     map[string]chan outcome
	pendingFree map[gather.Target]gather.FreeResults
	// stall detects, by bootClock and the time of day, that this instance was stalled.
	stall     holder.StallDetector
	bootClock boottime.Clock
	// onStall is called after the queue was frozen because this instance was stalled.
	onStall func()
	// limits bound what cold targets get. pacedPools has the pools whose targets have a pace.
	limits     pacing.Limits
	pacedPools atomic.Pointer[map[string]bool]
	// engineNames has the incarnations of the usable engines by pool, coldPools the pools with a
	// cold rate, and targetLimits the limits that targets name.
	engineNames  map[string][]string
	coldPools    map[string]bool
	targetLimits map[string]float64
	// onResponse is called with the header of each response to a stage call; nil for none.
	onResponse func(incarnation string, response exchange.TargetResponse)
	// view returns the known members; grantsView is the one that the grants are based on.
	view       func() *membership.View
	grantsView *membership.View
	// runningCalls counts the calls that this instance carries out.
	runningCalls int
	// readers are other instances that read the results of completed requests, by request ID.
	readers map[string]resultReader
	handoverState
}

// outcome is the end of a request's stages at this instance.
type outcome struct {
	handles []string
	// engine is the incarnation of the engine that is to serve the request. It is empty if
	// none was chosen.
	engine string
	// sendAt is when the request may be sent to the engine.
	sendAt  time.Time
	refused *gather.Refused
	// movedTo is the address of the instance that now has the queue and the request.
	movedTo string
	// dropped is true if the requester dropped the request, or never claimed it.
	dropped bool
}

// errDropped is returned to a requester whose request was dropped meanwhile.
var errDropped = errors.New("the request was dropped")

func newQueue(d exchange.Dialect, client *forward.Client, follower Follower, config gather.Config, m metrics) *queue {
	return &queue{
		dialect:       d,
		client:        client,
		follower:      follower,
		metrics:       m,
		planner:       gather.New(config),
		engines:       placing.NewTable(),
		prompts:       map[string]heldPrompt{},
		waiters:       map[string]chan outcome{},
		pendingFree:   map[gather.Target]gather.FreeResults{},
		readers:       map[string]resultReader{},
		bootClock:     boottime.Now,
		handoverState: newHandoverState(),
	}
}

func serviceConfig(b *routes.BatchConfig, pace pacing.Pace) gather.ServiceConfig {
	return gather.ServiceConfig{
		Pace:  pace,
		Slots: b.Slots, MaxPieces: b.MaxPieces,
		CallTime: b.CallTime, PieceTime: b.PieceTime,
		ResultCapacity: b.ResultCapacity, ResultTTL: b.ResultTTL, LinkRate: b.LinkRate,
	}
}

// run drives the planner until the context ends. view returns the known members.
func (q *queue) run(ctx context.Context, view func() *membership.View) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.takeBackFromDead(view())
			q.lockAndCheckStall()
			idle := q.planner.RequestCount() == 0 && q.planner.ReservationCount() == 0
			q.engines.Tick(now)
			q.metrics.binding(q.planner.BindingServices(now))
			q.mu.Unlock()
			q.dropUnclaimed(now)
			q.dropOrphaned(now, view())
			if !idle {
				q.apply(func(p *gather.Planner) []gather.Action { return q.checkTimers(p, now) })
			}
		}
	}
}

// execute runs the stages of a request and waits for their results. A request that was taken
// over with another instance's queue continues with the results that it has.
//
// shortened means that the request's deadline was shortened since it was first sent. remote
// means that the requester is another instance; the context is then bound to its connection.
func (q *queue) execute(ctx context.Context, r gather.Request, prompt placing.Prompt, shortened, remote bool) (outcome, error) {
	done, err := q.submit(ctx, r, prompt, shortened)
	if err != nil {
		return outcome{}, err
	}
	select {
	case end := <-done:
		if end.dropped {
			return outcome{}, errDropped
		}
		return end, nil
	case <-ctx.Done():
		q.abandon(r.ID, done, remote && !errors.Is(ctx.Err(), context.DeadlineExceeded))
		return outcome{}, context.Cause(ctx)
	}
}

// submit submits a request to the planner, after any handover in progress has ended.
// The channel receives the request's outcome.
func (q *queue) submit(ctx context.Context, r gather.Request, prompt placing.Prompt, shortened bool) (chan outcome, error) {
	done := make(chan outcome, 1)
	q.lockAndCheckStall()
	for q.frozen {
		decided := q.unfrozen
		q.mu.Unlock()
		select {
		case <-decided:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		q.mu.Lock()
	}
	if q.movedTo != "" {
		done <- outcome{movedTo: q.movedTo}
		q.mu.Unlock()
		return done, nil
	}
	if q.planner.IDInUse(r) {
		done <- outcome{refused: &gather.Refused{Request: r.ID, Account: r.Account, Reason: gather.ReasonIDInUse}}
		q.mu.Unlock()
		return done, nil
	}
	_, held := q.unclaimed[r.ID]
	_, waiting := q.waiters[r.ID]
	held = held || waiting
	delete(q.unclaimed, r.ID)
	if end, ok := q.earlyOutcomes[r.ID]; ok {
		delete(q.earlyOutcomes, r.ID)
		if q.isPaced(prompt.Pool) {
			end.engine = "" // the time of its grant may be over
		}
		done <- end
		q.mu.Unlock()
		return done, nil
	}
	q.waiters[r.ID] = done
	r = q.predictEngine(time.Now(), r, prompt)
	var actions []gather.Action
	switch {
	case !held:
		actions = q.planner.Submit(time.Now(), r)
	case shortened:
		actions = q.planner.ShortenDeadlines(time.Now(), r.Deadline, r.ID)
	}
	q.recordActions(actions)
	q.mu.Unlock()
	q.performActions(actions)
	return done, nil
}

// drop removes requests and frees their results.
func (q *queue) drop(ends ...placing.RequestEnd) {
	ids := make([]string, 0, len(ends))
	q.lockAndCheckStall()
	for _, end := range ends {
		id := end.Request
		q.engines.RecordProgress(time.Now(), end)
		if end.EndsStream() {
			continue
		}
		ids = append(ids, id)
		q.engines.RecordEnd(end)
		if q.waiters[id] != nil {
			q.finish(id, outcome{dropped: true})
		}
		delete(q.prompts, id)
		delete(q.unclaimed, id)
		delete(q.earlyOutcomes, id)
		delete(q.readers, id)
	}
	if q.frozen {
		q.deferredDrops = append(q.deferredDrops, ends...)
	}
	to := q.movedTo
	// In the same critical section: a handover that begins in between would export the requests and
	// discard the step, and the next holder would keep their results until their deadlines.
	actions := q.applyLocked(func(p *gather.Planner) []gather.Action {
		var actions []gather.Action
		for _, id := range ids {
			actions = append(actions, p.Drop(time.Now(), id)...)
		}
		return actions
	})
	q.mu.Unlock()
	q.performActions(actions)
	if to != "" {
		q.forwardDrops(to, ends...)
	}
}

// apply runs a step of the planner and its actions. The step runs under mu, the actions
// without it. Steps are deferred during a handover, and discarded once another instance has
// the queue.
func (q *queue) apply(step func(*gather.Planner) []gather.Action) {
	q.lockAndCheckStall()
	actions := q.applyLocked(step)
	q.mu.Unlock()
	q.performActions(actions)
}

// applyLocked is apply with mu held. It returns the actions to perform without it.
func (q *queue) applyLocked(step func(*gather.Planner) []gather.Action) []gather.Action {
	if q.frozen {
		q.deferredSteps = append(q.deferredSteps, step)
	}
	if q.frozen || q.movedTo != "" {
		return nil
	}
	actions := step(q.planner)
	q.recordActions(actions)
	return actions
}

// recordActions updates the state of the queue according to actions. mu must be held.
func (q *queue) recordActions(actions []gather.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gather.Completed:
			engine, sendAt := q.assignEngine(time.Now(), a)
			q.finish(a.Request, outcome{handles: a.Handles, engine: engine, sendAt: sendAt})
		case gather.Refused:
			q.finish(a.Request, outcome{refused: &a})
		case gather.FreeResults:
			q.scheduleFree(a)
		case gather.StartCall:
			q.runningCalls++
			q.metrics.callFill(a.Service, len(a.Pieces), q.planner.MaxPieces(a.Service))
		}
	}
}

// performActions starts the calls among actions, and logs completed and refused requests. mu
// must not be held.
func (q *queue) performActions(actions []gather.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gather.StartCall:
			go q.runCall(a)
		case gather.Completed:
			q.metrics.completed(a)
			telemetry.InfoS("Stages done", telemetry.Event{
				RequestID: a.Request, Pipeline: a.Route, Stage: timesText(a.Times), Elapsed: a.Elapsed, Predicted: a.Predicted, Remaining: a.TimeToObjective,
			})
		case gather.Refused:
			q.metrics.refused(string(a.Reason))
			telemetry.InfoS("Stages refused", telemetry.Event{RequestID: a.Request, Account: a.Account, Reason: string(a.Reason), Predicted: a.Needed, Remaining: a.TimeToDeadline, RetryAfter: a.RetryAfter})
		}
	}
}

// timesText formats for each stage when it was ready, sent and done, in milliseconds since
// the request's admission.
func timesText(times []gather.StageTimes) string {
	var b strings.Builder
	for i, t := range times {
		if t.Done == 0 {
			continue
		}
		fmt.Fprintf(&b, "%d:%d/%d/%d ", i, t.Ready.Milliseconds(), t.Sent.Milliseconds(), t.Done.Milliseconds())
	}
	return strings.TrimSpace(b.String())
}

// finish delivers a request's outcome, or keeps it for a requester that has yet to claim the
// request. mu must be held.
func (q *queue) finish(id string, end outcome) {
	delete(q.prompts, id)
	if done := q.waiters[id]; done != nil {
		delete(q.waiters, id)
		done <- end
		return
	}
	if _, ok := q.unclaimed[id]; ok {
		q.earlyOutcomes[id] = end
	}
}

// scheduleFree collects results to free. mu must be held.
func (q *queue) scheduleFree(f gather.FreeResults) {
	collected, waits := q.pendingFree[f.Target]
	f.Handles = append(collected.Handles, f.Handles...)
	q.pendingFree[f.Target] = f
	if delay := q.freeDelayOf(f); !waits || delay == 0 {
		time.AfterFunc(delay, func() { q.free(f.Target) })
	}
}

// freeDelayOf returns how long results to free are collected. mu must be held.
func (q *queue) freeDelayOf(f gather.FreeResults) time.Duration {
	if _, limited := q.targetLimits[f.Target.Incarnation]; limited {
		return limitedFreeDelay
	}
	if f.Urgent {
		return 0
	}
	return freeDelay
}

// freeCollected frees all collected results at once. mu must be held.
func (q *queue) freeCollected() {
	for t := range q.pendingFree {
		go q.free(t)
	}
}
