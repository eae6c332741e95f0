package tidy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// rig is a tidier with a clock, live instances and a duty that the test sets.
type rig struct {
	t      *testing.T
	store  *emulator.Local
	now    time.Time
	live   map[string]bool
	duty   bool
	writes int
	*Tidier
}

func newRig(t *testing.T) *rig {
	store := emulator.New(emulator.Options{WritesPerSecond: emulator.Unlimited})
	r := &rig{t: t, store: store.Local("one"), now: time.Unix(1_000_000, 0), live: map[string]bool{}, duty: true}
	r.Tidier = New(r.store, func() bool { return r.duty }, func(name string) bool { return r.live[name] },
		func() time.Time { return r.now })
	return r
}

// write creates or replaces an entry of the kind.
func (r *rig) write(kind, name string) {
	r.writes++ // an equal spec would not change the revision
	spec := fmt.Appendf(nil, `{"write":%d}`, r.writes)
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: name}, Spec: spec}
	_, err := r.store.Update(r.t.Context(), kind, object)
	if err != nil {
		_, err = r.store.Create(r.t.Context(), kind, object)
	}
	require.NoError(r.t, err)
}

// after advances the clock and runs a tick. It writes an unrelated entry first, since the
// store's stale lists are one change behind.
func (r *rig) after(d time.Duration) {
	r.now = r.now.Add(d)
	r.write(platformapi.KindTiers, "any")
	r.Tick(r.t.Context())
}

func (r *rig) names(kind string) []string {
	list, err := r.store.List(r.t.Context(), kind)
	require.NoError(r.t, err)
	names := []string{}
	for _, o := range list.Items {
		names = append(names, o.Metadata.Name)
	}
	return names
}

// An entry is removed only once its instance has been absent for longer than the grace.
// Operators read the report of an instance that crashed a day ago, and new instances look
// for peers in a region that was unreachable for an hour.
func TestEntriesAreRemovedOnlyAfterGrace(t *testing.T) {
	const instances, digests = platformapi.KindInstances, platformapi.KindDigests
	cases := map[string]struct {
		kind string
		act  func(r *rig)
		kept bool
	}{
		"absent for less than the grace": {kind: instances, kept: true, act: func(r *rig) { r.after(instanceGrace) }},
		"absent for the grace":           {kind: instances, act: func(r *rig) { r.after(instanceGrace + 1) }},
		"report, absent for less":        {kind: digests, kept: true, act: func(r *rig) { r.after(reportGrace) }},
		"report, absent for the grace":   {kind: digests, act: func(r *rig) { r.after(reportGrace + 1) }},
		"live again for a moment": {kind: instances, kept: true, act: func(r *rig) {
			r.live["two"] = true
			r.after(instanceGrace)
			delete(r.live, "two")
			r.after(1)
			r.after(instanceGrace)
		}},
		"another has the duty": {kind: instances, kept: true, act: func(r *rig) {
			r.duty = false
			r.after(2 * instanceGrace)
		}},
		"the duty returns": {kind: instances, kept: true, act: func(r *rig) {
			r.duty = false
			r.after(instanceGrace)
			r.duty = true
			r.after(instanceGrace)
		}},
		"written between two ticks": {kind: instances, kept: true, act: func(r *rig) {
			r.write(instances, "two")
			r.after(instanceGrace + 1)
		}},
		"unreachable but still reporting": {kind: digests, kept: true, act: func(r *rig) {
			r.write(digests, "two")
			r.after(reportGrace + 1)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.write(c.kind, "two")
			r.after(0)
			c.act(r)
			require.Equal(t, c.kept, len(r.names(c.kind)) == 1)
		})
	}
}

// racingStore calls race right before each delete.
type racingStore struct {
	platform.Store
	race func(name string)
}

func (s racingStore) Delete(ctx context.Context, kind, name string, revision uint64) error {
	s.race(name)
	return s.Store.Delete(ctx, kind, name, revision)
}

// During a tick one instance comes back and writes its entry, and a second tidier removes
// another entry. The first entry stays, and the remaining deletes of the tick are done.
func TestDeletesThatLoseRacesHarmNothing(t *testing.T) {
	r := newRig(t)
	const kind = platformapi.KindInstances
	for _, name := range []string{"back", "done", "gone"} {
		r.write(kind, name)
	}
	r.after(0)
	r.Tidier.store = racingStore{Store: r.store, race: func(name string) {
		switch name {
		case "back":
			r.write(kind, name)
		case "done":
			require.NoError(t, r.store.Delete(t.Context(), kind, name, 0))
		}
	}}
	r.after(instanceGrace + 1)
	require.Equal(t, []string{"back"}, r.names(kind))
}

// A tick removes a limited number of entries, even if a rollout has left those of a whole
// data centre, since other calls need the store's write capacity too.
func TestDeletesPerTickAreLimited(t *testing.T) {
	r := newRig(t)
	for i := range maxDeletes + 5 {
		r.write(platformapi.KindInstances, fmt.Sprintf("old-%02d", i))
	}
	r.after(0)
	r.after(instanceGrace + 1)
	require.Len(t, r.names(platformapi.KindInstances), 5)
	r.after(time.Minute)
	require.Empty(t, r.names(platformapi.KindInstances))
}

// The tidier drops its absence records of entries that others have removed. Every
// replacement of an instance has a new name and most instances remove their entry when they
// stop, so the records would otherwise grow with each rollout.
func TestForgetsEntriesRemovedByOthers(t *testing.T) {
	r := newRig(t)
	for _, kind := range []string{platformapi.KindInstances, platformapi.KindDigests} {
		r.write(kind, "two")
		r.after(0)
		require.NoError(t, r.store.Delete(t.Context(), kind, "two", 0))
		r.after(time.Minute)
		require.Empty(t, r.absences[kind])
	}
}
