package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// fleet is a set of targets that execute orders, by address.
type fleet struct {
	byAddress map[string]*fakeTarget
	reads     atomic.Int64
}

func newFleet(n int) *fleet {
	f := &fleet{byAddress: map[string]*fakeTarget{}}
	for i := range n {
		name := fmt.Sprint("t", i)
		f.byAddress[name] = &fakeTarget{checksFencing: true, load: targetapi.Load{Incarnation: name}}
	}
	return f
}

func (f *fleet) Load(ctx context.Context, address string) (targetapi.Load, error) {
	f.reads.Add(1)
	return (&link{fakeTarget: f.byAddress[address]}).Load(ctx, address)
}

func (f *fleet) Order(_ context.Context, address string, order targetapi.Order) (targetapi.Load, error) {
	time.Sleep(10 * time.Millisecond)
	return targetapi.Load{}, f.byAddress[address].execute(order)
}

func (f *fleet) members(string) []Member {
	var members []Member
	for name := range f.byAddress {
		members = append(members, Member{Incarnation: name, Address: name})
	}
	return members
}

func snapshotOf(revision uint64, role string, pools ...string) *catalog.Snapshot {
	s := &catalog.Snapshot{Pools: map[string]*catalog.Pool{}}
	for _, name := range pools {
		s.Pools[name] = &catalog.Pool{Name: name, Revision: revision, ChecksFencing: true, Desired: &catalog.DesiredState{Role: role}}
	}
	return s
}

// delayedResponses is a store that applies updates at once and responds with a delay.
type delayedResponses struct{ Store }

func (l delayedResponses) Update(ctx context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	stored, err := l.Store.Update(ctx, kind, o)
	select {
	case <-time.After(400 * time.Millisecond):
		return stored, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func startGroup(t *testing.T, store *emulator.Store, name string, f *fleet, s *atomic.Pointer[catalog.Snapshot], competes bool) (*Group, func()) {
	return startGroupAt(t, store.Local(name), name, f, s, func(string) bool { return competes })
}

// startGroupAt starts a group; stop ends it.
func startGroupAt(t *testing.T, store Store, name string, f *fleet, s *atomic.Pointer[catalog.Snapshot], competes func(pool string) bool) (g *Group, stop func()) {
	g = NewGroup(GroupOptions{
		Controller: Options{Holder: name, Store: store, Client: f, Now: time.Now},
		Snapshot:   s.Load, Members: f.members, Competes: competes,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	return g, func() {
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	}
}

func stateOf(t *testing.T, store *emulator.Store, pool string) (entry platformapi.OrdersEntry) {
	object, err := store.Local("operator").Get(t.Context(), platformapi.KindOrders, pool)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(object.Spec, &entry))
	return entry
}

// An operator changes a pool, then the holder stops as planned. If the lease were left to
// expire, the pool would get no orders for a term. The pool's state must be in the store,
// and an idle pool must cause no writes.
func TestPlannedStopReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f := emulator.New(emulator.Options{}), newFleet(3)
		var s atomic.Pointer[catalog.Snapshot]
		first, stopFirst := startGroup(t, store, "a", f, &s, true)
		time.Sleep(5 * time.Second)
		s.Store(snapshotOf(7, "prefill", "engines"))
		time.Sleep(5 * time.Second)
		require.Equal(t, platformapi.OrdersEntry{DesiredRevision: 7, Fencing: 1, Targets: 3, Complete: 3}, stateOf(t, store, "engines"))
		writes := store.Calls().Kinds[platformapi.KindOrders].Writes
		_, stopSecond := startGroup(t, store, "b", f, &s, true)
		time.Sleep(time.Minute)
		require.Equal(t, writes, store.Calls().Kinds[platformapi.KindOrders].Writes, "an idle pool causes no writes")
		require.NoError(t, first.ReleaseLeases(t.Context()))
		s.Store(snapshotOf(8, "decode", "engines"))
		time.Sleep(6 * time.Second)
		require.Equal(t, platformapi.OrdersEntry{DesiredRevision: 8, Fencing: 2, Targets: 3, Complete: 3}, stateOf(t, store, "engines"))
		f.byAddress["t1"].set("")
		time.Sleep(5 * time.Second)
		require.Equal(t, "decode", f.byAddress["t1"].role(), "a state that a target has lost is restored")
		stopFirst()
		stopSecond()
	})
}

// A planned stop comes at any moment, also while the store is slow to respond to a renewal.
// If the response were abandoned, the lease could not be released, and the pool would have
// no holder for a term.
func TestPlannedStopDuringARenewal(t *testing.T) {
	for offset := time.Duration(0); offset < lease.DefaultTiming.RenewInterval; offset += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store, f := emulator.New(emulator.Options{}), newFleet(1)
			var s atomic.Pointer[catalog.Snapshot]
			s.Store(snapshotOf(1, "decode", "engines"))
			g, stop := startGroupAt(t, delayedResponses{store.Local("a")}, "a", f, &s, func(string) bool { return true })
			time.Sleep(20*time.Second + offset)
			began := time.Now()
			require.NoError(t, g.ReleaseLeases(t.Context()))
			require.LessOrEqual(t, time.Since(began), 2*DefaultStoreTimeout)
			object, err := store.Local("operator").Get(t.Context(), platformapi.KindLeases, "engines")
			require.NoError(t, err)
			var r lease.Record
			require.NoError(t, json.Unmarshal(object.Spec, &r))
			require.Empty(t, r.Holder, "stopped %v after the start of a renewal interval", offset)
			stop()
		})
	}
}

// A pool's desired state is removed while an order whose response was lost is in progress, and
// soon set again. If the instance continued its old lease at once, it would send a second order
// concurrently with its own first one.
func TestControllerDoesNotContinueTheLeaseOfAnEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{})
		f := &fakeTarget{load: targetapi.Load{Incarnation: "t1"}}
		var s atomic.Pointer[catalog.Snapshot]
		s.Store(snapshotOf(1, "prefill", "engines"))
		s.Load().Pools["engines"].ChecksFencing = false
		g := NewGroup(GroupOptions{
			Controller: Options{Holder: "a", Store: store.Local("a"), Client: &link{fakeTarget: f, losesResponse: true}, Now: time.Now},
			Snapshot:   s.Load, Competes: func(string) bool { return true },
			Members: func(string) []Member { return []Member{{Incarnation: "t1", Address: "t1"}} },
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- g.Run(ctx) }()
		time.Sleep(5 * time.Second)
		require.Len(t, f.history(), 1)
		s.Store(snapshotOf(2, "prefill"))
		time.Sleep(2 * time.Second)
		again := snapshotOf(3, "prefill", "engines")
		again.Pools["engines"].ChecksFencing = false
		s.Store(again)
		time.Sleep(20 * time.Second)
		require.Len(t, f.history(), 1, "the first order may still be in progress")
		time.Sleep(40 * time.Second)
		require.Greater(t, len(f.history()), 1)
		cancel()
		<-ended
	})
}

// Hundreds of instances and targets are idle. If each instance competed for each lease, or
// the holder read all targets each time, the store and the network would be busy without
// need.
func TestCostOfAnIdlePool(t *testing.T) {
	pools := []string{"a", "b", "c", "d", "e", "f"}
	for _, instances := range []int{3, 440} {
		synctest.Test(t, func(t *testing.T) {
			store, f := emulator.New(emulator.Options{}), newFleet(40)
			var s atomic.Pointer[catalog.Snapshot]
			s.Store(snapshotOf(1, "decode", pools...))
			var stops []func()
			for i := range instances {
				_, stop := startGroup(t, store, fmt.Sprint("i", i), f, &s, i < 2)
				stops = append(stops, stop)
			}
			time.Sleep(time.Minute)
			before, read := store.Calls(), f.reads.Load()
			time.Sleep(time.Minute)
			after := store.Calls()
			leases, was := after.Kinds[platformapi.KindLeases], before.Kinds[platformapi.KindLeases]
			writes, reads := leases.Writes-was.Writes, leases.Reads-was.Reads
			t.Logf("%d instances, 6 pools: %d writes and %d reads of leases a minute", instances, writes, reads)
			require.LessOrEqual(t, int(writes), len(pools)*21)
			require.LessOrEqual(t, int(reads), len(pools)*21)
			require.Equal(t, before.Kinds[platformapi.KindOrders], after.Kinds[platformapi.KindOrders])
			passes := int64(time.Minute/DefaultCheckInterval) + 1
			require.LessOrEqual(t, f.reads.Load()-read, int64(len(pools)*maxRechecksPerPass)*passes)
			for _, stop := range stops {
				stop()
			}
		})
	}
}

// Seven pools load weights at once. Their shares of the weight store's rate limit must not
// add up to more than the limit, and each pool must have at least one slot.
func TestSharesOfTheWeightStore(t *testing.T) {
	var s atomic.Pointer[catalog.Snapshot]
	g := NewGroup(GroupOptions{Snapshot: s.Load})
	for _, tc := range []struct {
		pools []string
		want  int
	}{{nil, 8}, {[]string{"a"}, 8}, {[]string{"a", "b", "c"}, 2}, {[]string{"a", "b", "c", "d", "e", "f", "g"}, 1}} {
		s.Store(snapshotOf(1, "decode", tc.pools...))
		require.Equal(t, tc.want, g.downloadSlots())
		require.LessOrEqual(t, g.downloadSlots()*len(tc.pools), DefaultWeightSlots)
	}
}
