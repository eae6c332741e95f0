package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// slowStore answers Get after a delay, and counts the calls.
type slowStore struct {
	platform.Store
	delay time.Duration
	down  bool
	calls atomic.Int32
}

func (s *slowStore) Get(ctx context.Context, _, name string) (*platformapi.Object, error) {
	s.calls.Add(1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.delay):
	}
	if s.down {
		return nil, errors.New("store is down")
	}
	return &platformapi.Object{Metadata: platformapi.Metadata{Name: name, Revision: 7}}, nil
}

func newConfirmFollower(s *slowStore) *Follower {
	return New(Options{
		Store: s,
		Source: Source{
			ConfigKind: "config", ConfigName: "main",
			DecodeConfig: func(_ []byte, revision uint64) (*routes.Table, error) {
				return &routes.Table{Revision: revision}, nil
			},
		},
		Gossip:   func(spread.Record) {},
		OnChange: func(time.Time, *routes.Table, map[string][]routes.Target) {},
		Scope:    tally.NoopScope,
	})
}

// A client account gets a new key, and forty requests with it arrive at once. The one that started
// the check leaves before the response. If the check ended with that request, the others would be
// refused or would each call the store.
func TestConfirmIsSharedAndOutlivesRequester(t *testing.T) {
	cases := map[string]struct {
		store   *slowStore
		leaves  time.Duration
		known   int32
		calls   int32
		longest time.Duration
	}{
		"answers":                 {&slowStore{delay: 100 * time.Millisecond}, time.Hour, 41, 1, 100 * time.Millisecond},
		"answers, requester left": {&slowStore{delay: 100 * time.Millisecond}, 10 * time.Millisecond, 40, 1, 100 * time.Millisecond},
		"silent":                  {&slowStore{delay: time.Hour}, time.Hour, 0, 1, confirmTimeout},
		"fails, not called again": {&slowStore{down: true}, time.Hour, 0, 1, 0},
		"silent, requester left":  {&slowStore{delay: time.Hour}, 10 * time.Millisecond, 0, 1, confirmTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newConfirmFollower(c.store)
				var known atomic.Int32
				var wg sync.WaitGroup
				confirm := func(ctx context.Context) {
					if f.Confirm(ctx) {
						known.Add(1)
					}
				}
				begin := time.Now()
				first, leave := context.WithTimeout(t.Context(), c.leaves)
				defer leave()
				wg.Go(func() { confirm(first) })
				synctest.Wait()
				for range 40 {
					wg.Go(func() { confirm(t.Context()) })
				}
				wg.Wait()
				require.Equal(t, c.longest, time.Since(begin))
				require.Equal(t, c.known, known.Load())
				require.Equal(t, c.calls, c.store.calls.Load())
			})
		})
	}
}

// The store answers a check after a watch has returned a newer state. The confirmation must not look
// older than that watch, or the next denial would call the store again.
func TestConfirmKeepsLatestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{delay: 300 * time.Millisecond}
		f := newConfirmFollower(store)
		go func() {
			time.Sleep(200 * time.Millisecond) // virtual: meanwhile the watch returns
			f.recordApplied(watchedKind{part: watching.Configuration}, time.Now())
		}()
		require.True(t, f.Confirm(t.Context()))
		time.Sleep(800 * time.Millisecond) // virtual
		require.True(t, f.Confirm(t.Context()))
		require.EqualValues(t, 1, store.calls.Load())
	})
}

// Ninety instances receive requests for a route that has been removed. One of them calls the store for
// all. The store itself is asked if that instance is unreachable, doesn't know, or knows a newer version
// than the one in force here: otherwise a route that has just been added would be refused.
func TestConfirmerSavesStoreCalls(t *testing.T) {
	cases := map[string]struct {
		revision uint64
		known    bool
		calls    int32
	}{
		"knows this version":          {6, true, 0},
		"knows an older one":          {5, true, 0},
		"knows a newer one":           {7, true, 1},
		"doesn't know or unreachable": {0, false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{delay: 4 * time.Millisecond}
				f := newConfirmFollower(store)
				f.options.ConfirmerRevision = func(context.Context) (uint64, bool) { return c.revision, c.known }
				f.table.Store(&routes.Table{Revision: 6})
				require.True(t, f.Confirm(t.Context()))
				require.Equal(t, c.calls, store.calls.Load())
				require.True(t, f.Confirm(t.Context()), "the confirmation is valid for a while")
				require.Equal(t, c.calls, store.calls.Load())
				revision, known := f.NewestRevision(t.Context())
				require.True(t, known)
				require.Equal(t, f.Table().Revision, revision)
			})
		})
	}
}

// A watch returns a new key. The newest configuration must not count as known until the key is
// applied, or a request with the key would be denied.
func TestConfirmedOnceApplied(t *testing.T) {
	store := newTimedStore()
	store.put("config", "main", "1")
	f := New(Options{Store: store, Scope: tally.NoopScope})
	known := func() bool {
		known, _ := f.lastConfirmation(time.Now())
		return known
	}
	applied := 0
	k := watchedKind{
		part: watching.Configuration, kind: "config",
		onEvent: func(platformapi.Event) { applied++; require.False(t, known()) },
		onList:  func(platformapi.List) { applied++; require.False(t, known()) },
	}
	_, _, err := f.callStore(t.Context(), k, 0, 0)
	require.NoError(t, err)
	require.True(t, known())
	f.confirmedAt = time.Time{}
	store.put("config", "main", "2")
	_, changes, err := f.callStore(t.Context(), k, 1, 0)
	require.NoError(t, err)
	require.Equal(t, 1, changes)
	require.Equal(t, 2, applied)
	require.True(t, known())
}
