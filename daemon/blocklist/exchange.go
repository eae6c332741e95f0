package blocklist

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/daemon/initialsync"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodExchange is the method by which two instances exchange records.
const methodExchange = "quarantine.exchange"

// Intervals and limits of the exchange.
const (
	// minExchangeInterval is the minimum time between two exchanges.
	minExchangeInterval = 100 * time.Millisecond
	// sampleInterval is the time between two exchanges of samples while there are records.
	sampleInterval = time.Second
	// fanout is the maximum number of neighbours to which one exchange sends a message.
	fanout = 2
	// An instance sends each record as many times as extraCopies plus the natural
	// logarithm of the number of instances, rounded up.
	extraCopies     = 4
	exchangeTimeout = time.Second
	// initialSamples is how often an instance requests samples after its start or after
	// a pause, even if it has no records.
	initialSamples = 5
	// pauseThreshold is the time between two exchanges above which the instance is assumed
	// to have been paused.
	pauseThreshold = 3 * time.Second
)

// exchangeState is the state of the loop that exchanges records.
type exchangeState struct {
	// samplesDue is how many more samples are requested even without records.
	samplesDue int
	// lastExchange is the wall-clock time of the latest exchange: unlike the monotonic
	// clock, the wall clock advances while the instance is suspended. lastSample is the
	// time of the latest exchange of samples.
	lastExchange, lastSample time.Time
}

// AwaitInitialSync waits until this instance has received records from another one after its
// start. It returns earlier if the context ends, if no other instance is known in time, or
// if the requests to the others have all failed.
func (b *Blocklist) AwaitInitialSync(ctx context.Context) { b.initialSync.Await(ctx) }

// Run exchanges records until ctx ends.
func (b *Blocklist) Run(ctx context.Context) error {
	b.initialSync.Run(ctx, b.cluster, func(ctx context.Context, address string) bool {
		return b.exchangeWith(ctx, address, exchangeMessage{Ask: true})
	})
	r := exchangeState{samplesDue: initialSamples, lastExchange: time.Now().Round(0)}
	for b.awaitNextExchange(ctx) {
		now := time.Now()
		if now.Round(0).Sub(r.lastExchange) > pauseThreshold {
			r.samplesDue = initialSamples
		}
		r.lastExchange = now.Round(0)
		b.expire(now)
		b.exchangeWithNeighbours(ctx, now, &r)
	}
	return nil
}

// awaitNextExchange waits for at least minExchangeInterval, and then until there are records to
// send or a sample may be due. It returns false if ctx ends first.
func (b *Blocklist) awaitNextExchange(ctx context.Context) bool {
	pause := time.NewTimer(minExchangeInterval)
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-pause.C:
	}
	sample := time.NewTimer(sampleInterval - minExchangeInterval)
	defer sample.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-b.wake:
	case <-sample.C:
	}
	return true
}

// exchangeWithNeighbours gossips records to a few neighbours, and exchanges samples with them if
// that is due.
func (b *Blocklist) exchangeWithNeighbours(ctx context.Context, now time.Time, r *exchangeState) {
	peers := initialsync.ShuffledNeighbours(b.cluster)
	sample := now.Sub(r.lastSample) >= sampleInterval && (r.samplesDue > 0 || !b.Empty())
	for _, address := range peers[:min(fanout, len(peers))] {
		message := b.newMessage(now, sample)
		if len(message.Crashes) == 0 && !message.Ask {
			break
		}
		go b.exchangeWith(ctx, address, message)
	}
	if sample && len(peers) > 0 {
		r.lastSample = now
		r.samplesDue = max(r.samplesDue-1, 0)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.HasGossip() {
		b.signal()
	}
}

// newMessage returns the message for a neighbour. With sample it contains a sample and requests
// one.
func (b *Blocklist) newMessage(now time.Time, sample bool) exchangeMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := len(b.cluster.View().Live())
	copies := int(math.Ceil(math.Log(float64(max(size, 1))))) + extraCopies
	m := exchangeMessage{Ask: sample, Crashes: encodeCrashes(b.table.Gossip(now, maxGossipRecords, copies))}
	if sample {
		m.Crashes = append(m.Crashes, encodeCrashes(b.table.Sample(now, maxSampleRecords))...)
	}
	return m
}

// exchangeWith sends a message to another instance and merges the records of its response. It
// reports whether there was a response.
func (b *Blocklist) exchangeWith(parent context.Context, address string, m exchangeMessage) bool {
	ctx, cancel := context.WithTimeout(parent, exchangeTimeout)
	defer cancel()
	var response exchangeMessage
	body, err := msgpack.Marshal(&m)
	if err == nil {
		body, err = b.cluster.Call(ctx, address, methodExchange, body)
	}
	if err == nil {
		err = msgpack.Unmarshal(body, &response)
	}
	if err != nil {
		if !errors.Is(err, peer.ErrNoMethod) && parent.Err() == nil {
			telemetry.ErrorS(err, "Records of crashes were not exchanged", telemetry.Event{Peer: address})
		}
		return false
	}
	b.merge(response.Crashes)
	return true
}

func (b *Blocklist) handleExchange(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var m exchangeMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	var response exchangeMessage
	if m.Ask {
		b.mu.Lock()
		response.Crashes = encodeCrashes(b.table.Sample(time.Now(), maxSampleRecords))
		b.mu.Unlock()
	}
	b.merge(m.Crashes)
	return msgpack.Marshal(&response)
}

// merge adds records of another instance.
func (b *Blocklist) merge(crashes []crashMessage) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range crashes[:min(len(crashes), maxGossipRecords+maxSampleRecords)] {
		c, ok := m.decode()
		if ok && b.table.Merge(now, c) {
			b.metrics.crashes[sourcePeer].Inc(1)
			b.recordChanged(now, c.Digest, telemetry.Event{Reason: sourcePeer, Target: c.Target})
		}
	}
}
