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
	_ = flags.Set("stderrthreshold", "FATAL") // can't fail: klog defines this flag
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// gossipBound is the time within which a record reaches all instances.
const gossipBound = 3 * time.Second

var (
	digest   = quarantine.DigestOf("host", "/path", "account", nil)
	suspects = quarantine.Suspects{Request: digest}
)

// fleet is a set of instances in one process whose calls take no time.
type fleet struct {
	mu        sync.Mutex
	instances map[string]*member
	calls     atomic.Int64
	// lossInterval is the number of calls of which one is lost; 0 means no loss.
	lossInterval int64
	// isolated is the address of an instance that can neither call others nor be called.
	isolated atomic.Pointer[string]
}

// member is one instance of a fleet.
type member struct {
	fleet    *fleet
	address  string
	handlers map[string]peer.Handler
	*Blocklist
}

var errUnreachable = errors.New("lost")

// newFleet starts n instances, each of which knows some others. One in lossInterval calls is
// lost; 0 means no loss.
func newFleet(ctx context.Context, n int, lossInterval int64) *fleet {
	f := &fleet{instances: map[string]*member{}, lossInterval: lossInterval}
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
	go func() { _ = m.Run(ctx) }() // returns nil when the context ends
	return m
}

func (m *member) Handle(method string, h peer.Handler, _ ...peer.HandleOption) {
	m.handlers[method] = h
}

func (m *member) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if n := m.fleet.calls.Add(1); m.fleet.lossInterval > 0 && n%m.fleet.lossInterval == 0 {
		return nil, errUnreachable
	}
	if isolated := m.fleet.isolated.Load(); isolated != nil && (*isolated == address || *isolated == m.address) {
		return nil, errUnreachable
	}
	m.fleet.mu.Lock()
	other := m.fleet.instances[address]
	m.fleet.mu.Unlock()
	return other.handlers[method](ctx, peer.Peer{}, body)
}

// View contains only the first instance, which thus decides on all trials.
func (m *member) View() *membership.View {
	return membership.New(membership.DefaultConfig(), membership.Member{Name: m.address, Address: "at-0"}, nil).View()
}

// Neighbours returns some instances before and after this one in a ring.
func (m *member) Neighbours() []string {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var n int
	_, _ = fmt.Sscanf(m.address, "at-%d", &n) // parses the form that add uses
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

// recordedCount returns the number of requests with records.
func (m *member) recordedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Len()
}

// runFleet runs a fleet in virtual time. All sleeps of these tests are in virtual time.
func runFleet(t *testing.T, n int, lossInterval int64, test func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		test(ctx, newFleet(ctx, n, lossInterval))
	})
}

// crash records n crashes of the request, one second apart, each at another instance.
func (f *fleet) crash(n int) {
	for i := range n {
		time.Sleep(time.Second)
		f.instances[fmt.Sprint("at-", i%len(f.instances))].RecordCrash(suspects, fmt.Sprint("target-", i))
	}
}

// blocked counts the instances that block the request.
func (f *fleet) blocked() int {
	n := 0
	for _, m := range f.instances {
		if m.Judge(suspects).State == quarantine.Blocked {
			n++
		}
	}
	return n
}

// Prevents instances from sending requests that others know to crash targets, in large fleets
// and if calls are lost.
func TestRecordsReachAllInstances(t *testing.T) {
	for _, size := range []int{2, 8, 60, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, 10, func(ctx context.Context, f *fleet) {
				f.crash(3)
				time.Sleep(gossipBound)
				require.Equal(t, size, f.blocked())
				f.instances["at-0"].RecordCompletion(suspects)
				time.Sleep(gossipBound)
				require.Zero(t, f.blocked())
			})
		})
	}
}

// Prevents the exchange from costing anything while no target crashes.
func TestNothingIsSentWithoutCrashes(t *testing.T) {
	runFleet(t, 8, 0, func(ctx context.Context, f *fleet) {
		time.Sleep(time.Minute)
		before := f.calls.Load()
		time.Sleep(time.Hour)
		require.Equal(t, before, f.calls.Load())
	})
}

// Prevents a new instance from serving requests before it has the records of the others.
func TestJoiningInstanceHasRecords(t *testing.T) {
	runFleet(t, 8, 0, func(ctx context.Context, f *fleet) {
		f.crash(3)
		time.Sleep(gossipBound)
		joined := f.add(ctx)
		joined.AwaitInitialSync(ctx)
		require.Equal(t, quarantine.Blocked, joined.Judge(suspects).State)
	})
}

// An instance that was isolated has missed all records and has none itself, so it doesn't
// request samples. It must receive the records once it is reachable again.
func TestIsolatedInstanceRecovers(t *testing.T) {
	runFleet(t, 8, 0, func(ctx context.Context, f *fleet) {
		isolated := "at-7"
		f.isolated.Store(&isolated)
		f.crash(3)
		time.Sleep(time.Minute)
		require.Equal(t, 0, f.instances[isolated].recordedCount())
		f.isolated.Store(nil)
		time.Sleep(gossipBound)
		require.Equal(t, 1, f.instances[isolated].recordedCount())
	})
}

// Prevents a block from never ending, and many runs from starting at once when it ends.
func TestBlockEndsAfterOneTrial(t *testing.T) {
	runFleet(t, 1, 0, func(ctx context.Context, f *fleet) {
		f.crash(3)
		only := f.instances["at-0"]
		require.Equal(t, quarantine.Blocked, only.Admit(ctx, suspects, time.Second).State)
		time.Sleep(quarantine.DefaultConfig().BlockPeriod)
		require.Equal(t, quarantine.OnTrial, only.Admit(ctx, suspects, time.Second).State)
		second := only.Admit(ctx, suspects, time.Second)
		require.Equal(t, quarantine.Blocked, second.State)
		require.Positive(t, second.Remaining, "the caller needs a delay after which to retry")
		only.RecordCompletion(suspects)
		require.Equal(t, quarantine.Allowed, only.Admit(ctx, suspects, time.Second).State)
	})
}

// Prevents a frequent request from causing a call to another instance each time.
func TestDeniedTrialIsNotRequestedAgainAtOnce(t *testing.T) {
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
		require.Equal(t, quarantine.OnTrial, m.Admit(t.Context(), suspects, time.Minute).State)
		for range 100 {
			require.Equal(t, quarantine.Blocked, m.Admit(t.Context(), suspects, time.Second).State)
		}
		require.Equal(t, int64(1), denied())
		time.Sleep(trialRetryInterval)
		m.Admit(t.Context(), suspects, time.Second)
		require.Equal(t, int64(2), denied())
	})
}

// Prevents a malformed message from making an instance fail or block a request.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	f := &fleet{instances: map[string]*member{}}
	m := &member{fleet: f, handlers: map[string]peer.Handler{}}
	m.Blocklist = New(m, quarantine.DefaultConfig(), tally.NoopScope)
	_, err := m.handlers[methodExchange](t.Context(), peer.Peer{}, []byte("none"))
	require.Error(t, err)
	_, err = m.handlers[methodTrial](t.Context(), peer.Peer{}, []byte("none"))
	require.Error(t, err)
	body, err := msgpack.Marshal(&exchangeMessage{Crashes: []crashMessage{
		{Digest: []byte("short"), Target: "a"}, {Digest: digest[:]}, {Digest: digest[:], Target: "a", AgeMillis: 1 << 31},
	}})
	require.NoError(t, err)
	_, err = m.handlers[methodExchange](t.Context(), peer.Peer{}, body)
	require.NoError(t, err)
	require.True(t, m.Empty())
}

// Operators must be able to see which requests are blocked.
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
		require.Equal(t, []entry{{Digest: digest.String(), State: "blocked", Crashes: 3, RemainingSeconds: 30}}, entries)
	})
}
