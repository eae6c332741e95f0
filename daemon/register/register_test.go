package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a store in virtual time, with registrars that run until the test ends.
type rig struct {
	t     *testing.T
	store *emulator.Store
	// ctx is the context of the registrars.
	ctx context.Context
}

func inRig(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(&rig{t: t, store: emulator.New(emulator.Options{}), ctx: ctx})
	})
}

// start runs the registrar of an incarnation of the instance "one".
func (r *rig) start(incarnation uint64) *Registrar {
	self := membership.Member{Name: "one", Address: "127.0.0.1:1", DataCentre: "local", Incarnation: incarnation}
	registrar := New(r.store.Local("one"), func() membership.Member { return self })
	go func() { _ = registrar.Run(r.ctx) }()
	synctest.Wait()
	return registrar
}

// incarnations returns the incarnations that a new instance finds in the store.
func (r *rig) incarnations() []uint64 {
	members, err := New(r.store.Local("two"), func() membership.Member { return membership.Member{} }).List(r.t.Context())
	require.NoError(r.t, err)
	incarnations := make([]uint64, len(members))
	for i, m := range members {
		incarnations[i] = m.Incarnation
	}
	return incarnations
}

// An instance is replaced under its own name while the old process still runs: its first
// write is delayed by an outage of the store, or it stops after its successor's start. If
// it wrote or removed the entry, new instances would not find the successor.
func TestEarlierIncarnationKeepsTheEntryOfALaterOne(t *testing.T) {
	earlier := map[string]func(r *rig){
		"stops": func(r *rig) {
			old := r.start(1)
			r.start(2)
			require.NoError(r.t, old.Remove(r.t.Context()))
		},
		"writes late": func(r *rig) {
			r.start(2)
			r.start(1)
		},
		"lists": func(r *rig) {
			old := r.start(1)
			r.start(2)
			_, err := old.List(r.t.Context())
			require.NoError(r.t, err)
		},
	}
	for name, act := range earlier {
		t.Run(name, func(t *testing.T) {
			inRig(t, func(r *rig) {
				act(r)
				synctest.Wait()
				require.Equal(r.t, []uint64{2}, r.incarnations())
			})
		})
	}
}

// The store is down when an instance starts, or the response to its write is lost. Once the
// store is available, new instances must find the entry exactly once.
func TestEntryIsWrittenAfterFaults(t *testing.T) {
	faults := map[string]emulator.Faults{
		"store down":    {Down: emulator.FailRefuse},
		"response lost": {LoseWrites: 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inRig(t, func(r *rig) {
				r.store.SetFaults(fault)
				r.start(1)
				time.Sleep(time.Minute) // virtual
				r.store.SetFaults(emulator.Faults{})
				time.Sleep(2 * retryMax) // virtual
				require.Equal(r.t, []uint64{1}, r.incarnations())
			})
		})
	}
}

// A region is unreachable for hours, and other instances remove the entries of its
// instances. When it is reachable again, an instance that finds its entry missing must
// write it again, or new instances would never find it.
func TestMissingEntryIsRewritten(t *testing.T) {
	inRig(t, func(r *rig) {
		one := r.start(1)
		require.NoError(r.t, r.store.Local("two").Delete(r.t.Context(), platformapi.KindInstances, "one", 0))
		_, err := one.List(r.t.Context())
		require.NoError(r.t, err)
		synctest.Wait()
		require.Equal(r.t, []uint64{1}, r.incarnations())
	})
}

// A planned stop removes the entry. A list that is read afterwards must not restore it, and
// a second removal must succeed.
func TestRemoveIsFinal(t *testing.T) {
	inRig(t, func(r *rig) {
		one := r.start(1)
		require.NoError(r.t, one.Remove(r.t.Context()))
		_, err := one.List(r.t.Context())
		require.NoError(r.t, err)
		synctest.Wait()
		require.Empty(r.t, r.incarnations())
		require.NoError(r.t, one.Remove(r.t.Context()))
	})
}

// replacedStore calls replace right before each delete.
type replacedStore struct {
	platform.Store
	replace func()
}

func (s replacedStore) Delete(ctx context.Context, kind, name string, revision uint64) error {
	s.replace()
	return s.Store.Delete(ctx, kind, name, revision)
}

// A later incarnation writes its entry between the read and the delete of the earlier one's
// planned stop. The delete is conditional, so the entry must stay.
func TestRemoveKeepsAConcurrentlyReplacedEntry(t *testing.T) {
	inRig(t, func(r *rig) {
		old := r.start(1)
		old.store = replacedStore{Store: old.store, replace: func() { r.start(2) }}
		require.NoError(r.t, old.Remove(r.t.Context()))
		require.Equal(r.t, []uint64{2}, r.incarnations())
	})
}

// countedStore counts the calls to a store.
type countedStore struct {
	platform.Store
	calls *int
}

func (s countedStore) Get(ctx context.Context, kind, name string) (*platformapi.Object, error) {
	*s.calls++
	return s.Store.Get(ctx, kind, name)
}

func (s countedStore) Create(ctx context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	*s.calls++
	return s.Store.Create(ctx, kind, o)
}

func (s countedStore) Update(ctx context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	*s.calls++
	return s.Store.Update(ctx, kind, o)
}

// Hundreds of instances start together. None may make needless calls: a second write of its
// entry because its first list preceded the entry, or a read of an entry that the list
// contained.
func TestStartMakesFewCalls(t *testing.T) {
	inRig(t, func(r *rig) {
		for incarnation, calls := range []int{1, 2, 2} {
			self := membership.Member{Name: "one", Address: "127.0.0.1:1", Incarnation: uint64(incarnation + 1)}
			callCount := 0
			registrar := New(countedStore{r.store.Local("one"), &callCount}, func() membership.Member { return self })
			_, err := registrar.List(r.ctx)
			require.NoError(r.t, err)
			go func() { _ = registrar.Run(r.ctx) }()
			synctest.Wait()
			require.Equal(r.t, calls, callCount)
			require.Equal(r.t, []uint64{uint64(incarnation + 1)}, r.incarnations())
		}
	})
}
