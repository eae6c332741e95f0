package config_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// store is the sequence of writes to the platform's store.
type store struct {
	writes []config.Record
}

// asOf returns the live records of a kind as of a revision.
func (s *store) asOf(kind catalog.RecordKind, revision uint64) []config.Record {
	live := map[config.Key]config.Record{}
	for _, w := range s.writes {
		if w.Kind != kind || w.Newest.Revision > revision {
			continue
		}
		live[w.Key] = w
		if w.Newest.Deleted {
			delete(live, w.Key)
		}
	}
	return slices.Collect(maps.Values(live))
}

func generateStore(t *rapid.T) *store {
	specs := map[string][]string{
		"pools/p": {"x", "-"}, "pools/q": {"x", "-"},
		"tiers/gold": {"300", "900", "bad", "-"}, "tiers/ruby": {"300", "900", "-"},
		"pipelines/chat": {"p 200", "q 600", "p 600 gold", "-"},
		"accounts/a":     {"gold k1", "ruby k1", "ruby k2", "-"}, "accounts/b": {"gold k2", "bad", "ruby k1", "-"},
	}
	paths := slices.Sorted(maps.Keys(specs))
	s := &store{}
	for revision := range uint64(rapid.IntRange(1, 40).Draw(t, "writes")) {
		path := rapid.SampledFrom(paths).Draw(t, "path")
		s.writes = append(s.writes, record(path, revision+1, rapid.SampledFrom(specs[path]).Draw(t, "spec")))
	}
	return s
}

// newestRevisions returns the revision of the newest version of each record held.
func newestRevisions(set *config.Set) map[config.Key]uint64 {
	revisions := map[config.Key]uint64{}
	page, _, _ := set.Records(config.Cursor{}, config.PageLimit{Records: 1 << 20, Bytes: 1 << 30}, config.AllBuckets)
	for _, r := range page {
		revisions[r.Key] = r.Newest.Revision
	}
	return revisions
}

// step applies an update from one of an instance's sources.
func step(t *rapid.T, s *store, set *config.Set, peers []*config.Set) {
	last := len(s.writes)
	switch rapid.IntRange(0, 3).Draw(t, "source") {
	case 0: // events of a watch, with gaps and duplicates
		from := rapid.IntRange(0, last-1).Draw(t, "from")
		to := rapid.IntRange(from+1, last).Draw(t, "to")
		set.Apply(s.writes[from:to])
	case 1: // single events out of order
		set.Apply([]config.Record{s.writes[rapid.IntRange(0, last-1).Draw(t, "event")]})
	case 2: // a list, possibly stale
		kind := rapid.SampledFrom(config.Kinds).Draw(t, "kind")
		asOf := uint64(rapid.IntRange(0, last).Draw(t, "as of"))
		set.ApplyList(kind, s.asOf(kind, asOf), asOf)
	case 3: // a page of a peer's records
		peer := rapid.SampledFrom(peers).Draw(t, "peer")
		page, _, _ := peer.Records(config.Cursor{}, config.PageLimit{Records: 5, Bytes: 1 << 20}, config.AllBuckets)
		set.Apply(page)
	}
}

func exchange(from, to *config.Set) {
	for _, kind := range config.Kinds {
		page, _, _ := from.Records(config.Cursor{}, config.PageLimit{Records: 1 << 20, Bytes: 1 << 30}, config.AllBuckets)
		to.Apply(page)
		page = slices.DeleteFunc(page, func(r config.Record) bool { return r.Kind != kind })
		to.ApplyList(kind, page, from.AsOf(kind))
	}
}

// Instances receive changes in any order, with gaps and duplicates. No record may
// ever revert to an older version on any of them, and once they have listed the
// store and exchanged their records they must hold the same configuration.
func TestInstancesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := generateStore(t)
		sets := []*config.Set{config.New(decodeShortSpec), config.New(decodeShortSpec), config.New(decodeShortSpec)}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sets)-1).Draw(t, "instance")
			before := newestRevisions(sets[i])
			step(t, s, sets[i], sets)
			after := newestRevisions(sets[i])
			for key, revision := range before {
				require.GreaterOrEqual(t, after[key], revision, "%v reverted to an older version", key)
			}
		}
		last := uint64(len(s.writes))
		for _, kind := range config.Kinds {
			sets[0].ApplyList(kind, s.asOf(kind, last), last)
		}
		for range 3 {
			exchange(sets[0], sets[1])
			exchange(sets[1], sets[2])
			exchange(sets[2], sets[0])
		}
		requireStoreState(t, s, sets[0])
		for _, set := range sets[1:] {
			require.True(t, sets[0].Digest().Same(set.Digest()))
			require.Equal(t, describe(sets[0].Snapshot()), describe(set.Snapshot()))
		}
	})
}

func requireStoreState(t *rapid.T, s *store, set *config.Set) {
	for _, kind := range config.Kinds {
		for _, want := range s.asOf(kind, uint64(len(s.writes))) {
			got, ok := set.Get(want.Key)
			require.True(t, ok, "%v is missing", want.Key)
			require.Equal(t, want.Newest, got.Newest)
		}
	}
	last := map[config.Key]config.Record{}
	for _, w := range s.writes {
		last[w.Key] = w
	}
	for key, w := range last {
		got, ok := set.Get(key)
		require.True(t, !w.Newest.Deleted || !ok || got.Newest.Deleted, "%v was restored", key)
	}
}

// describe returns the content of a snapshot as sorted text, independent of map
// order and pointers.
func describe(s *catalog.Snapshot) []string {
	var lines []string
	for _, p := range s.Pipelines {
		lines = append(lines, fmt.Sprintf("pipeline %+v", *p))
	}
	for _, t := range s.Tiers {
		lines = append(lines, fmt.Sprintf("tier %+v", *t))
	}
	for _, p := range s.Pools {
		lines = append(lines, fmt.Sprintf("pool %+v", *p))
	}
	for a := range s.Accounts.All() {
		owner, ok := s.AccountByKey(a.KeyHashes[0])
		lines = append(lines, fmt.Sprintf("account %+v, key of %v %v", *a, ok, owner.Name))
	}
	slices.Sort(lines)
	return lines
}
