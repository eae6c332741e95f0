package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodGone is the method by which askers tell of an engine at whose address nothing
// listens.
const methodUnreachable = "stages.gone"

// goneTimeout bounds that word.
const unreachableTimeout = time.Second

// goneAsk is the body of methodGone.
type unreachableReport struct{ Pool, Engine string }

// EngineGone tells the holder that nothing listens at the address of an engine that it
// chose. It doesn't wait.
func (s *Stages) ReportUnreachable(owner, pool, engine string) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if owner == self.Address {
		s.queue.recordUnreachable(pool, engine)
		return
	}
	go s.sendUnreachable(owner, unreachableReport{pool, engine})
}

func (s *Stages) sendUnreachable(owner string, gone unreachableReport) {
	body, err := encode(&gone)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), unreachableTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, owner, methodUnreachable, body)
	}
	if err != nil && !errors.Is(err, peer.ErrNoMethod) {
		// Other askers find out as well.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of an engine that is gone", telemetry.Event{Peer: owner, Target: gone.Engine})
	}
}

func (s *Stages) handleUnreachable(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var gone unreachableReport
	if err := msgpack.Unmarshal(body, &gone); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.recordUnreachable(gone.Pool, gone.Engine)
	return nil, nil
}

func (o *queue) recordUnreachable(pool, engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines.RecordUnreachable(time.Now(), pool, engine)
}
