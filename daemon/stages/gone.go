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
const methodGone = "stages.gone"

// goneTimeout bounds that word.
const goneTimeout = time.Second

// goneAsk is the body of methodGone.
type goneAsk struct{ Pool, Engine string }

// EngineGone tells the holder that nothing listens at the address of an engine that it
// chose. It doesn't wait.
func (s *Stages) EngineGone(owner, pool, engine string) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if owner == self.Address {
		s.owner.engineGone(pool, engine)
		return
	}
	go s.tellGone(owner, goneAsk{pool, engine})
}

func (s *Stages) tellGone(owner string, gone goneAsk) {
	body, err := encode(&gone)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, owner, methodGone, body)
	}
	if err != nil && !errors.Is(err, peer.ErrNoMethod) {
		// Other askers find out as well.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of an engine that is gone", telemetry.Event{Peer: owner, Target: gone.Engine})
	}
}

func (s *Stages) handleGone(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var gone goneAsk
	if err := msgpack.Unmarshal(body, &gone); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.owner.engineGone(gone.Pool, gone.Engine)
	return nil, nil
}

func (o *Owner) engineGone(pool, engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines.RecordUnreachable(time.Now(), pool, engine)
}
