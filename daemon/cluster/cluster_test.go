package cluster

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastConfig has intervals that are short enough for a test, and long compared with the
// delays of a busy machine.
var fastConfig = membership.Config{
	Period: 200 * time.Millisecond, ProbeTimeout: 60 * time.Millisecond,
	DeadProbeInterval: 200 * time.Millisecond, SyncInterval: time.Second,
}

type instance struct {
	*Cluster
	done    chan struct{}
	records chan spread.Record
}

// start runs an instance as an actor of a group until the test ends.
func start(t testing.TB, name string, incarnation uint64, listen string, change func(*Options), seeds ...string) *instance {
	i := &instance{done: make(chan struct{}), records: make(chan spread.Record, 64)}
	opts := Options{
		Membership:        fastConfig,
		Seeds:             seeds,
		Tick:              20 * time.Millisecond,
		ListRetryInterval: 200 * time.Millisecond,
		OnRecord:          func(r spread.Record) { i.records <- r },
		Transport: peer.Options{
			Cluster: "c", Listen: listen,
			Self: membership.Member{Name: name, DataCentre: "dc" + name[len(name)-1:], Incarnation: incarnation},
		},
	}
	if change != nil {
		change(&opts)
	}
	c, err := New(opts)
	require.NoError(t, err)
	i.Cluster = c
	c.Handle("whoami", func(context.Context, peer.Peer, []byte) ([]byte, error) { return []byte(name), nil }, peer.Idempotent())
	var g run.Group
	g.Add(c.Execute, c.Interrupt)
	go func() {
		defer close(i.done)
		if err := g.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(i.stop)
	return i
}

// stop ends an instance as a crash does, without notifying the others.
func (i *instance) stop() {
	i.Interrupt(nil)
	<-i.done
}

// await waits until a condition holds in the views of all instances. The timeout only
// ends a test that has failed.
func await(t testing.TB, instances []*instance, what string, met func(*membership.View) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, i := range instances {
		require.NoError(t, i.WaitView(ctx, met), "%s: %s sees %v", what, i.View().Self, i.View().Members)
	}
}

func hasLive(n int) func(*membership.View) bool {
	return func(v *membership.View) bool { return len(v.Live()) == n }
}

func hasState(name string, s membership.State) func(*membership.View) bool {
	return func(v *membership.View) bool { m, ok := v.Find(name); return ok && m.State == s }
}

// startMany runs n instances whose seed is the first one.
func startMany(t testing.TB, n int, change func(*Options)) []*instance {
	all := []*instance{start(t, "i000", 1, "127.0.0.1:0", change)}
	seed := all[0].Self().Address
	for k := 1; k < n; k++ {
		all = append(all, start(t, fmt.Sprintf("i%03d", k), 1, "127.0.0.1:0", change, seed))
	}
	return all
}

// Eight instances start. One is killed and restarted at its address, two leave. All other
// instances see each change, and calls, records and load digests reach every instance in
// between.
func TestClusterLifecycle(t *testing.T) {
	all := startMany(t, 8, nil)
	await(t, all, "all see all", hasLive(8))

	all[3].Put(spread.Record{Kind: "tiers", Name: "gold", Revision: 4, Body: []byte("x")})
	for _, i := range all {
		require.Equal(t, uint64(4), (<-i.records).Revision)
		i.SendDigest([]byte(i.Self().Name))
	}
	require.Eventually(t, func() bool { return len(all[5].Loads()) == 8 }, time.Minute, 5*time.Millisecond)
	for _, p := range all[0].Peers() {
		response, err := all[0].Call(t.Context(), p.Address, "whoami", nil)
		require.NoError(t, err)
		require.Equal(t, p.Name, string(response))
	}
	owners := all[0].Owners("account", 3)
	for _, i := range all {
		require.Equal(t, owners, i.Owners("account", 3))
	}

	killed := all[5].Self()
	all[5].stop()
	others := slices.Delete(slices.Clone(all), 5, 6)
	await(t, others, "the killed one is dead", hasState(killed.Name, membership.Dead))
	restarted := start(t, killed.Name, 2, killed.Address, nil, all[1].Self().Address)
	all = append(others, restarted)
	await(t, all, "the new incarnation is seen", func(v *membership.View) bool {
		m, _ := v.Find(killed.Name)
		return len(v.Live()) == 8 && m.Incarnation == 2 && v.RunEnded(killed.Name, 1)
	})
	require.Equal(t, uint64(4), (<-restarted.records).Revision, "the new incarnation gets the records from peers")

	require.NoError(t, all[2].Leave(t.Context()))
	leaver := all[2].Self().Name
	await(t, all, "the leaver has left", hasState(leaver, membership.Left))
	all[2].stop()
	others = slices.Delete(slices.Clone(all), 2, 3)
	require.NoError(t, others[0].Leave(t.Context()), "two instances stop in a row")
	await(t, others, "both have left", hasLive(6))
}

// relay is a TCP proxy in front of one instance. Its first connections, as many as muted
// says, no longer transfer anything, while later ones work. While cut is true, it closes
// each new connection.
type relay struct {
	listener net.Listener
	target   atomic.Value
	muted    atomic.Int64
	cut      atomic.Bool
	served   atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func newRelay(t *testing.T) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener}
	r.wg.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeAll()
		r.wg.Wait()
	})
	return r
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target.Load().(string))
		if err != nil || r.cut.Load() {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		id := r.served.Add(1)
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.wg.Go(func() { r.pipe(id, in, out) })
		r.wg.Go(func() { r.pipe(id, out, in) })
	}
}

func (r *relay) pipe(id int64, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		silent := id <= r.muted.Load()
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
		if !silent {
			_, _ = to.Write(buf[:n])
		}
	}
}

// All open connections to an instance stop transferring data, twice, while new ones work.
// No other instance declares it dead, and calls to it succeed.
func TestSilentConnections(t *testing.T) {
	r := newRelay(t)
	hidden := start(t, "i000", 1, "127.0.0.1:0", func(o *Options) { o.Transport.Self.Address = r.listener.Addr().String() })
	r.target.Store(hidden.node.ListenAddr())
	all := []*instance{hidden}
	for k := 1; k < 4; k++ {
		all = append(all, start(t, fmt.Sprintf("i%03d", k), 1, "127.0.0.1:0", nil, r.listener.Addr().String()))
	}
	await(t, all, "all see all", hasLive(4))
	for range 2 {
		before := r.served.Load()
		r.muted.Store(before)
		response, err := all[1].Call(t.Context(), r.listener.Addr().String(), "whoami", nil)
		require.NoError(t, err)
		require.Equal(t, "i000", string(response))
		require.Eventually(t, func() bool { return r.served.Load() >= before+3 }, time.Minute, 5*time.Millisecond,
			"all others open new connections")
	}
	await(t, all, "no instance is removed", hasLive(4))
	for _, i := range all {
		m, _ := i.View().Find("i000")
		require.Equal(t, uint64(1), m.Incarnation)
		require.True(t, m.Live())
	}
}

// The connections between two instances are cut for longer than the suspicion timeout, so
// that each declares the other dead. After the partition ends they find each other again
// without a seed.
func TestPartitionHeals(t *testing.T) {
	r := newRelay(t)
	hidden := start(t, "i000", 1, "127.0.0.1:0", func(o *Options) { o.Transport.Self.Address = r.listener.Addr().String() })
	r.target.Store(hidden.node.ListenAddr()) // it has no seed
	toOthers := newRelay(t)
	b := start(t, "i001", 1, "127.0.0.1:0", func(o *Options) {
		o.Transport.Self.Address = toOthers.listener.Addr().String()
		o.ListInterval, o.ListRetryInterval = time.Hour, time.Hour // the seed is used at the start only
	}, r.listener.Addr().String())
	toOthers.target.Store(b.node.ListenAddr())
	all := []*instance{hidden, b}
	await(t, all, "both see both", hasLive(2))
	for _, x := range []*relay{r, toOthers} {
		x.cut.Store(true)
		x.closeAll()
	}
	await(t, all, "each is alone", hasLive(1))
	r.cut.Store(false)
	await(t, all, "healed", hasLive(2))
}

// An instance joins the others although the platform responds slowly or fails at first.
// Ended instances in the platform's list don't enter the view.
func TestSeedsFromThePlatform(t *testing.T) {
	a := start(t, "i000", 1, "127.0.0.1:0", nil)
	var calls atomic.Int64
	b := start(t, "i001", 1, "127.0.0.1:0", func(o *Options) {
		o.ListInstances = func(context.Context) ([]membership.Member, error) {
			if calls.Add(1) < 3 {
				return nil, context.DeadlineExceeded
			}
			return []membership.Member{{Name: "gone", Address: "127.0.0.1:1", Incarnation: 7}, a.Self()}, nil
		}
	})
	await(t, []*instance{a, b}, "joined through the platform's list", hasLive(2))
	_, known := b.View().Find("gone")
	require.False(t, known)
	require.GreaterOrEqual(t, calls.Load(), int64(3))
}

// Prevents an instance from delaying its first requests until it knows a peer, although
// the platform lists only its own previous incarnation.
func TestLoneInstanceAwaitsNoPeer(t *testing.T) {
	alone := start(t, "i000", 2, "127.0.0.1:0", func(o *Options) {
		o.ListInstances = func(context.Context) ([]membership.Member, error) {
			return []membership.Member{{Name: "i000", Address: "127.0.0.1:1", Incarnation: 1}}, nil
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	alone.AwaitPeer(ctx)
	require.NoError(t, ctx.Err())
}

// AwaitPeer waits for an instance that the platform lists.
func TestInstanceAwaitsAPeer(t *testing.T) {
	a := start(t, "i000", 1, "127.0.0.1:0", nil)
	b := start(t, "i001", 1, "127.0.0.1:0", func(o *Options) {
		o.ListInstances = func(context.Context) ([]membership.Member, error) { return []membership.Member{a.Self()}, nil }
	})
	b.AwaitPeer(t.Context())
	require.Len(t, b.View().Live(), 2)
}

// BenchmarkCluster measures the bytes that an instance sends, and the processor time of the
// process per instance and period, with the default intervals, while all instances report
// their load.
func BenchmarkCluster(b *testing.B) {
	for _, n := range []int{8, 64} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			all := startMany(b, n, func(o *Options) {
				o.Membership, o.Tick = membership.Config{}, 0
				o.ListRetryInterval = 0
			})
			await(b, all, "all see all", hasLive(n))
			const periods = 15
			report := func() {
				for range periods {
					for _, i := range all {
						i.SendDigest(make([]byte, 40))
					}
					waitFor(time.Second)
				}
			}
			report() // until the membership updates of the start have been disseminated
			report()
			bytes, conns := totals(all)
			cpu := processorTime(b)
			for b.Loop() {
				report()
			}
			after, _ := totals(all)
			perNode := float64(n * periods * b.N)
			b.ReportMetric(float64(after-bytes)/perNode, "sent-B/node/s")
			b.ReportMetric(float64(processorTime(b)-cpu)/perNode, "cpu-ns/node/period")
			b.ReportMetric(float64(conns)/float64(n), "conns/node")
		})
	}
}

// waitFor waits in real time, for a measurement.
func waitFor(d time.Duration) { <-time.After(d) }

// totals sums the bytes sent and the connections.
func totals(all []*instance) (bytes int64, conns int) {
	for _, i := range all {
		s := i.Stats()
		bytes += s.BytesOut
		conns += s.Conns
	}
	return bytes, conns
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
