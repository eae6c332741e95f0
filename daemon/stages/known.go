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

// methodKnown is the method by which a holder tells the next what engines have read.
const methodCaches = "stages.known"

const (
	// knownPerMessage bounds the parts of prompts in one message: some 30 KB.
	partsPerMessage = 1000
	// knownTimeout bounds all messages of one hand-over together.
	cachesTimeout = time.Second
)

// tellKnown tells the instance that has the queue what engines have read. Without the
// word the prompts of all subjects that aren't at the engine of their hash are read
// once more.
func (s *Stages) sendCaches(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), cachesTimeout)
	defer cancel()
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

// splitKnown cuts what is known into messages.
func splitCaches(known []placing.EngineCache) [][]placing.EngineCache {
	var messages [][]placing.EngineCache
	left := 0
	for _, k := range known {
		for parts := range slices.Chunk(k.Parts, partsPerMessage) {
			if len(parts) > left {
				messages, left = append(messages, nil), partsPerMessage
			}
			left -= len(parts)
			last := len(messages) - 1
			messages[last] = append(messages[last], placing.EngineCache{Pool: k.Pool, Engine: k.Engine, Parts: parts})
		}
	}
	return messages
}

func (s *Stages) handleCaches(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var known []placing.EngineCache
	if err := msgpack.Unmarshal(body, &known); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.mergeCaches(known)
	return nil, nil
}

func (o *queue) caches() []placing.EngineCache {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.engines.Caches()
}

func (o *queue) mergeCaches(known []placing.EngineCache) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines.MergeCaches(time.Now(), known)
}

// noteRead notes what an engine reads by another holder's choice: should this instance
// hold the queue next, it knows that much.
func (o *queue) recordPrefill(prompt placing.Prompt, engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines.RecordPrefill(time.Now(), &prompt, engine)
}
