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

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// fakeTarget executes orders without delay.
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

// link is one controller's connection to the target.
type link struct {
	*fakeTarget
	// sendDelay delays an order between the controller's check and the sending.
	sendDelay time.Duration
	// losesResponse drops the response to an order that stays in progress.
	losesResponse bool
	// responseDelay is the time until a response that gets lost is given up.
	responseDelay time.Duration
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
		time.Sleep(l.responseDelay)
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

// startController starts a controller that desires one role; stop ends it.
func startController(t *testing.T, store *emulator.Store, name string, l *link, role string) (c *Controller, stop func()) {
	c = New(Options{
		Holder: name, Pool: "engines", Store: store.Local(name), Client: l, Now: time.Now,
		Members:       func() []Member { return []Member{{Incarnation: "t1", Address: "t1"}} },
		ChecksFencing: func() bool { return l.checksFencing },
	})
	require.NoError(t, c.SetDesired(Desired{Revision: 1, Role: role}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	return c, func() {
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	}
}

// The holder checks its lease and is paused before it sends the order. Meanwhile the lease
// expires, a successor acquires it and sends its own order; then the delayed order is sent.
// A target that checks the fencing number refuses it. Another target executes it, since no
// wait is longer than every pause; the successor detects and corrects that in its next
// comparisons.
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
				require.False(t, held, "the paused holder's lease has expired")
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

// The holder stops as planned. Its successor must acquire the lease without waiting, since
// no order is in progress. If the response to an order was lost, the lease must be left to
// expire, and the successor must wait for the order's end.
func TestPlannedStop(t *testing.T) {
	for _, losesResponse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := emulator.New(emulator.Options{})
			f := &fakeTarget{load: targetapi.Load{Incarnation: "t1"}}
			_, stop := startController(t, store, "a", &link{fakeTarget: f, losesResponse: losesResponse}, "prefill")
			time.Sleep(5 * time.Second)
			require.Equal(t, []string{"prefill"}, f.history(), "an order whose response was lost isn't repeated at once")
			stop()
			_, stopSecond := startController(t, store, "b", &link{fakeTarget: f}, "decode")
			time.Sleep(6 * time.Second)
			require.Equal(t, !losesResponse, f.role() == "decode")
			time.Sleep(time.Minute)
			require.Equal(t, "decode", f.role())
			stopSecond()
		})
	}
}

// A holder stops as planned while it waits for an order of its dead predecessor. If it released
// the lease, its successor would not wait, and a target that ignores fencing numbers could
// execute the dead one's order after the successor's.
func TestPlannedStopWhileWaitingForAnEarlierHolder(t *testing.T) {
	for _, checks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := emulator.New(emulator.Options{})
			f := &fakeTarget{checksFencing: checks, load: targetapi.Load{Incarnation: "t1"}}
			_, stopFirst := startController(t, store, "a", &link{fakeTarget: f}, "prefill")
			time.Sleep(5 * time.Second)
			store.SetFaults(emulator.Faults{Instances: []string{"a"}, Down: emulator.FailRefuse})
			died := time.Now()
			second, stopSecond := startController(t, store, "b", &link{fakeTarget: f}, "prefill")
			time.Sleep(15 * time.Second)
			_, held := second.Held()
			require.True(t, held)
			stopSecond()
			_, stopThird := startController(t, store, "c", &link{fakeTarget: f}, "decode")
			time.Sleep(time.Until(died.Add(lease.DefaultTiming.LongestOrder)))
			require.Equal(t, checks, f.role() == "decode", "an order of the dead holder may be in progress")
			time.Sleep(time.Minute)
			require.Equal(t, "decode", f.role())
			stopFirst()
			stopThird()
		})
	}
}

// The store is down for longer than a lease's term. The holder must stop sending orders by
// itself, and send them again once the store is available.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{})
		f := &fakeTarget{checksFencing: true, load: targetapi.Load{Incarnation: "t1"}}
		c, stop := startController(t, store, "a", &link{fakeTarget: f}, "prefill")
		time.Sleep(5 * time.Second)
		require.Equal(t, "prefill", f.role())
		store.SetFaults(emulator.Faults{Down: emulator.FailSilence})
		time.Sleep(15 * time.Second)
		require.NoError(t, c.SetDesired(Desired{Revision: 2, Role: "decode"}))
		require.ErrorIs(t, c.SetDesired(Desired{Revision: 1, Role: "prefill"}), ErrStale)
		time.Sleep(time.Minute)
		_, held := c.Held()
		require.False(t, held)
		require.Equal(t, "prefill", f.role(), "no order without a lease")
		store.SetFaults(emulator.Faults{})
		time.Sleep(15 * time.Second)
		require.Equal(t, "decode", f.role())
		stop()
	})
}

// The holder's lease expires while an order is in progress at a target that ignores fencing
// numbers, and the holder acquires it again. It must not send a second order before the first
// has ended: the target could execute them in the wrong order.
func TestOrderOfAnExpiredLeaseIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{})
		f := &fakeTarget{load: targetapi.Load{Incarnation: "t1"}}
		l := &link{fakeTarget: f, losesResponse: true, responseDelay: 12 * time.Second}
		c, stop := startController(t, store, "a", l, "prefill")
		sent := time.Now()
		time.Sleep(time.Second)
		store.SetFaults(emulator.Faults{Down: emulator.FailRefuse})
		time.Sleep(11 * time.Second)
		_, held := c.Held()
		require.False(t, held)
		require.NoError(t, c.SetDesired(Desired{Revision: 2, Role: "decode"}))
		store.SetFaults(emulator.Faults{})
		time.Sleep(5 * time.Second)
		number, held := c.Held()
		require.True(t, held)
		require.Equal(t, uint64(2), number)
		time.Sleep(lease.DefaultTiming.LongestOrder - time.Since(sent) - time.Millisecond)
		require.Equal(t, []string{"prefill"}, f.history(), "the first order may still be in progress")
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"prefill", "decode"}, f.history())
		stop()
	})
}

// The lease was deleted from the store by hand, so its fencing numbers start again, while
// targets have accepted higher ones. The holder must acquire a number above those.
func TestHolderRaisesItsFencingNumberAboveTheTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{})
		f := &fakeTarget{checksFencing: true, load: targetapi.Load{Incarnation: "t1", Fencing: 41}}
		c, stop := startController(t, store, "a", &link{fakeTarget: f}, "prefill")
		time.Sleep(20 * time.Second)
		number, _ := c.Held()
		require.Equal(t, uint64(42), number)
		require.Equal(t, "prefill", f.role())
		stop()
	})
}

// Two operators change the desired state of one pool at the same time. Both read revision
// 1; the second writer must get a conflict with the newer record.
func TestConcurrentWritesOfOperatorsConflict(t *testing.T) {
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
