package platform_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const kind = platformapi.KindAccounts

// TestWriteContract makes each kind of write to a store that holds "a" at revision 1
// and "b" at revision 2, both with spec {"v":1} and status {"s":1}.
func TestWriteContract(t *testing.T) {
	ctx := context.Background()
	type step func(s platform.Store) (*platformapi.Object, error)
	write := func(name string, revision uint64, spec string) platformapi.Object {
		o := object(name, spec)
		o.Metadata.Revision = revision
		return o
	}
	update := func(o platformapi.Object) step {
		return func(s platform.Store) (*platformapi.Object, error) { return s.Update(ctx, kind, o) }
	}
	status := func(o platformapi.Object) step {
		o.Spec, o.Status = nil, o.Spec
		return func(s platform.Store) (*platformapi.Object, error) { return s.UpdateStatus(ctx, kind, o) }
	}
	create := func(kind string, o platformapi.Object) step {
		return func(s platform.Store) (*platformapi.Object, error) { return s.Create(ctx, kind, o) }
	}
	remove := func(name string, revision uint64) step {
		return func(s platform.Store) (*platformapi.Object, error) { return nil, s.Delete(ctx, kind, name, revision) }
	}
	large := `"` + strings.Repeat("x", platformapi.MaxValueBytes-2) + `"`
	for name, c := range map[string]struct {
		step     step
		want     string
		revision uint64 // of the store afterwards
		spec     string // of "a" afterwards, if it changed
		status   string
	}{
		"create":                    {create(kind, object("c", `{}`)), "done", 3, "", ""},
		"create largest":            {create(kind, object("c", large)), "done", 3, "", ""},
		"create no JSON":            {create(kind, object("c", "{")), "refused", 2, "", ""},
		"create over a megabyte":    {create(kind, object("c", `[`+large+`]`)), "too large", 2, "", ""},
		"create existing":           {create(kind, object("a", `{}`)), "conflict", 2, "", ""},
		"create bad name":           {create(kind, object("a/b", `{}`)), "refused", 2, "", ""},
		"create target":             {create(platformapi.KindTargets, object("t", `{}`)), "refused", 2, "", ""},
		"update conditional":        {update(write("a", 1, `{"v":2}`)), "done", 3, `{"v":2}`, ""},
		"update unconditional":      {update(write("a", 0, `{"v":2}`)), "done", 3, `{"v":2}`, ""},
		"update late":               {update(write("a", 9, `{"v":2}`)), "conflict", 2, "", ""},
		"update of nothing":         {update(write("c", 0, `{}`)), "not found", 2, "", ""},
		"update without change":     {update(write("a", 1, `{ "v": 1 }`)), "done", 2, "", ""},
		"status leaves spec":        {status(write("a", 1, `{"s":2}`)), "done", 3, "", `{"s":2}`},
		"status late":               {status(write("a", 9, `{"s":2}`)), "conflict", 2, "", ""},
		"delete conditional":        {remove("b", 2), "done", 3, "", ""},
		"delete late":               {remove("a", 2), "conflict", 2, "", ""},
		"delete of nothing":         {remove("c", 0), "not found", 2, "", ""},
		"delete whatever it is now": {remove("b", 0), "done", 3, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			eachStore(t, func(t *testing.T, _ *emulator.Store, s platform.Store) {
				for _, name := range []string{"a", "b"} {
					o := object(name, `{"v":1}`)
					o.Status = []byte(`{"s":1}`)
					_, err := s.Create(ctx, kind, o)
					require.NoError(t, err)
				}
				_, err := c.step(s)
				require.Equal(t, c.want, class(err))
				var conflict *platform.ConflictError
				if c.want == "conflict" {
					require.ErrorAs(t, err, &conflict)
					require.EqualValues(t, 1, conflict.Current.Metadata.Revision)
				}
				all, err := s.List(ctx, kind)
				require.NoError(t, err)
				require.Equal(t, c.revision, all.Revision)
				a, err := s.Get(ctx, kind, "a")
				require.NoError(t, err)
				require.Equal(t, or(c.spec, `{"v":1}`), string(a.Spec))
				require.Equal(t, or(c.status, `{"s":1}`), string(a.Status))
			})
		})
	}
}

func or(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

// TestListPages lists a kind of more than two pages. The list must be complete and in
// order.
func TestListPages(t *testing.T) {
	eachStore(t, func(t *testing.T, e *emulator.Store, s platform.Store) {
		const count = 2*platformapi.MaxPageItems + 1
		for i := range count {
			_, err := e.Local("").Create(t.Context(), kind, object(fmt.Sprintf("n%04d", i), `{}`))
			require.NoError(t, err)
		}
		all, err := s.List(t.Context(), kind)
		require.NoError(t, err)
		require.Len(t, all.Items, count)
		require.EqualValues(t, count, all.Revision)
		for i, item := range all.Items {
			require.EqualValues(t, i+1, item.Metadata.Revision)
		}
	})
}

// TestWatchContract watches two kinds across a creation and a deletion, until a wait
// ends without a change.
func TestWatchContract(t *testing.T) {
	eachStore(t, func(t *testing.T, e *emulator.Store, s platform.Store) {
		kinds := []string{platformapi.KindAccounts, platformapi.KindTiers}
		others := e.Local("other")
		seen := make(chan platformapi.WatchResponse, 1)
		go func() {
			watch, err := s.Watch(t.Context(), kinds, 0, time.Minute)
			require.NoError(t, err)
			seen <- watch
		}()
		synctest.Wait()
		require.Equal(t, 1, e.Calls().Waiting)
		for _, kind := range []string{platformapi.KindPools, platformapi.KindTiers} {
			_, err := others.Create(t.Context(), kind, object("x", `{}`))
			require.NoError(t, err)
		}
		watch := <-seen
		require.Len(t, watch.Events, 1)
		require.Equal(t, platformapi.KindTiers, watch.Events[0].Kind)

		require.NoError(t, others.Delete(t.Context(), platformapi.KindTiers, "x", 0))
		watch, err := s.Watch(t.Context(), kinds, watch.Revision, time.Minute)
		require.NoError(t, err)
		require.True(t, watch.Events[0].Deleted)
		require.EqualValues(t, 3, watch.Events[0].Object.Metadata.Revision)

		start := time.Now()
		watch, err = s.Watch(t.Context(), kinds, watch.Revision, 10*time.Second)
		require.NoError(t, err)
		require.Empty(t, watch.Events)
		require.Equal(t, 10*time.Second, time.Since(start))
		_, err = s.Watch(t.Context(), kinds, 99, time.Second)
		require.Equal(t, "compacted", class(err), "a store that was reset has no history after that revision")
	})
}

// TestTargetChangesAppearAfterTheLag changes a target from ready to leaving to
// removed. Readers must see the changes in that order, and only after the lag.
func TestTargetChangesAppearAfterTheLag(t *testing.T) {
	eachStore(t, func(t *testing.T, e *emulator.Store, s platform.Store) {
		watch := func(from uint64, wait time.Duration) platformapi.WatchResponse {
			w, err := s.Watch(t.Context(), []string{platformapi.KindTargets}, from, wait)
			require.NoError(t, err)
			return w
		}
		e.RegisterTarget(platformapi.TargetEntry{Pool: "p", Incarnation: "t1"})
		require.Empty(t, watch(0, emulator.DefaultTargetLag-1*time.Millisecond).Events)
		require.Contains(t, string(watch(0, time.Second).Events[0].Object.Spec), platformapi.TargetReady)
		e.SetLeaving("t1")
		e.RemoveTarget("t1")
		time.Sleep(emulator.DefaultTargetLag) // virtual
		synctest.Wait()
		events := watch(1, 0).Events
		require.Contains(t, string(events[0].Object.Spec), platformapi.TargetLeaving)
		require.True(t, events[1].Deleted)
	})
}
