package stages

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
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
	// leaving is told of targets that another process replaced.
	leaving func(incarnation string)
	metrics metrics

	mu      sync.Mutex
	planner *gather.Planner
	waiting map[string]chan outcome
	freeing map[gather.Target][]string
}

// outcome is the end of a request's stages.
type outcome struct {
	handles []string
	refused *gather.Refused
}

func newOwner(d exchange.Dialect, client *forward.Client, leaving func(string), m metrics) *Owner {
	return &Owner{
		dialect: d,
		client:  client,
		leaving: leaving,
		metrics: m,
		planner: gather.New(gather.Config{}),
		waiting: map[string]chan outcome{},
		freeing: map[gather.Target][]string{},
	}
}

// setTargets takes the usable targets of all stage services.
func (o *Owner) setTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	o.do(func(p *gather.Planner) []gather.Action {
		var actions []gather.Action
		for name, s := range table.Services {
			if s.Batch == nil {
				continue
			}
			p.SetService(name, shape(s.Batch))
			list := make([]gather.Target, 0, len(usable[name]))
			for _, t := range usable[name] {
				list = append(list, gather.Target{
					Incarnation: t.Incarnation(), Name: t.Name, Address: t.Address, DataCentre: t.DataCentre,
				})
			}
			actions = append(actions, p.SetTargets(now, name, list)...)
		}
		return actions
	})
}

func shape(b *routes.Batch) gather.Shape {
	return gather.Shape{
		Slots: b.Slots, MaxPieces: b.MaxPieces,
		CallTime: b.CallTime, PieceTime: b.PieceTime,
		ResultBytes: b.ResultBytes, KeepFor: b.KeepFor,
	}
}

// run drives the planner until the context ends.
func (o *Owner) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			o.mu.Lock()
			idle := o.planner.Held() == 0
			o.mu.Unlock()
			if !idle {
				o.do(func(p *gather.Planner) []gather.Action { return p.Tick(now) })
			}
		}
	}
}

// make has the stages of a request run and waits for their results.
func (o *Owner) make(ctx context.Context, r gather.Request) (outcome, error) {
	done := make(chan outcome, 1)
	o.mu.Lock()
	o.waiting[r.ID] = done
	o.mu.Unlock()
	o.do(func(p *gather.Planner) []gather.Action { return p.Submit(time.Now(), r) })
	select {
	case end := <-done:
		return end, nil
	case <-ctx.Done():
		o.drop(r.ID)
		return outcome{}, context.Cause(ctx)
	}
}

// drop forgets a request and frees what it holds.
func (o *Owner) drop(ids ...string) {
	o.mu.Lock()
	for _, id := range ids {
		delete(o.waiting, id)
	}
	o.mu.Unlock()
	o.do(func(p *gather.Planner) []gather.Action {
		var actions []gather.Action
		for _, id := range ids {
			actions = append(actions, p.Drop(time.Now(), id)...)
		}
		return actions
	})
}

// do runs a step of the planner under its lock and its actions without it.
func (o *Owner) do(step func(*gather.Planner) []gather.Action) {
	o.mu.Lock()
	actions := step(o.planner)
	for _, a := range actions {
		switch a := a.(type) {
		case gather.Completed:
			o.finish(a.Request, outcome{handles: a.Handles})
		case gather.Refused:
			o.finish(a.Request, outcome{refused: &a})
		case gather.FreeResults:
			o.freeLater(a)
		}
	}
	o.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case gather.StartCall:
			go o.call(a)
		case gather.Completed:
			telemetry.InfoS("Stages done", telemetry.Event{RequestID: a.Request, Stage: timesText(a.Times)})
		case gather.Refused:
			o.metrics.refused(string(a.Reason))
			telemetry.InfoS("Stages refused", telemetry.Event{RequestID: a.Request, Reason: string(a.Reason), Needed: a.Needed, Left: a.Left, RetryAfter: a.RetryAfter})
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
	if done := o.waiting[id]; done != nil {
		delete(o.waiting, id)
		done <- end
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
	request, err := o.dialect.FreeCall(t.Address, t.Name, handles)
	if err != nil {
		klog.ErrorS(err, "Results could not be freed", "target", t.Incarnation, "count", len(handles))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	reply, err := o.client.Do(ctx, t.Address, request, forward.Options{Process: t.Incarnation})
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

// call carries out one stage call.
func (o *Owner) call(c gather.StartCall) {
	started := time.Now()
	results, how, err := o.exchange(c)
	if err != nil {
		telemetry.ErrorS(err, "Stage call failed", telemetry.Event{
			Target: c.Target.Incarnation, Address: c.Target.Address, Count: len(c.Pieces),
			Reason: callOutcomes[how], Elapsed: time.Since(started),
		})
	}
	o.metrics.call(callOutcomes[how], time.Since(started))
	o.noteFailures(c, results)
	if how == gather.CallWrongTarget {
		o.leaving(c.Target.Incarnation)
	}
	o.do(func(p *gather.Planner) []gather.Action { return p.CallDone(time.Now(), c.ID, how, results) })
}

// noteFailures writes one line for each way in which pieces of a call failed.
func (o *Owner) noteFailures(c gather.StartCall, results []gather.PieceResult) {
	counts := map[gather.PieceFailure]int{}
	for _, r := range results {
		counts[r.Failure]++
	}
	o.metrics.pieces("made", counts[gather.PieceOK])
	for failure, n := range counts {
		if failure != gather.PieceOK {
			o.metrics.pieces(pieceFailures[failure], n)
			telemetry.InfoS("Pieces not made", telemetry.Event{
				Target: c.Target.Incarnation, Address: c.Target.Address, Count: n, Reason: pieceFailures[failure],
			})
		}
	}
}

// pieceFailures names failures in logs.
var pieceFailures = map[gather.PieceFailure]string{
	gather.PieceLate:      "late",
	gather.PieceInputGone: "input_gone",
	gather.PieceNoRoom:    "no_room",
	gather.PieceFailed:    "failed",
}

// callOutcomes names outcomes in logs.
var callOutcomes = map[gather.CallOutcome]string{
	gather.CallAnswered:    "answered",
	gather.CallFull:        "target_full",
	gather.CallWrongTarget: "wrong_target",
	gather.CallLost:        "lost",
}

// exchange sends a call and reads its results.
func (o *Owner) exchange(c gather.StartCall) ([]gather.PieceResult, gather.CallOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := o.dialect.StageCall(c.Target.Address, c.Target.Name, c.Pieces, time.Now())
	if err != nil {
		return nil, gather.CallLost, err
	}
	reply, err := o.client.Do(ctx, c.Target.Address, request, forward.Options{Process: c.Target.Incarnation})
	if err != nil {
		return nil, gather.CallLost, err
	}
	defer reply.Close()
	said := o.dialect.ParseReply(reply.Status, reply.Header)
	body, err := io.ReadAll(io.LimitReader(reply, maxReply))
	switch {
	case said.WrongTarget:
		return nil, gather.CallWrongTarget, errors.Newf("status %d", reply.Status)
	case said.NotRun:
		return nil, gather.CallFull, errors.Newf("status %d", reply.Status)
	case err != nil:
		return nil, gather.CallLost, err
	case reply.Status != http.StatusOK:
		return nil, gather.CallLost, errors.Newf("status %d: %.100s", reply.Status, bytes.TrimSpace(body))
	}
	results, err := o.dialect.ParseStageReply(body)
	if err == nil && len(results) != len(c.Pieces) {
		err = errors.Newf("%d results for %d pieces", len(results), len(c.Pieces))
	}
	if err != nil {
		return nil, gather.CallLost, err
	}
	return results, gather.CallAnswered, nil
}
