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
	minExchangeInterval = 100 * time.Millisecond
	// sampleEvery is the time between two exchanges of samples while there are records.
	sampleInterval = time.Second
	// joinWithin bounds the wait for another instance after the start. The first one is
	// known within some ways there and back.
	joinTimeout = 300 * time.Millisecond
	// joinAsks is how many neighbours an instance asks at its start.
	joinFanout = 3
	// fanout is how many neighbours get news in one round.
	fanout = 2
	// extraCopies, added to the natural logarithm of the number of instances, is how often
	// an instance passes a record on.
	extraCopies     = 4
	exchangeTimeout = time.Second
	// startSamples is how often an instance asks for samples after its start or after it
	// stood still, whether it has records or not.
	initialSamples = 5
	// stoodStill is the time between two rounds that tells of an instance which stood still.
	pauseThreshold = 3 * time.Second
)

// rounds are the state of the loop that sends records.
type exchangeState struct {
	// samples is how many samples are still asked for without records.
	samplesDue int
	// latest is when the latest round was, by the time of day, which goes on while an
	// instance is suspended; sampled is when it asked for a sample.
	lastExchange, lastSample time.Time
}

// AwaitHeard waits until this instance knows what others knew at its start, or the context
// ends. Whoever is alone knows all there is.
func (b *Blocklist) AwaitInitialSync(ctx context.Context) {
	select {
	case <-b.synced:
	case <-ctx.Done():
	}
}

// join asks neighbours for their records, and returns with the first answer or without any.
func (b *Blocklist) syncAtStart(ctx context.Context) {
	defer close(b.synced)
	known, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	b.cluster.AwaitPeer(known)
	peers := b.shuffledNeighbours()
	peers = peers[:min(joinFanout, len(peers))]
	answers := make(chan bool, len(peers))
	for _, address := range peers {
		go func() { answers <- b.exchangeWith(ctx, address, exchangeMessage{Ask: true}) }()
	}
	for range peers {
		if <-answers {
			return
		}
	}
}

// shuffled returns the neighbours in a random order.
func (b *Blocklist) shuffledNeighbours() []string {
	peers := b.cluster.Neighbours()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// Run exchanges records until ctx ends.
func (b *Blocklist) Run(ctx context.Context) error {
	b.syncAtStart(ctx)
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

// await waits for news, or until a sample may be due. It returns false at the end of ctx.
func (b *Blocklist) awaitNextExchange(ctx context.Context) bool {
	rest := time.NewTimer(minExchangeInterval)
	defer rest.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-rest.C:
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

// round sends news to a few neighbours, and exchanges samples with them if that is due.
func (b *Blocklist) exchangeWithNeighbours(ctx context.Context, now time.Time, r *exchangeState) {
	peers := b.shuffledNeighbours()
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

// message returns what a neighbour is told, and with sample also asked for.
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

// exchange tells another instance, and takes in what it answers. It tells whether it
// answered.
func (b *Blocklist) exchangeWith(running context.Context, address string, m exchangeMessage) bool {
	ctx, cancel := context.WithTimeout(running, exchangeTimeout)
	defer cancel()
	var answer exchangeMessage
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
	var m exchangeMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	var answer exchangeMessage
	if m.Ask {
		b.mu.Lock()
		answer.Crashes = encodeCrashes(b.table.Sample(time.Now(), maxSampleRecords))
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
	for _, m := range crashes[:min(len(crashes), maxGossipRecords+maxSampleRecords)] {
		c, ok := m.decode()
		if ok && b.table.Merge(now, c) {
			b.metrics.crashes[sourcePeer].Inc(1)
			b.recordChanged(now, c.Digest, sourcePeer, c.Target)
		}
	}
}
