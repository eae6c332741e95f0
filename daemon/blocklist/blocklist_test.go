package blocklist

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

func TestMain(m *testing.M) {
	flags := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(flags)
	_ = flags.Set("stderrthreshold", "FATAL") // a flag of klog's own
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// heardWithin is the bound of news among instances.
const heardWithin = 3 * time.Second

var digest = quarantine.DigestOf("host", "/path", "account", nil)

// fleet are instances in one process whose calls take no time.
type fleet struct {
	mu        sync.Mutex
	instances map[string]*member
	calls     atomic.Int64
	// lost is one in how many calls is lost; 0 for none.
	lost int64
	// cut is the address of an instance that no call reaches or leaves.
	cut atomic.Pointer[string]
}

// member is one instance of a fleet.
type member struct {
	fleet    *fleet
	address  string
	handlers map[string]peer.Handler
	*Blocklist
}

var errLost = errors.New("lost")

// newFleet starts so many instances, each of which knows some others. One in lost calls is
// lost; 0 for none.
func newFleet(ctx context.Context, n int, lost int64) *fleet {
	f := &fleet{instances: map[string]*member{}, lost: lost}
	for range n {
		f.add(ctx)
	}
	return f
}

func (f *fleet) add(ctx context.Context) *member {
	f.mu.Lock()
	m := &member{fleet: f, address: fmt.Sprint("at-", len(f.instances)), handlers: map[string]peer.Handler{}}
	m.Blocklist = New(m, quarantine.DefaultConfig(), tally.NoopScope)
	f.instances[m.address] = m
	f.mu.Unlock()
	go func() { _ = m.Run(ctx) }() // it ends with the context
	return m
}

func (m *member) Handle(method string, h peer.Handler, _ ...peer.HandleOption) {
	m.handlers[method] = h
}

func (m *member) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if n := m.fleet.calls.Add(1); m.fleet.lost > 0 && n%m.fleet.lost == 0 {
		return nil, errLost
	}
	if cut := m.fleet.cut.Load(); cut != nil && (*cut == address || *cut == m.address) {
		return nil, errLost
	}
	m.fleet.mu.Lock()
	other := m.fleet.instances[address]
	m.fleet.mu.Unlock()
	return other.handlers[method](ctx, peer.Peer{}, body)
}

// View is of the first instance alone, which so decides on all trials.
func (m *member) View() *membership.View {
	return membership.New(membership.DefaultConfig(), membership.Member{Name: m.address, Address: "at-0"}, nil).View()
}

// Neighbours are some instances before and behind this one in a ring.
func (m *member) Neighbours() []string {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var n int
	_, _ = fmt.Sscanf(m.address, "at-%d", &n) // its own form
	size := len(m.fleet.instances)
	near := map[int]bool{}
	for i := 1; i <= 5; i++ {
		step := i * i * i % size
		near[(n+step)%size], near[(n+size-step)%size] = true, true
	}
	delete(near, n)
	var addresses []string
	for other := range near {
		addresses = append(addresses, fmt.Sprint("at-", other))
	}
	return addresses
}

func (m *member) AwaitPeer(context.Context) {}

// playFleet plays a fleet in virtual time, in which all sleeps of these tests are.
func playFleet(t *testing.T, n int, lost int64, play func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		play(ctx, newFleet(ctx, n, lost))
	})
}

// crash records so many crashes of the request, a second apart, each at another instance.
func (f *fleet) crash(n int) {
	for i := range n {
		time.Sleep(time.Second)
		f.instances[fmt.Sprint("at-", i%len(f.instances))].RecordCrash(digest, fmt.Sprint("target-", i))
	}
}

// blocked counts the instances that refuse the request.
func (f *fleet) blocked() int {
	n := 0
	for _, m := range f.instances {
		if m.Judge(digest).State == quarantine.Blocked {
			n++
		}
	}
	return n
}

// TestNewsReachesAllInstances guards against instances that send on what others know to
// crash targets, in large fleets and where calls are lost.
func TestNewsReachesAllInstances(t *testing.T) {
	for _, size := range []int{2, 8, 60, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playFleet(t, size, 10, func(ctx context.Context, f *fleet) {
				f.crash(3)
				time.Sleep(heardWithin)
				require.Equal(t, size, f.blocked())
				f.instances["at-0"].RecordCompletion(digest)
				time.Sleep(heardWithin)
				require.Zero(t, f.blocked())
			})
		})
	}
}

// TestNothingIsSentWithoutCrashes guards against a cost where no target crashes.
func TestNothingIsSentWithoutCrashes(t *testing.T) {
	playFleet(t, 8, 0, func(ctx context.Context, f *fleet) {
		time.Sleep(time.Minute)
		before := f.calls.Load()
		time.Sleep(time.Hour)
		require.Equal(t, before, f.calls.Load())
	})
}

// TestInstanceThatJoinsHasHeard guards against an instance that serves its first requests
// before it knows what the others refuse.
func TestInstanceThatJoinsHasHeard(t *testing.T) {
	playFleet(t, 8, 0, func(ctx context.Context, f *fleet) {
		f.crash(3)
		time.Sleep(heardWithin)
		joined := f.add(ctx)
		joined.AwaitHeard(ctx)
		require.Equal(t, quarantine.Blocked, joined.Judge(digest).State)
	})
}

// TestInstanceThatWasCutOffHears guards against an instance that missed all news, and knows
// of nothing to ask for.
func TestInstanceThatWasCutOffHears(t *testing.T) {
	playFleet(t, 8, 0, func(ctx context.Context, f *fleet) {
		cut := "at-7"
		f.cut.Store(&cut)
		f.crash(3)
		time.Sleep(time.Minute)
		require.Equal(t, 0, f.instances[cut].table.Len())
		f.cut.Store(nil)
		time.Sleep(heardWithin)
		require.Equal(t, 1, f.instances[cut].table.Len())
	})
}

// TestBlockEndsByOneRun guards against a block that never ends, and against many runs at
// once as it ends.
func TestBlockEndsByOneRun(t *testing.T) {
	playFleet(t, 1, 0, func(ctx context.Context, f *fleet) {
		f.crash(3)
		only := f.instances["at-0"]
		require.Equal(t, quarantine.Blocked, only.Admit(ctx, digest, time.Second).State)
		time.Sleep(quarantine.DefaultConfig().BlockPeriod)
		require.Equal(t, quarantine.OnTrial, only.Admit(ctx, digest, time.Second).State)
		second := only.Admit(ctx, digest, time.Second)
		require.Equal(t, quarantine.Blocked, second.State)
		require.Positive(t, second.Remaining, "its caller is told when to come back")
		only.RecordCompletion(digest)
		require.Equal(t, quarantine.Allowed, only.Admit(ctx, digest, time.Second).State)
	})
}

// TestDeniedTrialIsNotAskedForEachTime guards against a question to another instance for
// each request of a kind that comes often.
func TestDeniedTrialIsNotAskedForEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		f := &fleet{instances: map[string]*member{}}
		m := &member{fleet: f, address: "at-0", handlers: map[string]peer.Handler{}}
		m.Blocklist = New(m, quarantine.DefaultConfig(), scope)
		f.instances[m.address] = m
		denied := func() int64 {
			return scope.Snapshot().Counters()["quarantine.trials+outcome="+trialDenied].Value()
		}
		f.crash(3)
		time.Sleep(quarantine.DefaultConfig().BlockPeriod)
		require.Equal(t, quarantine.OnTrial, m.Admit(t.Context(), digest, time.Minute).State)
		for range 100 {
			require.Equal(t, quarantine.Blocked, m.Admit(t.Context(), digest, time.Second).State)
		}
		require.Equal(t, int64(1), denied())
		time.Sleep(askAgain)
		m.Admit(t.Context(), digest, time.Second)
		require.Equal(t, int64(2), denied())
	})
}

// TestMalformedRecordsAreIgnored guards against an instance that another one makes block
// a request, or fail, by a message that is none.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	f := &fleet{instances: map[string]*member{}}
	m := &member{fleet: f, handlers: map[string]peer.Handler{}}
	m.Blocklist = New(m, quarantine.DefaultConfig(), tally.NoopScope)
	_, err := m.handlers[methodExchange](t.Context(), peer.Peer{}, []byte("none"))
	require.Error(t, err)
	_, err = m.handlers[methodTrial](t.Context(), peer.Peer{}, []byte("none"))
	require.Error(t, err)
	body, err := msgpack.Marshal(&exchange{Crashes: []crashMessage{
		{Digest: []byte("short"), Target: "a"}, {Digest: digest[:]}, {Digest: digest[:], Target: "a", AgeMillis: 1 << 31},
	}})
	require.NoError(t, err)
	_, err = m.handlers[methodExchange](t.Context(), peer.Peer{}, body)
	require.NoError(t, err)
	require.True(t, m.Empty())
}

// TestBlockedRequestsAreListed guards against an operator who can't see what is refused.
func TestBlockedRequestsAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{instances: map[string]*member{}}
		m := &member{fleet: f, handlers: map[string]peer.Handler{}}
		m.Blocklist = New(m, quarantine.DefaultConfig(), tally.NoopScope)
		f.instances["at-0"] = m
		f.crash(3)
		w := httptest.NewRecorder()
		m.ServeHTTP(w, httptest.NewRequest("GET", "/quarantine", nil))
		var entries []entry
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &entries))
		require.Equal(t, []entry{{Digest: digest.String(), State: "blocked", Crashes: 3, LeftSeconds: 30}}, entries)
	})
}
