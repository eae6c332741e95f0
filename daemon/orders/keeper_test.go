package orders

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// fakeTarget obeys orders, at once unless a pause stands before the sending.
type fakeTarget struct {
	mu            sync.Mutex
	checksFencing bool
	load          targetapi.Load
	roles         []string
}

func (f *fakeTarget) execute(order targetapi.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFencing && order.Fencing < f.load.Fencing {
		return target.ErrFenced
	}
	f.load.Fencing = max(f.load.Fencing, order.Fencing)
	f.load.Role = order.Value
	f.roles = append(f.roles, order.Value)
	return nil
}

// link is how one keeper reaches the target.
type link struct {
	*fakeTarget
	// pauses holds an order back between the keeper's check and the sending.
	sendDelay time.Duration
	// loses drops the answer to an order that stays under way.
	losesResponse bool
}

func (l *link) Load(context.Context, string) (targetapi.Load, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load, nil
}

func (l *link) Order(_ context.Context, _ string, order targetapi.Order) (targetapi.Load, error) {
	time.Sleep(l.sendDelay)
	if l.losesResponse {
		l.recordRole(order)
		return targetapi.Load{}, &target.ControlError{Outcome: target.Unknown, Err: errors.New("lost")}
	}
	return targetapi.Load{}, l.execute(order)
}

func (f *fakeTarget) recordRole(order targetapi.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roles = append(f.roles, order.Value)
}

func (f *fakeTarget) set(role string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.Role = role
}

func (f *fakeTarget) role() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load.Role
}

func (f *fakeTarget) history() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.roles)
}

// keeper starts a keeper that wants one role; stop ends it.
func startController(t *testing.T, store *emulator.Store, name string, l *link, role string) (k *Controller, stop func()) {
	k = New(Options{
		Holder: name, Pool: "engines", Store: store.Local(name), Client: l, Now: time.Now,
		Members:       func() []Member { return []Member{{Incarnation: "t1", Address: "t1"}} },
		ChecksFencing: func() bool { return l.checksFencing },
	})
	require.NoError(t, k.SetDesired(Desired{Revision: 1, Role: role}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	return k, func() {
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	}
}

// Story: the holder checks its lease and is paused before it sends the order.
// Meanwhile it lapses, a successor takes over and gives its own order; then the
// late order leaves. A target that checks refuses it. A target that doesn't
// obeys it, since no wait can outlast a pause of unknown length; the successor
// reads back and repairs it within its next checks.
func TestPauseBetweenCheckAndSend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		checks bool
		roles  []string
	}{
		{"target checks the number", true, []string{"decode"}},
		{"target ignores the number", false, []string{"decode", "prefill", "decode"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.New(emulator.Options{})
				f := &fakeTarget{checksFencing: tc.checks, load: targetapi.Load{Incarnation: "t1"}}
				first, stopFirst := startController(t, store, "a", &link{fakeTarget: f, sendDelay: 90 * time.Second}, "prefill")
				time.Sleep(5 * time.Second)
				_, held := first.Held()
				require.True(t, held)
				store.SetFaults(emulator.Faults{Instances: []string{"a"}, Down: emulator.FailRefuse})

				second, stopSecond := startController(t, store, "b", &link{fakeTarget: f}, "decode")
				time.Sleep(20 * time.Second)
				_, held = first.Held()
				require.False(t, held, "the paused holder's lease has lapsed")
				number, held := second.Held()
				require.True(t, held)
				require.Equal(t, uint64(2), number)
				require.Equal(t, tc.checks, f.role() == "decode", "the successor waits only if it must")

				time.Sleep(time.Minute + 20*time.Second)
				require.Equal(t, "decode", f.role())
				require.Equal(t, tc.roles, f.history())
				stopFirst()
				stopSecond()
			})
		})
	}
}

// Story: the holder stops as planned. Its successor takes the lease without
// waiting, since no order is under way. When the answer to an order was lost
// instead, the lease is left to lapse and the successor waits the order out.
func TestPlannedStop(t *testing.T) {
	for _, loses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := emulator.New(emulator.Options{})
			f := &fakeTarget{load: targetapi.Load{Incarnation: "t1"}}
			_, stop := startController(t, store, "a", &link{fakeTarget: f, losesResponse: loses}, "prefill")
			time.Sleep(5 * time.Second)
			require.Equal(t, []string{"prefill"}, f.history(), "an order whose answer was lost isn't repeated at once")
			stop()
			_, stopSecond := startController(t, store, "b", &link{fakeTarget: f}, "decode")
			time.Sleep(6 * time.Second)
			require.Equal(t, !loses, f.role() == "decode")
			time.Sleep(time.Minute)
			require.Equal(t, "decode", f.role())
			stopSecond()
		})
	}
}

// Story: the store is down for longer than a term. The holder must give up by
// itself, give no order meanwhile, and come back when the store does.
func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{})
		f := &fakeTarget{checksFencing: true, load: targetapi.Load{Incarnation: "t1"}}
		k, stop := startController(t, store, "a", &link{fakeTarget: f}, "prefill")
		time.Sleep(5 * time.Second)
		require.Equal(t, "prefill", f.role())
		store.SetFaults(emulator.Faults{Down: emulator.FailSilence})
		time.Sleep(15 * time.Second)
		require.NoError(t, k.SetDesired(Desired{Revision: 2, Role: "decode"}))
		require.ErrorIs(t, k.SetDesired(Desired{Revision: 1, Role: "prefill"}), ErrStale)
		time.Sleep(time.Minute)
		_, held := k.Held()
		require.False(t, held)
		require.Equal(t, "prefill", f.role(), "no order without a lease")
		store.SetFaults(emulator.Faults{})
		time.Sleep(15 * time.Second)
		require.Equal(t, "decode", f.role())
		stop()
	})
}

// Story: the lease was removed from the store by hand, so its numbers begin
// again, while targets have seen higher ones. The holder takes a number above.
func TestHolderRisesAboveTheNumbersSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{})
		f := &fakeTarget{checksFencing: true, load: targetapi.Load{Incarnation: "t1", Fencing: 41}}
		k, stop := startController(t, store, "a", &link{fakeTarget: f}, "prefill")
		time.Sleep(20 * time.Second)
		number, _ := k.Held()
		require.Equal(t, uint64(42), number)
		require.Equal(t, "prefill", f.role())
		stop()
	})
}

// Story: two operators change the desired state of one pool at once. Both read
// revision 1; the second writer must see the conflict and the newer record.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{}).Local("operator")
		created, err := store.Create(t.Context(), platformapi.KindPools, platformapi.Object{
			Metadata: platformapi.Metadata{Name: "engines"}, Spec: []byte(`{"version":"1"}`),
		})
		require.NoError(t, err)
		first, second := *created, *created
		first.Spec, second.Spec = []byte(`{"version":"2"}`), []byte(`{"version":"3"}`)
		won, err := store.Update(t.Context(), platformapi.KindPools, first)
		require.NoError(t, err)
		_, err = store.Update(t.Context(), platformapi.KindPools, second)
		var conflict *platform.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, won.Metadata.Revision, conflict.Current.Metadata.Revision)
		require.JSONEq(t, `{"version":"2"}`, string(conflict.Current.Spec))
	})
}

func TestMissing(t *testing.T) {
	load := targetapi.Load{Models: []string{"m"}, Adapters: []string{"x"}, Version: "1", Role: "prefill"}
	require.Empty(t, Missing(load, Desired{}))
	require.Equal(t, []targetapi.Order{
		{Action: targetapi.ActionLoadModel, Value: "n"},
		{Action: targetapi.ActionLoadAdapter, Value: "y"},
		{Action: targetapi.ActionSetVersion, Value: "2"},
		{Action: targetapi.ActionSetRole, Value: "decode"},
	}, Missing(load, Desired{Models: []string{"m", "n"}, Adapters: []string{"y"}, Version: "2", Role: "decode"}))
}
