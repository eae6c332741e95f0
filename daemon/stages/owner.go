package stages

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/daemon/orders/boottime"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// Times of the owner.
const (
	// tick is how often the planner looks for what is due.
	tick = 100 * time.Millisecond
	// freeDelay gathers results to free into one call to their maker: a few
	// requests end in it.
	freeDelay = 40 * time.Millisecond
	// freeTimeout bounds a call that frees results; those it loses expire.
	freeTimeout = 500 * time.Millisecond
	// maxReply bounds the reply to a stage call, in bytes: 128 pieces' handles
	// with room to spare.
	maxReply = 1 << 20
)

// Owner holds the queue of the stage targets: it drives a gather.Planner and
// carries out its calls.
type Owner struct {
	dialect exchange.Dialect
	client  *forward.Client
	// follower is told of targets that another process replaced.
	follower Follower
	metrics  metrics
	answers  answers
	// passEnd and passDrops tell the instance that has the queue of the end of a call
	// and of requests that nobody waits for.
	passEnd   func(to string, call uint64, how gather.CallOutcome, results []gather.PieceResult)
	passDrops func(to string, served ...placing.RequestEnd)

	mu      sync.Mutex
	planner *gather.Planner
	engines *placing.Table
	// prompts are those of the requests whose stages are made here, by request.
	prompts map[string]placing.Prompt
	waiting map[string]chan outcome
	freeing map[gather.Target][]string
	// stall finds out that this instance stood still, by boot beside the time of day.
	stall holder.StallDetector
	boot  boottime.Clock
	// stalled is called once the queue is frozen since this instance stood still.
	stalled func()
	// running counts the calls that this instance carries out.
	running int
	// readers are other instances that read the results of requests that are done.
	readers map[string]reading
	handing
}

// outcome is the end of a request's stages at this instance.
type outcome struct {
	handles []string
	// engine is the incarnation of the engine that is to serve the request; empty if
	// none was chosen.
	engine  string
	refused *gather.Refused
	// movedTo is the address of the instance that has the queue and the request now.
	movedTo string
	// dropped tells that the request was dropped by its asker's word, or for want of one.
	dropped bool
}

// errDropped answers an ask whose request was dropped meanwhile.
var errDropped = errors.New("the request was dropped")

func newOwner(d exchange.Dialect, client *forward.Client, follower Follower, m metrics) *Owner {
	return &Owner{
		dialect:  d,
		client:   client,
		follower: follower,
		metrics:  m,
		planner:  gather.New(gather.Config{}),
		engines:  placing.NewTable(),
		prompts:  map[string]placing.Prompt{},
		waiting:  map[string]chan outcome{},
		freeing:  map[gather.Target][]string{},
		readers:  map[string]reading{},
		boot:     boottime.Now,
		handing:  newHanding(),
	}
}

func shape(b *routes.BatchConfig) gather.ServiceConfig {
	return gather.ServiceConfig{
		Slots: b.Slots, MaxPieces: b.MaxPieces,
		CallTime: b.CallTime, PieceTime: b.PieceTime,
		ResultCapacity: b.ResultCapacity, ResultTTL: b.ResultTTL,
	}
}

// run drives the planner until the context ends. view returns the members as known.
func (o *Owner) run(ctx context.Context, view func() *membership.View) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			o.takeBackGone(view())
			o.enter()
			idle := o.planner.RequestCount() == 0
			o.engines.Tick(now)
			o.mu.Unlock()
			o.dropUnclaimed(now)
			o.dropReaderless(now, view())
			if !idle {
				o.do(func(p *gather.Planner) []gather.Action { return p.Tick(now) })
			}
		}
	}
}

// make has the stages of a request run and waits for their results. A request that
// was taken over with another instance's queue goes on with what is made of it.
//
// bounded tells that its deadline was brought forward since it was asked for first,
// remote that another instance asks, whose connection the context is bound to.
func (o *Owner) make(ctx context.Context, r gather.Request, prompt placing.Prompt, bounded, remote bool) (outcome, error) {
	done, err := o.begin(ctx, r, prompt, bounded)
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
		o.abandon(r.ID, done, remote && !errors.Is(ctx.Err(), context.DeadlineExceeded))
		return outcome{}, context.Cause(ctx)
	}
}

// begin takes a request in, as soon as the queue isn't on its way. The channel tells
// the request's end.
func (o *Owner) begin(ctx context.Context, r gather.Request, prompt placing.Prompt, bounded bool) (chan outcome, error) {
	done := make(chan outcome, 1)
	o.enter()
	for o.frozen {
		decided := o.decided
		o.mu.Unlock()
		select {
		case <-decided:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		o.mu.Lock()
	}
	if o.movedTo != "" {
		done <- outcome{movedTo: o.movedTo}
		o.mu.Unlock()
		return done, nil
	}
	if o.planner.IDInUse(r) {
		done <- outcome{refused: &gather.Refused{Request: r.ID, Reason: gather.ReasonIDInUse}}
		o.mu.Unlock()
		return done, nil
	}
	_, taken := o.unclaimed[r.ID]
	_, asked := o.waiting[r.ID]
	taken = taken || asked
	delete(o.unclaimed, r.ID)
	if end, ok := o.early[r.ID]; ok {
		delete(o.early, r.ID)
		done <- end
		o.mu.Unlock()
		return done, nil
	}
	o.waiting[r.ID] = done
	r = o.near(time.Now(), r, prompt)
	var actions []gather.Action
	switch {
	case !taken:
		actions = o.planner.Submit(time.Now(), r)
	case bounded:
		actions = o.planner.ShortenDeadlines(time.Now(), r.Deadline, r.ID)
	}
	o.settle(actions)
	o.mu.Unlock()
	o.carryOut(actions)
	return done, nil
}

// drop forgets requests and frees what they hold.
func (o *Owner) drop(served ...placing.RequestEnd) {
	ids := make([]string, len(served))
	o.enter()
	for i, s := range served {
		id := s.Request
		ids[i] = id
		o.engines.RecordEnd(s)
		if o.waiting[id] != nil {
			o.finish(id, outcome{dropped: true})
		}
		delete(o.prompts, id)
		delete(o.unclaimed, id)
		delete(o.early, id)
		delete(o.readers, id)
	}
	if o.frozen {
		o.drops = append(o.drops, served...)
	}
	to := o.movedTo
	o.mu.Unlock()
	if to != "" {
		o.passDrops(to, served...)
		return
	}
	o.do(func(p *gather.Planner) []gather.Action {
		var actions []gather.Action
		for _, id := range ids {
			actions = append(actions, p.Drop(time.Now(), id)...)
		}
		return actions
	})
}

// do runs a step of the planner under its lock and its actions without it. While the
// queue is on its way steps wait; once another instance has it they are of no use.
func (o *Owner) do(step func(*gather.Planner) []gather.Action) {
	o.enter()
	if o.frozen {
		o.steps = append(o.steps, step)
	}
	if o.frozen || o.movedTo != "" {
		o.mu.Unlock()
		return
	}
	actions := step(o.planner)
	o.settle(actions)
	o.mu.Unlock()
	o.carryOut(actions)
}

// settle does what actions change here; mu is held.
func (o *Owner) settle(actions []gather.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gather.Completed:
			o.finish(a.Request, outcome{handles: a.Handles, engine: o.place(time.Now(), a)})
		case gather.Refused:
			o.finish(a.Request, outcome{refused: &a})
		case gather.FreeResults:
			o.freeLater(a)
		case gather.StartCall:
			o.running++
		}
	}
}

// carryOut begins the calls among actions and writes down the ends; mu isn't held.
func (o *Owner) carryOut(actions []gather.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gather.StartCall:
			go o.call(a)
		case gather.Completed:
			o.metrics.done(a)
			telemetry.InfoS("Stages done", telemetry.Event{
				RequestID: a.Request, Pipeline: a.Route, Stage: timesText(a.Times), Elapsed: a.Elapsed, Predicted: a.Predicted, Remaining: a.TimeToObjective,
			})
		case gather.Refused:
			o.metrics.refused(string(a.Reason))
			telemetry.InfoS("Stages refused", telemetry.Event{RequestID: a.Request, Reason: string(a.Reason), Predicted: a.Needed, Remaining: a.TimeToDeadline, RetryAfter: a.RetryAfter})
		}
	}
}

// timesText writes for each stage when it was ready, sent and done, in
// milliseconds from the request's admission.
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

// finish tells a request's end; mu is held.
func (o *Owner) finish(id string, end outcome) {
	delete(o.prompts, id)
	if done := o.waiting[id]; done != nil {
		delete(o.waiting, id)
		done <- end
		return
	}
	if _, ok := o.unclaimed[id]; ok {
		o.early[id] = end
	}
}

// freeLater gathers results to free; mu is held.
func (o *Owner) freeLater(f gather.FreeResults) {
	first := len(o.freeing[f.Target]) == 0
	o.freeing[f.Target] = append(o.freeing[f.Target], f.Handles...)
	if first {
		time.AfterFunc(freeDelay, func() { o.free(f.Target) })
	}
}

// free gives the gathered results of a target back.
func (o *Owner) free(t gather.Target) {
	o.mu.Lock()
	handles := o.freeing[t]
	delete(o.freeing, t)
	o.mu.Unlock()
	request, err := o.dialect.NewFreeRequest(t.Address, t.Name, handles)
	if err != nil {
		klog.ErrorS(err, "Results could not be freed", "target", t.Incarnation, "count", len(handles))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	reply, err := o.client.Do(ctx, t.Address, request, forward.Options{Process: t.Incarnation, Use: useFree})
	if err == nil {
		_, err = io.Copy(io.Discard, reply)
		reply.Close()
	}
	if err != nil {
		// They expire by themselves; until then their room is taken.
		telemetry.ErrorS(err, "Results were not freed", telemetry.Event{Target: t.Incarnation, Count: len(handles)})
	}
	o.do(func(p *gather.Planner) []gather.Action { return p.FreeDone(time.Now(), handles) })
}
