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

// runCall carries out a stage call.
func (q *queue) runCall(c gather.StartCall) {
	started, targetsAge := time.Now(), q.follower.TargetsAge()
	results, callOutcome, err := q.sendCall(c)
	if callOutcome == gather.CallUnanswered && forward.ClosedByPeer(err) && q.client.NothingListens(context.Background(), c.Target.Address) {
		callOutcome = gather.CallTargetCrashed
	}
	if err != nil {
		telemetry.ErrorS(err, "Stage call failed", telemetry.Event{
			Target: c.Target.Incarnation, Address: c.Target.Address, Count: len(c.Pieces),
			Reason: callOutcomeTexts[callOutcome], Elapsed: time.Since(started),
		})
	}
	telemetry.InfoS("Stage call ended", telemetry.Event{
		Target: c.Target.Incarnation, Pool: c.Service, Count: len(c.Pieces), Reason: callOutcomeTexts[callOutcome], Elapsed: time.Since(started), KnowledgeAge: targetsAge,
	})
	q.metrics.call(callOutcomeTexts[callOutcome], time.Since(started))
	q.recordFailures(c, results)
	if callOutcome == gather.CallWrongTarget {
		q.follower.Leaving(c.Target.Incarnation)
	}
	q.callEnded(c.ID, callOutcome, results)
	if errors.Is(err, forward.ErrPathLost) {
		q.forgetFailures(c.Service)
	}
	q.mu.Lock()
	q.runningCalls--
	q.mu.Unlock()
}

// recordFailures counts the pieces of a call by result, and logs each kind of failure.
func (q *queue) recordFailures(c gather.StartCall, results []gather.PieceResult) {
	counts := map[gather.PieceFailure]int{}
	for _, r := range results {
		counts[r.Failure]++
	}
	q.metrics.pieces("made", counts[gather.PieceOK])
	for failure, n := range counts {
		if failure != gather.PieceOK {
			q.metrics.pieces(pieceFailureTexts[failure], n)
			telemetry.InfoS("Pieces not made", telemetry.Event{
				Target: c.Target.Incarnation, Address: c.Target.Address, Count: n, Reason: pieceFailureTexts[failure],
			})
		}
	}
}

// pieceFailureTexts names failures in logs and metrics.
var pieceFailureTexts = map[gather.PieceFailure]string{
	gather.PieceDeadlineExceeded: "late",
	gather.PieceInputMissing:     "input_gone",
	gather.PieceNoCapacity:       "no_room",
	gather.PieceFailed:           "failed",
}

// callOutcomeTexts names outcomes in logs and metrics.
var callOutcomeTexts = map[gather.CallOutcome]string{
	gather.CallAnswered:      "answered",
	gather.CallTargetFull:    "target_full",
	gather.CallWrongTarget:   "wrong_target",
	gather.CallUnanswered:    "lost",
	gather.CallTargetCrashed: "crashed",
}

// freeConnGroup is the group of the connections on which results are freed. They are kept
// separate from the connections for stage calls, because nothing distinguishes a response to a
// free request from a response to a stage call.
const freeConnGroup = "free"

// sendCall sends a call and reads its results. A reused connection is kept only if the response
// contains a new result. Any other response may be a duplicate of the response to an earlier
// call, and the expected response may follow it on the connection.
func (q *queue) sendCall(c gather.StartCall) ([]gather.PieceResult, gather.CallOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := q.dialect.NewStageRequest(c.Target.Address, c.Target.Name, c.Pieces, time.Now())
	if err != nil {
		return nil, gather.CallUnanswered, err
	}
	reply, err := q.client.Do(ctx, c.Target.Address, request, forward.Options{
		Service: c.Service, EndIfLost: true,
		Incarnation: c.Target.Incarnation, Allowed: func() bool { return q.follower.Usable(c.Target.Incarnation) },
	})
	if errors.Is(err, forward.ErrWithdrawn) {
		return nil, gather.CallTargetFull, err
	}
	if err != nil {
		return nil, gather.CallUnanswered, err
	}
	keepConn := !reply.Reused()
	defer func() {
		if !keepConn {
			reply.DiscardConn()
		}
		reply.Close()
	}()
	parsed := q.dialect.ParseTargetResponse(reply.Status, reply.Header)
	if q.onResponse != nil {
		// A response to a stage call has no signature of its own.
		stated := parsed
		stated.Signed = stated.Signed || reply.Status == http.StatusOK
		q.onResponse(c.Target.Incarnation, stated)
	}
	body, err := io.ReadAll(io.LimitReader(reply, maxReply))
	switch {
	case parsed.WrongTarget:
		return nil, gather.CallWrongTarget, errors.Newf("status %d", reply.Status)
	case parsed.NotRun:
		return nil, gather.CallTargetFull, errors.Newf("status %d", reply.Status)
	case err != nil:
		return nil, gather.CallUnanswered, err
	case reply.Status != http.StatusOK:
		return nil, gather.CallUnanswered, errors.Newf("status %d: %.100s", reply.Status, bytes.TrimSpace(body))
	}
	results, err := q.dialect.ParseStageResponse(body)
	if err == nil && len(results) != len(c.Pieces) {
		err = errors.Newf("%d results for %d pieces", len(results), len(c.Pieces))
	}
	if err == nil && !q.responses.add(c.Target.Incarnation, results) {
		keepConn, err = false, errRepeatedResponse
	}
	if err != nil {
		return nil, gather.CallUnanswered, err
	}
	keepConn = keepConn || firstHandle(results) != ""
	return results, gather.CallAnswered, nil
}
