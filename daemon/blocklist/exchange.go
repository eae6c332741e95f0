package blocklist

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodExchange is the method by which two instances exchange records.
const methodExchange = "quarantine.exchange"

// Times and bounds of the exchange.
const (
	// roundEvery is the least time between two rounds.
	roundEvery = 100 * time.Millisecond
	// sampleEvery is the time between two exchanges of samples while there are records.
	sampleEvery = time.Second
	// joinWithin bounds the wait for another instance after the start. The first one is
	// known within some ways there and back.
	joinWithin = 300 * time.Millisecond
	// joinAsks is how many neighbours an instance asks at its start.
	joinAsks = 3
	// fanout is how many neighbours get news in one round.
	fanout = 2
	// extraCopies, added to the natural logarithm of the number of instances, is how often
	// an instance passes a record on.
	extraCopies     = 4
	exchangeTimeout = time.Second
	// startSamples is how often an instance asks for samples after its start or after it
	// stood still, whether it has records or not.
	startSamples = 5
	// stoodStill is the time between two rounds that tells of an instance which stood still.
	stoodStill = 3 * time.Second
)

// rounds are the state of the loop that sends records.
type rounds struct {
	// samples is how many samples are still asked for without records.
	samples int
	// latest is when the latest round was, by the time of day, which goes on while an
	// instance is suspended; sampled is when it asked for a sample.
	latest, sampled time.Time
}

// AwaitHeard waits until this instance knows what others knew at its start, or the context
// ends. Whoever is alone knows all there is.
func (b *Blocklist) AwaitHeard(ctx context.Context) {
	select {
	case <-b.heard:
	case <-ctx.Done():
	}
}

// join asks neighbours for their records, and returns with the first answer or without any.
func (b *Blocklist) join(ctx context.Context) {
	defer close(b.heard)
	known, cancel := context.WithTimeout(ctx, joinWithin)
	defer cancel()
	b.cluster.AwaitPeer(known)
	peers := b.shuffled()
	peers = peers[:min(joinAsks, len(peers))]
	answers := make(chan bool, len(peers))
	for _, address := range peers {
		go func() { answers <- b.exchange(ctx, address, exchange{Ask: true}) }()
	}
	for range peers {
		if <-answers {
			return
		}
	}
}

// shuffled returns the neighbours in a random order.
func (b *Blocklist) shuffled() []string {
	peers := b.cluster.Neighbours()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// Run exchanges records until ctx ends.
func (b *Blocklist) Run(ctx context.Context) error {
	b.join(ctx)
	r := rounds{samples: startSamples, latest: time.Now().Round(0)}
	for b.await(ctx) {
		now := time.Now()
		if now.Round(0).Sub(r.latest) > stoodStill {
			r.samples = startSamples
		}
		r.latest = now.Round(0)
		b.expire(now)
		b.round(ctx, now, &r)
	}
	return nil
}

// await waits for news, or until a sample may be due. It returns false at the end of ctx.
func (b *Blocklist) await(ctx context.Context) bool {
	rest := time.NewTimer(roundEvery)
	defer rest.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-rest.C:
	}
	sample := time.NewTimer(sampleEvery - roundEvery)
	defer sample.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-b.wake:
	case <-sample.C:
	}
	return true
}

// round sends news to a few neighbours, and exchanges samples with them if that is due.
func (b *Blocklist) round(ctx context.Context, now time.Time, r *rounds) {
	peers := b.shuffled()
	sample := now.Sub(r.sampled) >= sampleEvery && (r.samples > 0 || !b.Empty())
	for _, address := range peers[:min(fanout, len(peers))] {
		message := b.message(now, sample)
		if len(message.Crashes) == 0 && !message.Ask {
			break
		}
		go b.exchange(ctx, address, message)
	}
	if sample && len(peers) > 0 {
		r.sampled = now
		r.samples = max(r.samples-1, 0)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.HasGossip() {
		b.signal()
	}
}

// message returns what a neighbour is told, and with sample also asked for.
func (b *Blocklist) message(now time.Time, sample bool) exchange {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := len(b.cluster.View().Live())
	copies := int(math.Ceil(math.Log(float64(max(size, 1))))) + extraCopies
	m := exchange{Ask: sample, Crashes: encodeCrashes(b.table.Gossip(now, newsPerMessage, copies))}
	if sample {
		m.Crashes = append(m.Crashes, encodeCrashes(b.table.Sample(now, samplePerMessage))...)
	}
	return m
}

// exchange tells another instance, and takes in what it answers. It tells whether it
// answered.
func (b *Blocklist) exchange(running context.Context, address string, m exchange) bool {
	ctx, cancel := context.WithTimeout(running, exchangeTimeout)
	defer cancel()
	var answer exchange
	body, err := msgpack.Marshal(&m)
	if err == nil {
		body, err = b.cluster.Call(ctx, address, methodExchange, body)
	}
	if err == nil {
		err = msgpack.Unmarshal(body, &answer)
	}
	if err != nil {
		if !errors.Is(err, peer.ErrNoMethod) && running.Err() == nil {
			telemetry.ErrorS(err, "Records of crashes were not exchanged", telemetry.Event{Peer: address})
		}
		return false
	}
	b.merge(answer.Crashes)
	return true
}

func (b *Blocklist) handleExchange(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var m exchange
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	var answer exchange
	if m.Ask {
		b.mu.Lock()
		answer.Crashes = encodeCrashes(b.table.Sample(time.Now(), samplePerMessage))
		b.mu.Unlock()
	}
	b.merge(m.Crashes)
	return msgpack.Marshal(&answer)
}

// merge takes in records of another instance.
func (b *Blocklist) merge(crashes []crashMessage) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range crashes[:min(len(crashes), newsPerMessage+samplePerMessage)] {
		c, ok := m.decode()
		if ok && b.table.Merge(now, c) {
			b.metrics.crashes[sourcePeer].Inc(1)
			b.changed(now, c.Digest, sourcePeer, c.Target)
		}
	}
}
