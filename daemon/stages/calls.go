package stages

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// call carries out one stage call.
func (o *Owner) call(c gather.StartCall) {
	started, known := time.Now(), o.follower.TargetsAge()
	results, how, err := o.exchange(c)
	if how == gather.CallUnanswered && forward.EndedByPeer(err) && forward.NothingListens(context.Background(), c.Target.Address) {
		how = gather.CallTargetCrashed
	}
	if err != nil {
		telemetry.ErrorS(err, "Stage call failed", telemetry.Event{
			Target: c.Target.Incarnation, Address: c.Target.Address, Count: len(c.Pieces),
			Reason: callOutcomes[how], Elapsed: time.Since(started),
		})
	}
	telemetry.InfoS("Stage call ended", telemetry.Event{
		Target: c.Target.Incarnation, Pool: c.Service, Count: len(c.Pieces), Reason: callOutcomes[how], Elapsed: time.Since(started), KnowledgeAge: known,
	})
	o.metrics.call(callOutcomes[how], time.Since(started))
	o.noteFailures(c, results)
	if how == gather.CallWrongTarget {
		o.follower.Leaving(c.Target.Incarnation)
	}
	o.callEnded(c.ID, how, results)
	o.mu.Lock()
	o.running--
	o.mu.Unlock()
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
	gather.PieceDeadlineExceeded: "late",
	gather.PieceInputMissing:     "input_gone",
	gather.PieceNoCapacity:       "no_room",
	gather.PieceFailed:           "failed",
}

// callOutcomes names outcomes in logs.
var callOutcomes = map[gather.CallOutcome]string{
	gather.CallAnswered:      "answered",
	gather.CallTargetFull:    "target_full",
	gather.CallWrongTarget:   "wrong_target",
	gather.CallUnanswered:    "lost",
	gather.CallTargetCrashed: "crashed",
}

// useFree keeps the connections apart that free results: their answers say nothing by which
// one that belongs to a call for pieces could be told.
const useFree = "free"

// exchange sends a call and reads its results. A kept connection is in step, and kept on, if
// the answer has a result that is new; any other answer may be a second one to an earlier
// call, and the one that is due may follow it.
func (o *Owner) exchange(c gather.StartCall) ([]gather.PieceResult, gather.CallOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := o.dialect.NewStageRequest(c.Target.Address, c.Target.Name, c.Pieces, time.Now())
	if err != nil {
		return nil, gather.CallUnanswered, err
	}
	reply, err := o.client.Do(ctx, c.Target.Address, request, forward.Options{Process: c.Target.Incarnation})
	if err != nil {
		return nil, gather.CallUnanswered, err
	}
	inStep := !reply.Reused()
	defer func() {
		if !inStep {
			reply.Distrust()
		}
		reply.Close()
	}()
	said := o.dialect.ParseTargetResponse(reply.Status, reply.Header)
	body, err := io.ReadAll(io.LimitReader(reply, maxReply))
	switch {
	case said.WrongTarget:
		return nil, gather.CallWrongTarget, errors.Newf("status %d", reply.Status)
	case said.NotRun:
		return nil, gather.CallTargetFull, errors.Newf("status %d", reply.Status)
	case err != nil:
		return nil, gather.CallUnanswered, err
	case reply.Status != http.StatusOK:
		return nil, gather.CallUnanswered, errors.Newf("status %d: %.100s", reply.Status, bytes.TrimSpace(body))
	}
	results, err := o.dialect.ParseStageResponse(body)
	if err == nil && len(results) != len(c.Pieces) {
		err = errors.Newf("%d results for %d pieces", len(results), len(c.Pieces))
	}
	if err == nil && !o.answers.add(c.Target.Incarnation, results) {
		inStep, err = false, errRepeated
	}
	if err != nil {
		return nil, gather.CallUnanswered, err
	}
	inStep = inStep || firstHandle(results) != ""
	return results, gather.CallAnswered, nil
}
