package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var prompt = []PrefixPart{{"system", 800}, {"document", 900}}

func TestCachedPrefixIsPreferred(t *testing.T) {
	for _, tc := range []struct {
		name   string
		update CacheUpdate
		later  time.Duration
		cached int
	}{
		{"own request", CacheUpdate{}, time.Second, 1700},
		{"own request too old", CacheUpdate{}, DefaultPrefixTTL + 2*time.Second, 0},
		{"second part evicted", CacheUpdate{Removed: []string{"document"}}, time.Second, 800},
		{"first part evicted", CacheUpdate{Removed: []string{"system"}}, time.Second, 0},
		{"gap, recent entries", CacheUpdate{Gap: true}, time.Second, 1700},
		{"gap, old entries", CacheUpdate{Gap: true}, time.Minute, 0},
		{"cache cleared", CacheUpdate{Epoch: 2}, 2 * time.Second, 0},
		{"cleared, refilled", CacheUpdate{Epoch: 2, Added: []string{"system"}}, 2 * time.Second, 800},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTable(Config{}, testTargets(8))
			rng := newRNG()
			cachedAt := table.mustPick(t, start, rng, Query{Prefix: prompt}).Target.Incarnation
			table.CacheEvent(start, cachedAt, CacheUpdate{Epoch: 1})
			if tc.update.Epoch == 0 {
				tc.update.Epoch = 1
			}
			now := at(tc.later)
			table.CacheEvent(now, cachedAt, tc.update)
			choice := table.mustPick(t, now, rng, Query{Prefix: prompt})
			require.Equal(t, tc.cached, choice.CachedTokens)
			if tc.cached > 0 {
				require.Equal(t, cachedAt, choice.Target.Incarnation)
				require.Equal(t, ReasonAffinity, choice.Reason)
			}
		})
	}
}

// Many requests share a prefix. If the cache alone decided, one engine would get all of
// them and build up a queue while the others are idle.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	for _, tc := range []struct {
		cached, others int // load of the engine with the cached prefix, and of each other
		stays          bool
	}{{2, 0, true}, {5, 0, true}, {7, 0, false}, {7, 4, true}, {13, 4, false}} {
		table := newTable(Config{}, testTargets(8))
		table.CacheEvent(start, "t3", CacheUpdate{Epoch: 1, Added: []string{"system", "document"}})
		for _, target := range testTargets(8) {
			load := tc.others
			if target.Incarnation == "t3" {
				load = tc.cached
			}
			table.Report(start, target.Incarnation, Load{Active: load})
		}
		choice := table.mustPick(t, start, newRNG(), Query{Prefix: prompt})
		require.Equal(t, tc.stays, choice.Target.Incarnation == "t3", "%+v", tc)
	}
}

// The engine with the longest cached part of the prompt is preferred, but never one
// that lacks the adapter.
func TestAffinityRespectsAdapters(t *testing.T) {
	targets := testTargets(4)
	targets[0].Adapters = []string{"other"}
	table := newTable(Config{}, targets)
	table.CacheEvent(start, "t0", CacheUpdate{Epoch: 1, Added: []string{"system", "document"}})
	table.CacheEvent(start, "t1", CacheUpdate{Epoch: 1, Added: []string{"system"}})
	pick := func(adapter string) string {
		return table.mustPick(t, start, newRNG(), Query{Prefix: prompt, Adapter: adapter}).Target.Incarnation
	}
	require.Equal(t, "t1", pick("mine"))
	require.Equal(t, "t0", pick("other"))
}

func TestPrefixIndexIsBounded(t *testing.T) {
	p := prefixIndex{size: 16}
	for part := range uint64(1000) {
		p.add(start.UnixNano(), part<<32|part)
	}
	kept := 0
	for part := range uint64(1000) {
		if p.contains(start.UnixNano(), part<<32|part, time.Minute) {
			kept++
		}
	}
	require.Equal(t, 16, kept)
}
