package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodUnreachable reports that nothing listens at the address of an engine.
const methodUnreachable = "stages.gone"

// unreachableTimeout limits the time to send the report.
const unreachableTimeout = time.Second

// unreachableReport is the body of methodUnreachable.
type unreachableReport struct{ Pool, Engine string }

// ReportUnreachable reports to the holder that nothing listens at the address of an engine
// that it chose. It doesn't wait.
func (s *Stages) ReportUnreachable(holder, pool, engine string) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if holder == self.Address {
		s.queue.recordUnreachable(pool, engine)
		return
	}
	go s.sendUnreachable(holder, unreachableReport{pool, engine})
}

func (s *Stages) sendUnreachable(holder string, report unreachableReport) {
	body, err := encode(&report)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), unreachableTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, holder, methodUnreachable, body)
	}
	if err != nil && !errors.Is(err, peer.ErrNoMethod) {
		// Other requesters detect the unreachable engine as well.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of an engine that is gone", telemetry.Event{Peer: holder, Target: report.Engine})
	}
}

func (s *Stages) handleUnreachable(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var report unreachableReport
	if err := msgpack.Unmarshal(body, &report); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.recordUnreachable(report.Pool, report.Engine)
	return nil, nil
}

func (q *queue) recordUnreachable(pool, engine string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.engines.RecordUnreachable(time.Now(), pool, engine)
}
