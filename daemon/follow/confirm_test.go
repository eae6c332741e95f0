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

// Watch finds no history, so that the object is read.
func (s *slowStore) Watch(context.Context, []string, uint64, time.Duration) (platformapi.WatchResponse, error) {
	return platformapi.WatchResponse{}, platform.ErrCompacted
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
				f.options.AskConfirmer = func(context.Context) Newest { return Newest{Revision: c.revision, Known: c.known} }
				f.table.Store(&routes.Table{Revision: 6})
				require.True(t, f.Confirm(t.Context()))
				require.Equal(t, c.calls, store.calls.Load())
				require.True(t, f.Confirm(t.Context()), "the confirmation is valid for a while")
				require.Equal(t, c.calls, store.calls.Load())
				require.Equal(t, Newest{Revision: f.Table().Revision, Known: true}, f.Newest(t.Context()))
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

// largeStore transfers a configuration for longer than a check may wait for an answer to begin, as
// over a slow link. Its watch answers at once if there is nothing newer.
type largeStore struct {
	platform.Store
	newest      uint64
	historyGone bool
	gets        atomic.Int32
	watches     atomic.Int32
}

const (
	// transferTime is how long a large configuration takes.
	transferTime = 2 * confirmTimeout
	largeSize    = maxDirectRead + 1
)

func (s *largeStore) transfer(ctx context.Context) (platformapi.Object, error) {
	for range 8 {
		select {
		case <-ctx.Done():
			return platformapi.Object{}, ctx.Err()
		case <-time.After(transferTime / 8):
			platform.ReportProgress(ctx)
		}
	}
	return platformapi.Object{Metadata: platformapi.Metadata{Name: "main", Revision: s.newest}, Spec: make([]byte, largeSize)}, nil
}

func (s *largeStore) Get(ctx context.Context, _, _ string) (*platformapi.Object, error) {
	s.gets.Add(1)
	o, err := s.transfer(ctx)
	return &o, err
}

func (s *largeStore) Watch(ctx context.Context, _ []string, from uint64, _ time.Duration) (platformapi.WatchResponse, error) {
	s.watches.Add(1)
	switch {
	case s.historyGone:
		return platformapi.WatchResponse{}, platform.ErrCompacted
	case s.newest <= from:
		return platformapi.WatchResponse{Revision: from}, nil
	}
	o, err := s.transfer(ctx)
	return platformapi.WatchResponse{Revision: s.newest, Events: []platformapi.Event{{Object: o}}}, err
}

// Guards against a large configuration that can never be confirmed, because reading it takes longer
// than a check may, and against reading it again although nothing has changed.
func TestLargeConfigurationIsConfirmed(t *testing.T) {
	cases := map[string]struct {
		store *largeStore
		// peerKnows is the revision that the confirmer reports; 0 if it doesn't respond.
		peerKnows uint64
		// gossiped is when a peer sends the newest version; 0 if none does.
		gossiped      time.Duration
		known         bool
		gets, watches int32
		elapsed       time.Duration
	}{
		"nothing newer":                {&largeStore{newest: 6}, 0, 0, true, 0, 1, 0},
		"newer":                        {&largeStore{newest: 7}, 0, 0, true, 0, 1, transferTime},
		"newer, history gone":          {&largeStore{newest: 7, historyGone: true}, 0, 0, true, 1, 1, transferTime},
		"gossip brings it":             {&largeStore{newest: 7}, 7, 300 * time.Millisecond, true, 0, 0, 300 * time.Millisecond},
		"gossip doesn't bring it":      {&largeStore{newest: 7}, 7, 0, true, 0, 1, gossipWait + transferTime},
		"gossip comes during the read": {&largeStore{newest: 7}, 0, 100 * time.Millisecond, false, 0, 1, 100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newConfirmFollower(nil)
				f.options.Store = c.store
				f.table.Store(&routes.Table{Revision: 6})
				f.configKnownTo.Store(1)
				f.options.AskConfirmer = func(context.Context) Newest {
					return Newest{Revision: c.peerKnows, Bytes: largeSize, Known: c.peerKnows != 0}
				}
				if c.gossiped > 0 {
					time.AfterFunc(c.gossiped, func() { f.applyConfig(7, make([]byte, largeSize), false) })
				}
				begin := time.Now()
				require.Equal(t, c.known, f.Confirm(t.Context()))
				require.Equal(t, c.elapsed, time.Since(begin))
				require.Equal(t, c.store.newest, f.Table().Revision)
				require.Equal(t, c.gets, c.store.gets.Load())
				require.Equal(t, c.watches, c.store.watches.Load())
				require.False(t, f.Outdated())
			})
		})
	}
}

// Guards against a denial by a configuration that is known to be outdated, and against refusing for
// ever when the newer version can't be decoded.
func TestOutdatedUntilTheNewerVersionArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{delay: time.Hour}
		f := newConfirmFollower(store)
		f.table.Store(&routes.Table{Revision: 6})
		f.options.AskConfirmer = func(context.Context) Newest { return Newest{Revision: 7, Bytes: largeSize, Known: true} }
		require.False(t, f.Outdated())
		require.False(t, f.Confirm(t.Context()))
		require.True(t, f.Outdated())
		decode := f.options.Source.DecodeConfig
		f.options.Source.DecodeConfig = func([]byte, uint64) (*routes.Table, error) { return nil, errors.New("invalid") }
		f.applyConfig(7, nil, false)
		require.False(t, f.Outdated())
		f.options.Source.DecodeConfig = decode
		f.newestRevision.Store(8)
		require.True(t, f.Outdated())
		f.applyConfig(8, nil, false)
		require.False(t, f.Outdated())
	})
}
