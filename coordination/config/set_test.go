package config_test

import (
	"crypto/sha256"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// decodeShortSpec decodes the short specs of these tests. A tier has its deadline
// in ms; a pipeline has its pool, its expected time in ms and the tiers with a
// deadline of an hour; an account has its tier and key. The spec "bad" is refused.
func decodeShortSpec(kind catalog.RecordKind, name string, revision uint64, spec []byte) (catalog.Item, error) {
	fields := strings.Fields(string(spec))
	if len(fields) == 0 || fields[0] == "bad" {
		return nil, errors.New("spec: is bad")
	}
	switch kind {
	case catalog.RecordTiers:
		return &catalog.Tier{Name: name, Revision: revision, Deadline: millis(fields[0])}, nil
	case catalog.RecordPipelines:
		p := &catalog.Pipeline{Key: catalog.PipelineKey{Name: name, SchemaVersion: 1}, Revision: revision,
			Stages: []catalog.Stage{{Name: "s", Pool: fields[0], ExpectedDuration: millis(fields[1])}}, Deadlines: map[string]time.Duration{}}
		for _, tier := range fields[2:] {
			p.Deadlines[tier] = time.Hour
		}
		return p, nil
	case catalog.RecordAccounts:
		return &catalog.Account{Name: name, Revision: revision, Tier: fields[0],
			KeyHashes: [][32]byte{sha256.Sum256([]byte(fields[1]))}}, nil
	}
	return &catalog.Pool{Name: name, Revision: revision}, nil
}

func millis(word string) time.Duration {
	n, _ := strconv.Atoi(word)
	return time.Duration(n) * time.Millisecond
}

func key(path string) config.Key {
	kind, name, _ := strings.Cut(path, "/")
	return config.Key{Kind: catalog.RecordKind(kind), Name: name}
}

// record returns a record; the spec "-" stands for a delete.
func record(path string, revision uint64, spec string) config.Record {
	if spec == "-" {
		return config.TombstoneRecord(key(path), revision)
	}
	return config.LiveRecord(key(path), revision, []byte(spec))
}

// newCompleteSet returns a set that has listed every kind and holds the records.
func newCompleteSet(records ...config.Record) *config.Set {
	set := config.New(decodeShortSpec)
	for _, kind := range config.Kinds {
		set.ApplyList(kind, nil, 0)
	}
	set.Apply(records)
	return set
}

func baseRecords() []config.Record {
	return []config.Record{
		record("pools/p", 1, "x"), record("tiers/gold", 2, "1000"), record("tiers/batch", 3, "9000"),
		record("pipelines/chat", 4, "p 500"), record("accounts/demo", 5, "gold k1"),
	}
}

// A refused version must leave the last accepted one in force and give a reason.
// Each case applies its steps one by one to the base records.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		steps   []config.Record
		record  string
		reason  string // empty: accepted
		inForce uint64 // revision in force in place of a refused one
	}{
		{"a tier that doesn't exist", []config.Record{record("accounts/new", 10, "ruby k2")}, "accounts/new", "tier: tier ruby does not exist", 0},
		{"an update to a tier that doesn't exist", []config.Record{record("accounts/demo", 10, "ruby k1")}, "accounts/demo", "tier ruby does not exist", 5},
		{"accepted once the tier exists", []config.Record{record("accounts/demo", 10, "ruby k1"), record("tiers/ruby", 11, "800")}, "accounts/demo", "", 0},
		{"a spec that doesn't decode", []config.Record{record("tiers/gold", 10, "bad")}, "tiers/gold", "spec: is bad", 2},
		{"a pool that doesn't exist", []config.Record{record("pipelines/chat", 10, "q 500")}, "pipelines/chat", "stage s: pool q does not exist", 4},
		{"a pipeline slower than a tier", []config.Record{record("pipelines/chat", 10, "p 2000")}, "pipelines/chat", "deadline of tier gold, 1000 ms, is less than the 2000 ms", 4},
		{"a pipeline with its own deadline", []config.Record{record("pipelines/chat", 10, "p 2000 gold")}, "pipelines/chat", "", 0},
		{"a deadline for an unknown tier", []config.Record{record("pipelines/chat", 10, "p 1 ruby")}, "pipelines/chat", "deadlines_ms: tier ruby", 4},
		{"a tier faster than a pipeline", []config.Record{record("tiers/gold", 10, "400")}, "tiers/gold", "400 ms, is less than the 500 ms", 2},
		{"accepted once the pipeline is faster", []config.Record{record("tiers/gold", 10, "400"), record("pipelines/chat", 11, "p 300")}, "tiers/gold", "", 0},
		{"accepted once the pipeline is deleted", []config.Record{record("tiers/gold", 10, "400"), record("pipelines/chat", 11, "-")}, "tiers/gold", "", 0},
		{"another account's key", []config.Record{record("accounts/new", 10, "gold k1")}, "accounts/new", "keys[0]: the key belongs to account demo", 0},
		{"a key that was released", []config.Record{record("accounts/new", 10, "gold k1"), record("accounts/demo", 11, "gold k2")}, "accounts/new", "", 0},
		{"deleting a pool in use", []config.Record{record("pools/p", 10, "-")}, "pools/p", "still used by pipelines", 1},
		{"deleting a tier in use", []config.Record{record("tiers/gold", 10, "-")}, "tiers/gold", "still used by accounts", 2},
		{"deleting a tier once its user changed tier", []config.Record{record("tiers/gold", 10, "-"), record("accounts/demo", 11, "batch k1")}, "tiers/gold", "", 0},
		{"a new user of a deleted tier", []config.Record{record("tiers/gold", 10, "-"), record("accounts/new", 11, "gold k2")}, "accounts/new", "tier gold is deleted", 0},
		{"a bad spec after a delete", []config.Record{record("tiers/gold", 10, "-"), record("tiers/gold", 11, "bad")}, "tiers/gold", "spec: is bad", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := newCompleteSet(baseRecords()...)
			for _, step := range c.steps {
				set.Apply([]config.Record{step})
			}
			v, ok := set.Verdict(key(c.record))
			require.True(t, ok)
			assert.Equal(t, c.reason == "", v.Accepted, v.Reason)
			assert.Contains(t, v.Reason, c.reason)
			assert.Equal(t, c.inForce, v.InForce.Revision)
		})
	}
}

func TestSnapshotFollowsWhatIsInForce(t *testing.T) {
	set := newCompleteSet(baseRecords()...)
	before := set.Snapshot()
	_, same, _ := set.Apply([]config.Record{record("tiers/gold", 2, "1"), record("tiers/gold", 1, "2")})
	assert.Same(t, before, same, "without newer records the snapshot must not be rebuilt")

	changed, after, verdicts := set.Apply([]config.Record{record("accounts/demo", 9, "batch k2"), record("pipelines/chat", 10, "-")})
	assert.Len(t, changed, 2)
	assert.Len(t, verdicts, 2)
	demo, ok := after.AccountByKey(sha256.Sum256([]byte("k2")))
	require.True(t, ok)
	assert.Equal(t, "batch", demo.Tier)
	_, ok = after.AccountByKey(sha256.Sum256([]byte("k1")))
	assert.False(t, ok, "a removed key must stop working")
	_, ok = after.Pipeline("chat", 0)
	assert.False(t, ok)
	_, ok = before.Pipeline("chat", 1)
	assert.True(t, ok, "a published snapshot must never change")
	assert.Equal(t, uint64(10), after.Revision)
}

// A status write raises a record's revision and leaves its spec unchanged. If it
// gave a new verdict, the status writer would react to its own writes forever.
func TestStatusWriteGivesNoNewVerdict(t *testing.T) {
	set := newCompleteSet(append(baseRecords(), record("accounts/new", 6, "ruby k9"))...)
	_, _, verdicts := set.Apply([]config.Record{record("accounts/new", 10, "ruby k9"), record("accounts/demo", 11, "gold k1")})
	assert.Empty(t, verdicts)
}

// A new instance lists accounts before tiers. If records were evaluated at once,
// every account would be refused, and the refusal written to the store as status.
func TestNothingIsEvaluatedBeforeEveryKindIsListed(t *testing.T) {
	set := config.New(decodeShortSpec)
	b := baseRecords()
	_, _, verdicts := set.ApplyList(catalog.RecordAccounts, b[4:], 9)
	assert.Empty(t, verdicts)
	set.ApplyList(catalog.RecordPipelines, b[3:4], 9)
	set.ApplyList(catalog.RecordTiers, b[1:3], 9)
	_, snapshot, verdicts := set.ApplyList(catalog.RecordPools, b[:1], 9)
	assert.Len(t, verdicts, len(b))
	assert.Equal(t, 1, snapshot.Accounts.Len())
	assert.True(t, set.Complete())
}

// A peer that was partitioned, or a stale read of the store, sends a record that
// has been deleted meanwhile. If it were restored, the account's old key would
// work again.
func TestStaleVersionsDoNotRestoreDeletedRecords(t *testing.T) {
	old := record("accounts/demo", 5, "gold k1")
	list := []config.Record{record("accounts/other", 8, "gold k2")}
	set := newCompleteSet(baseRecords()...)
	set.ApplyList(catalog.RecordAccounts, list, 20)
	fresh := config.New(decodeShortSpec)
	fresh.ApplyList(catalog.RecordAccounts, list, 20)
	earlier := newCompleteSet(record("accounts/demo", 3, "-"))
	earlier.ApplyList(catalog.RecordAccounts, list, 20)
	fromPeer := newCompleteSet(baseRecords()...)
	fromPeer.ApplyList(catalog.RecordAccounts, append(list, record("accounts/demo", 3, "-")), 20)
	sets := map[string]*config.Set{"that received the delete": set, "that never held the record": fresh,
		"that holds an earlier delete": earlier, "whose peer holds an earlier delete": fromPeer}
	for name, s := range sets {
		s.Apply([]config.Record{old})
		s.ApplyList(catalog.RecordAccounts, []config.Record{old}, 10)
		r, known := s.Get(old.Key)
		assert.True(t, !known || r.Newest.Deleted, name)
		_, known = s.Get(list[0].Key)
		assert.True(t, known, name)
	}
}

// A list is read, then an account is created and arrives by the watch, then the
// list is applied. The new account must not be deleted because it is missing from
// the older list.
func TestListDeletesOnlyOlderRecords(t *testing.T) {
	set := newCompleteSet(baseRecords()...)
	set.Apply([]config.Record{record("accounts/young", 30, "gold k3")})
	set.ApplyList(catalog.RecordAccounts, nil, 20)
	demo, _ := set.Get(key("accounts/demo"))
	young, _ := set.Get(key("accounts/young"))
	assert.True(t, demo.Newest.Deleted)
	assert.False(t, young.Newest.Deleted)
}

// Operators create and delete records for years. The number of tombstones must
// stay bounded, and a peer must not be able to restore a record whose tombstone was
// pruned.
func TestTombstonesAreBounded(t *testing.T) {
	set := newCompleteSet(baseRecords()...)
	for i := range uint64(3 * config.MaxTombstones) {
		name := "accounts/a" + strconv.FormatUint(i, 10)
		set.Apply([]config.Record{record(name, 100+2*i, "gold x"+name), record(name, 101+2*i, "-")})
	}
	assert.LessOrEqual(t, set.Len(), config.MaxTombstones+len(baseRecords()))
	set.Apply([]config.Record{record("accounts/a0", 100, "gold k7")})
	_, known := set.Get(key("accounts/a0"))
	assert.False(t, known, "the old version must stay refused after its tombstone was pruned")
}

func TestRecordsPages(t *testing.T) {
	set := newCompleteSet(baseRecords()...)
	var seen []string
	cursor, more := config.Cursor{}, true
	for more {
		var page []config.Record
		page, cursor, more = set.Records(cursor, config.PageLimit{Records: 2, Bytes: 1 << 20}, config.AllBuckets)
		require.NotEmpty(t, page)
		for _, r := range page {
			seen = append(seen, string(r.Kind)+"/"+r.Name)
		}
	}
	assert.Equal(t, []string{"pools/p", "tiers/gold", "tiers/batch", "pipelines/chat", "accounts/demo"}, seen)
	page, _, more := set.Records(config.Cursor{Revision: 5}, config.PageLimit{Records: 9, Bytes: 1}, config.AllBuckets)
	assert.Len(t, page, 1)
	assert.False(t, more)
}
