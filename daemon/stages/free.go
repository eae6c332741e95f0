package stages

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

const (
	// freeTimeout limits a call that frees results. Results expire if it fails.
	freeTimeout = 500 * time.Millisecond
	// maxFreeCalls is how often results are tried to be freed if the call ends before it is sent. One
	// more call is enough after a stall of this instance.
	maxFreeCalls = 2
)

// free frees the collected results of a target.
func (q *queue) free(t gather.Target) {
	q.mu.Lock()
	collected, waits := q.pendingFree[t]
	delete(q.pendingFree, t)
	q.mu.Unlock()
	if !waits {
		return // freed early
	}
	handles := collected.Handles
	var err error
	for range maxFreeCalls {
		var request *http.Request
		if request, err = q.dialect.NewFreeRequest(t.Address, t.Name, handles); err != nil {
			klog.ErrorS(err, "Results could not be freed", "target", t.Incarnation, "count", len(handles))
			return
		}
		if err = q.sendFree(collected, request); !endedUnsent(err) {
			break
		}
	}
	if err != nil {
		// The results expire by themselves; until then their capacity is in use.
		telemetry.ErrorS(err, "Results were not freed", telemetry.Event{Target: t.Incarnation, Count: len(handles)})
	}
	q.apply(func(p *gather.Planner) []gather.Action { return p.FreeDone(time.Now(), handles) })
}

// sendFree sends a call that frees results.
func (q *queue) sendFree(f gather.FreeResults, request *http.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	reply, err := q.client.Do(ctx, f.Target.Address, request, forward.Options{
		Service: f.Service, MayProbe: true, Incarnation: f.Target.Incarnation, ConnGroup: freeConnGroup,
	})
	if err != nil {
		return err
	}
	defer reply.Close()
	_, err = io.Copy(io.Discard, reply)
	return err
}

// endedUnsent reports whether a call ran out of time before anything was sent. This instance may have
// been stalled for that long.
func endedUnsent(err error) bool {
	var failed *forward.Error
	return errors.As(err, &failed) && !failed.Sent && errors.Is(err, context.DeadlineExceeded)
}
