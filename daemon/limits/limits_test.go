package limits

import (
	"cmp"
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/targetlimit"
	"github.com/ivyhollow/ivyhollow/daemon/initialsync"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// fakeCluster is the connections of an instance to others, by address.
type fakeCluster struct {
	handler peer.Handler
	mu      sync.Mutex
	others  map[string]*instance
	// leaving are instances that answer and are no neighbours.
	leaving map[string]*instance
	calls   atomic.Int32
}

func (c *fakeCluster) AwaitPeer(context.Context) {}

func (c *fakeCluster) Neighbours() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.others))
}

// meet makes other instances known.
func (c *fakeCluster) meet(others map[string]*instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others = others
}

func (c *fakeCluster) Handle(_ string, h peer.Handler, _ ...peer.HandleOption) { c.handler = h }

func (c *fakeCluster) Call(ctx context.Context, address, _ string, body []byte) ([]byte, error) {
	c.calls.Add(1)
	c.mu.Lock()
	other := cmp.Or(c.others[address], c.leaving[address])
	c.mu.Unlock()
	if other == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return other.cluster.handler(ctx, peer.Peer{}, body)
}

// instance is Limits with what it has passed on.
type instance struct {
	*Limits
	cluster  fakeCluster
	gossiped []spread.Record
	limits   map[string]float64
}

func newInstance() *instance {
	i := &instance{}
	i.Limits = New(Options{
		Cluster:  &i.cluster,
		Gossip:   func(r spread.Record) { i.gossiped = append(i.gossiped, r) },
		OnChange: func(limits map[string]float64) { i.limits = limits },
		Scope:    tally.NoopScope,
	})
	return i
}

func named(perSecond float64) exchange.TargetResponse {
	return exchange.TargetResponse{Signed: true, Limit: targetlimit.Statement{Limited: true, PerSecond: perSecond}}
}

// Guards against a limit that the other instances don't learn, or that a response which isn't the
// target's own raises or ends.
func TestLimitReachesOtherInstances(t *testing.T) {
	a, b := newInstance(), newInstance()
	a.Observe("t", exchange.TargetResponse{Signed: true})
	require.Empty(t, a.gossiped)
	a.Observe("t", named(1.25))
	require.Len(t, a.gossiped, 1)
	b.Receive(a.gossiped[0])
	require.Equal(t, map[string]float64{"t": 1.25}, b.limits)
	require.Equal(t, a.limits, b.limits)

	wrongTarget, invalid := named(9), named(9)
	wrongTarget.WrongTarget, invalid.LimitInvalid = true, true
	for _, ignored := range []exchange.TargetResponse{wrongTarget, invalid, {}} {
		b.Observe("t", ignored)
	}
	b.Receive(spread.Record{Kind: RecordKind, Name: "t", Revision: 1 << 60, Body: []byte("many")})
	require.Equal(t, a.limits, b.limits)
	require.Empty(t, b.gossiped)
}

// Guards against an instance that serves before it knows the limits that others know: by a neighbour
// that has itself just started, one that is silent, or an answer that is cut.
func TestStartedInstanceReceivesAllLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		knows := newInstance()
		go func() { _ = knows.Run(ctx) }()
		time.Sleep(startPeriod)
		started := newInstance()
		var changes []targetlimit.Change
		for i := range 2*pageSize + 1 {
			changes = append(changes, targetlimit.Change{Target: fmt.Sprint("t", i), Revision: 1, Statement: named(float64(i + 1)).Limit})
		}
		knows.apply(changes...)
		started.cluster.others = map[string]*instance{"knows": knows}
		for i := range 4 {
			started.cluster.others[fmt.Sprint("starts", i)] = newInstance()
		}
		started.cluster.others["silent"] = nil
		go func() { _ = started.Run(ctx) }()
		require.False(t, started.Synced())
		started.AwaitInitialSync(ctx)
		require.Equal(t, knows.limits, started.limits)
	})
}

// Guards against an instance that reaches nobody at its start, as while all others stop, and grants sends
// to the first one that it comes to know without the limits which that one knows.
func TestInstanceThatReachedNobodyAsksLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		knows := newInstance()
		go func() { _ = knows.Run(ctx) }()
		time.Sleep(startPeriod)
		started := newInstance()
		knows.Observe("t", named(1))
		go func() { _ = started.Run(ctx) }()
		synctest.Wait()
		started.cluster.meet(map[string]*instance{"knows": knows})
		time.Sleep(initialsync.Timeout)
		synctest.Wait()
		require.Equal(t, knows.limits, started.limits)
	})
}

// Guards against an instance that has reached nobody and is handed the stage queue, or asked for a grant, by
// one that knows the limits.
func TestLimitsAreReceivedFromWhoIsGrantedASend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		knows := newInstance()
		time.Sleep(startPeriod)
		knows.Observe("t", named(1))
		started := newInstance()
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go func() { _ = started.Run(ctx) }()
		synctest.Wait()
		started.cluster.leaving = map[string]*instance{"knows": knows, "starts": newInstance()}
		started.AwaitFrom(ctx, "starts")
		started.AwaitFrom(ctx, "starts")
		require.EqualValues(t, 1, started.cluster.calls.Load())
		started.AwaitFrom(ctx, "knows")
		require.Equal(t, knows.limits, started.limits)
		started.AwaitFrom(ctx, "another")
		require.EqualValues(t, 2, started.cluster.calls.Load())
	})
}

// Guards against an instance that is never ready because it reaches no other one that can answer.
func TestSyncOfLimitsEnds(t *testing.T) {
	for name, others := range map[string]map[string]*instance{
		"alone":      nil,
		"silent":     {"a": nil, "b": nil, "c": nil, "d": nil},
		"all starts": {"a": newInstance()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				i, started := newInstance(), time.Now()
				i.cluster.others = others
				go func() { _ = i.Run(ctx) }()
				i.AwaitInitialSync(ctx)
				require.LessOrEqual(t, time.Since(started), initialsync.Timeout)
			})
		})
	}
}

// Guards against a build that can't read the limits that an instance of another build sends.
func TestBytesOfLimits(t *testing.T) {
	for name, c := range map[string]struct {
		message any
		want    string
	}{
		"request": {&listRequest{After: "a"}, "81a54166746572a161"},
		"response": {&listResponse{Synced: true, Changes: []changeMessage{{"t", 5, true, 1.5}}},
			"83a653796e636564c3a74368616e6765739184a174a174a172cf0000000000000005a16cc3a170cb3ff8000000000000a44d6f7265c2"},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := msgpack.Marshal(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
}
