package stages

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodCaches sends the known contents of the engines' caches to the next holder.
const methodCaches = "stages.known"

const (
	// partsPerMessage limits the parts of prompts in one message, to some 30 KB.
	partsPerMessage = 1000
	// cachesTimeout limits all messages of one handover together.
	cachesTimeout = time.Second
)

// sendCaches sends the known contents of the engines' caches to the instance that now holds
// the queue. Without them, all prompts that aren't cached by their home engine would be
// processed once more.
func (s *Stages) sendCaches(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), cachesTimeout)
	defer cancel()
	if s.placesByCost {
		defer s.sendRunning(ctx, address)
	}
	for _, message := range splitCaches(s.queue.caches()) {
		body, err := encode(message)
		if err == nil {
			_, err = s.cluster.Call(ctx, address, methodCaches, body)
		}
		if err != nil {
			telemetry.ErrorS(err, "Next holder of the stage queue was not told what engines have read", telemetry.Event{Address: address})
			return
		}
	}
}

// splitCaches splits caches into messages.
func splitCaches(caches []placing.EngineCache) [][]placing.EngineCache {
	var messages [][]placing.EngineCache
	free := 0
	for _, cache := range caches {
		for parts := range slices.Chunk(cache.Parts, partsPerMessage) {
			if len(parts) > free {
				messages, free = append(messages, nil), partsPerMessage
			}
			free -= len(parts)
			last := len(messages) - 1
			messages[last] = append(messages[last], placing.EngineCache{Pool: cache.Pool, Engine: cache.Engine, Parts: parts})
		}
	}
	return messages
}

func (s *Stages) handleCaches(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var caches []placing.EngineCache
	if err := msgpack.Unmarshal(body, &caches); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.mergeCaches(caches)
	return nil, nil
}

func (q *queue) caches() []placing.EngineCache {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.engines.Caches()
}

func (q *queue) mergeCaches(caches []placing.EngineCache) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.engines.MergeCaches(time.Now(), caches)
}

// recordPrefill records which prompt an engine processes by the choice of another holder, so
// that this instance knows the engine's cache if it holds the queue next.
func (q *queue) recordPrefill(prompt placing.Prompt, engine string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.engines.RecordPrefill(time.Now(), &prompt, engine)
}
