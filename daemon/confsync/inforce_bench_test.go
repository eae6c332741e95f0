package confsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/cluster"
	"github.com/ivyhollow/ivyhollow/daemon/confsync"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/transport/peer"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	benchInstances = 8
	// waitLimit ends the wait for a change that does not come into force.
	waitLimit = 30 * time.Second
)

// benchFleet is a set of real clusters on the loopback interface and a platform over HTTP.
type benchFleet struct {
	b        *testing.B
	store    *emulator.Store
	url      string
	watchers int
	skip     float64
	nodes    []*benchNode
	created  int
}

type benchNode struct {
	fleet   *benchFleet
	name    string
	cluster *cluster.Cluster
	sync    *confsync.Sync
	stop    func()

	mu        sync.Mutex
	inForceAt map[int64]time.Time // when each deadline of tier gold came into force
	leavingAt map[int64]time.Time // when each target was reported as leaving
}

// skippingStore omits a random share of the events from watches.
type skippingStore struct {
	platform.Store
	share float64
}

func (s skippingStore) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	w, err := s.Store.Watch(ctx, kinds, from, wait)
	w.Events = slices.DeleteFunc(w.Events, func(platformapi.Event) bool { return rand.Float64() < s.share })
	return w, err
}

func newBenchFleet(b *testing.B, watchers int, skip float64) *benchFleet {
	store := emulator.New(emulator.Options{})
	server := httptest.NewServer(store.Handler())
	b.Cleanup(server.Close)
	f := &benchFleet{b: b, store: store, url: server.URL, watchers: watchers, skip: skip}
	_, err := store.Local("operator").Create(b.Context(), "tiers",
		platformapi.Object{Metadata: platformapi.Metadata{Name: "gold"}, Spec: json.RawMessage(tierSpec(1))})
	require.NoError(b, err)
	for range benchInstances {
		f.start()
	}
	f.awaitReady()
	return f
}

func (f *benchFleet) start() {
	n := &benchNode{fleet: f, name: fmt.Sprint("b", f.created), inForceAt: make(map[int64]time.Time), leavingAt: make(map[int64]time.Time)}
	f.created++
	var seeds []string
	for _, other := range f.nodes {
		seeds = append(seeds, other.cluster.Self().Address)
	}
	var err error
	n.cluster, err = cluster.New(cluster.Options{
		Transport: peer.Options{
			Cluster: "bench", Listen: "127.0.0.1:0",
			Self: membership.Member{Name: n.name, DataCentre: "a", Incarnation: uint64(time.Now().UnixNano())},
		},
		Membership: membership.DefaultConfig(), Gossip: spread.DefaultConfig(), Seeds: seeds,
		OnRecord: func(r spread.Record) { n.sync.Receive([]spread.Record{r}) },
	})
	require.NoError(f.b, err)
	store := skippingStore{platform.New(platform.Options{BaseURL: f.url, Instance: n.name}), f.skip}
	n.sync = confsync.New(confsync.Options{
		Store: store, Publisher: n, Peers: n, WatcherRank: n.rank, Scope: tally.NoopScope,
		OnSnapshot: n.onSnapshot, OnTargets: func([]platformapi.TargetEntry) {},
		OnLeaving: n.onLeaving,
	})
	n.cluster.Handle(configwire.MethodSnapshot, func(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
		return n.sync.HandleSnapshot(body)
	}, peer.Idempotent())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = n.cluster.Execute() })
	running.Go(func() { _ = n.sync.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		n.cluster.Interrupt(nil)
		running.Wait()
	})
	f.b.Cleanup(n.stop)
	f.nodes = append(f.nodes, n)
}

// awaitReady waits until all instances see each other and have a configuration.
func (f *benchFleet) awaitReady() {
	ctx, cancel := context.WithTimeout(f.b.Context(), waitLimit)
	defer cancel()
	for _, n := range f.nodes {
		require.NoError(f.b, n.cluster.WaitView(ctx, func(v *membership.View) bool { return len(v.Live()) == len(f.nodes) }))
		select {
		case <-n.sync.Ready():
		case <-ctx.Done():
			f.b.Fatal("not ready")
		}
	}
}

func (n *benchNode) rank() (int, bool) {
	for i, owner := range n.cluster.Owners("configuration-watchers", n.fleet.watchers) {
		if owner.Name == n.name {
			return i, true
		}
	}
	return 0, false
}

func (n *benchNode) Publish(records []spread.Record) {
	for _, r := range records {
		n.cluster.Put(r)
	}
}

func (n *benchNode) Call(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	member, _ := n.cluster.View().Find(name)
	return n.cluster.Call(ctx, member.Address, method, body)
}

func (n *benchNode) Others() []string {
	var names []string
	for _, m := range n.cluster.Peers() {
		names = append(names, m.Name)
	}
	return names
}

func (n *benchNode) onSnapshot(s *catalog.Snapshot) {
	now := time.Now()
	if tier, ok := s.Tier("gold"); ok {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.inForceAt[tier.Deadline.Milliseconds()] = now
	}
}

func (n *benchNode) onLeaving(incarnation string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var number int64
	if _, err := fmt.Sscanf(incarnation, "t%d", &number); err == nil {
		n.leavingAt[number] = time.Now()
	}
}

func (n *benchNode) timeOf(times map[int64]time.Time, key int64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := times[key]
	return at, ok
}

// watcher returns the live node with a rank.
func (f *benchFleet) watcher(rank int) *benchNode {
	for _, n := range f.nodes {
		if r, ok := n.rank(); ok && r == rank {
			return n
		}
	}
	return f.nodes[0]
}

// change writes a deadline and returns the time after the write.
func (f *benchFleet) change(deadline int64) time.Time {
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: "gold"}, Spec: json.RawMessage(tierSpec(int(deadline)))}
	_, err := f.store.Local("operator").Update(f.b.Context(), "tiers", object)
	require.NoError(f.b, err)
	return time.Now()
}

// slowest waits until all nodes have a time for a key and returns how long the last of
// them took.
func slowest(nodes []*benchNode, times func(*benchNode) map[int64]time.Time, key int64, begun time.Time) time.Duration {
	longest := time.Duration(0)
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for _, n := range nodes {
		at, ok := n.timeOf(times(n), key)
		for !ok && time.Since(begun) < waitLimit {
			<-poll.C
			at, ok = n.timeOf(times(n), key)
		}
		if !ok {
			return waitLimit
		}
		longest = max(longest, at.Sub(begun))
	}
	return longest
}

// randomPause waits a random time, so that changes come at any phase of the watches.
func randomPause(least time.Duration) { <-time.After(least + rand.N(time.Second)) }

// BenchmarkInForce measures the time from a write in the store until it is in
// force on the last of eight instances.
func BenchmarkInForce(b *testing.B) {
	watches := []emulator.CallKind{emulator.CallWatch}
	cases := []struct {
		name     string
		watchers int
		skip     float64
		// accounts is the number of accounts written before the measurement. Their
		// verdicts are still being written during it.
		accounts int
		// fault is called right after each write, recovery before the next one.
		fault, recovery func(f *benchFleet)
	}{
		{name: "few/no fault", watchers: confsync.Watchers},
		{name: "few/a thousand new records", watchers: confsync.Watchers, accounts: 1000},
		{name: "one/no fault", watchers: 1},
		{name: "all/no fault", watchers: benchInstances},
		{name: "few/a watch silent", watchers: confsync.Watchers, fault: func(f *benchFleet) {
			f.store.SetFaults(emulator.Faults{Instances: []string{f.watcher(0).name}, Calls: watches, Down: emulator.FailSilence})
		}},
		{name: "few/20% of events skipped", watchers: confsync.Watchers, skip: 0.2},
		{name: "one/20% of events skipped", watchers: 1, skip: 0.2},
		{name: "few/store down for the others", watchers: confsync.Watchers, fault: func(f *benchFleet) {
			var others []string
			kept := f.watcher(rand.IntN(confsync.Watchers))
			for _, n := range f.nodes {
				if n != kept {
					others = append(others, n.name)
				}
			}
			f.store.SetFaults(emulator.Faults{Instances: others, Down: emulator.FailRefuse})
		}, recovery: func(f *benchFleet) { f.store.SetFaults(emulator.Faults{}); randomPause(2 * time.Second) }},
		{name: "few/store down for all watchers", watchers: confsync.Watchers, fault: func(f *benchFleet) {
			watching := []string{f.watcher(0).name, f.watcher(1).name, f.watcher(2).name}
			f.store.SetFaults(emulator.Faults{Instances: watching, Down: emulator.FailRefuse})
		}, recovery: func(f *benchFleet) { f.store.SetFaults(emulator.Faults{}); randomPause(2 * time.Second) }},
		{name: "few/the writer killed", watchers: confsync.Watchers, fault: func(f *benchFleet) { f.kill(f.watcher(0)) },
			recovery: func(f *benchFleet) { f.start(); f.awaitReady() }},
		{name: "one/the writer killed", watchers: 1, fault: func(f *benchFleet) { f.kill(f.watcher(0)) },
			recovery: func(f *benchFleet) { f.start(); f.awaitReady() }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(b, c.watchers, c.skip)
			f.addAccounts(c.accounts)
			var durations []time.Duration
			calls, begun := f.store.Calls(), time.Now()
			deadline := int64(1)
			for b.Loop() {
				randomPause(0)
				deadline++
				written := f.change(deadline)
				if c.fault != nil {
					c.fault(f)
				}
				durations = append(durations, slowest(f.nodes, func(n *benchNode) map[int64]time.Time { return n.inForceAt }, deadline, written))
				if c.recovery != nil {
					c.recovery(f)
				}
			}
			report(b, durations)
			now, seconds := f.store.Calls(), time.Since(begun).Seconds()
			b.ReportMetric(float64(now.Reads-calls.Reads)/seconds, "reads/s")
			b.ReportMetric(float64(now.Watches-calls.Watches)/seconds, "watches/s")
		})
	}
}

// BenchmarkLeaving measures the time from the moment when one instance learns that a
// target is leaving until the last of the seven others knows it.
func BenchmarkLeaving(b *testing.B) {
	f := newBenchFleet(b, confsync.Watchers, 0)
	var durations []time.Duration
	number := int64(0)
	for b.Loop() {
		randomPause(0)
		number++
		leaver := rand.IntN(len(f.nodes))
		begun := time.Now()
		f.nodes[leaver].sync.MarkLeaving(fmt.Sprint("t", number))
		others := slices.Concat(f.nodes[:leaver], f.nodes[leaver+1:])
		durations = append(durations, slowest(others, func(n *benchNode) map[int64]time.Time { return n.leavingAt }, number, begun))
	}
	report(b, durations)
}

// addAccounts creates accounts as fast as the store accepts them.
func (f *benchFleet) addAccounts(n int) {
	operator := f.store.Local("operator")
	for i := range n {
		object := platformapi.Object{Metadata: platformapi.Metadata{Name: fmt.Sprint("a", i)}, Spec: json.RawMessage(accountSpec("gold", i+1))}
		_, err := operator.Create(f.b.Context(), "accounts", object)
		for ; err != nil; _, err = operator.Create(f.b.Context(), "accounts", object) {
			<-time.After(100 * time.Millisecond)
		}
	}
}

// kill stops a node without announcing it to the others.
func (f *benchFleet) kill(n *benchNode) {
	f.nodes = slices.DeleteFunc(f.nodes, func(other *benchNode) bool { return other == n })
	n.stop()
}

func report(b *testing.B, durations []time.Duration) {
	slices.Sort(durations)
	ms := func(share float64) float64 {
		return float64(durations[int(share*float64(len(durations)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.95), "p95-ms")
	b.ReportMetric(ms(1), "max-ms")
}
