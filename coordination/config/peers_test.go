package config_test

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

func accepted(path string, revision uint64, spec string) config.Record {
	r := record(path, revision, spec)
	r.Accepted = true
	return r
}

// Two operators write at the same time: one shortens a tier's deadline, the other
// slows a pipeline. Each write is valid alone. An instance that receives the tier
// first refuses the pipeline; one that receives the pipeline first refuses the tier.
// Without an exchange they would disagree forever.
func TestInstancesThatEvaluateInDifferentOrdersConverge(t *testing.T) {
	tier, pipeline := record("tiers/gold", 10, "600"), record("pipelines/chat", 11, "p 900")
	a, b := newCompleteSet(baseRecords()...), newCompleteSet(baseRecords()...)
	a.Apply([]config.Record{tier})
	a.Apply([]config.Record{pipeline})
	b.Apply([]config.Record{pipeline})
	b.Apply([]config.Record{tier})
	assert.False(t, a.Digest().Same(b.Digest()))
	exchange(a, b)
	exchange(b, a)
	assert.True(t, a.Digest().Same(b.Digest()))
	assert.Equal(t, a.BucketSums(), b.BucketSums())
	assert.Equal(t, describe(a.Snapshot()), describe(b.Snapshot()))
}

// An instance starts from the store, in which a tier has been deleted although
// accounts still use it. The instance needs the tier's spec from its peers; without
// it, it would refuse the callers of these accounts.
func TestSpecOfADeletedTierComesFromPeers(t *testing.T) {
	deleted := record("tiers/gold", 30, "-")
	peer := newCompleteSet(baseRecords()...)
	peer.Apply([]config.Record{deleted})
	kept, _ := peer.Get(deleted.Key)
	for name, update := range map[string]config.Record{
		"from the tombstone": kept, "from an old live version": accepted("tiers/gold", 2, "1000"),
	} {
		set := newCompleteSet(baseRecords()[0], baseRecords()[2], deleted, accepted("accounts/demo", 5, "gold k1"))
		set.Apply([]config.Record{update})
		_, ok := set.Snapshot().Tier("gold")
		assert.True(t, ok, name)
		_, _, _ = set.Apply([]config.Record{record("accounts/demo", 31, "batch k1")})
		_, ok = set.Snapshot().Tier("gold")
		assert.False(t, ok, name)
	}
}

// Two operators give one key to two accounts at the same time, and each is accepted
// on some instance. If instances disagreed, they would charge the caller to
// different accounts.
func TestOneKeyOfTwoAccountsBelongsToOneEverywhere(t *testing.T) {
	a, b := accepted("accounts/a", 10, "gold k9"), accepted("accounts/b", 11, "gold k9")
	for _, order := range [][]config.Record{{a, b}, {b, a}} {
		set := newCompleteSet(baseRecords()...)
		set.Apply(order[:1])
		_, snapshot, _ := set.Apply(order[1:])
		owner, ok := snapshot.AccountByKey(sha256.Sum256([]byte("k9")))
		require.True(t, ok)
		assert.Equal(t, "a", owner.Name)
		_, snapshot, _ = set.Apply([]config.Record{record("accounts/a", 12, "gold k8")})
		owner, ok = snapshot.AccountByKey(sha256.Sum256([]byte("k9")))
		require.True(t, ok)
		assert.Equal(t, "b", owner.Name)
	}
}

// An instance starts while no other is running, and the lists that it reads contain
// two conflicting records. It must accept the one that was written first, as earlier
// instances did, whatever the order of the lists.
func TestFirstWrittenIsEvaluatedFirst(t *testing.T) {
	for range 20 {
		set := config.New(decodeShortSpec)
		set.ApplyList(catalog.RecordPools, []config.Record{record("pools/p", 1, "x")}, 20)
		set.ApplyList(catalog.RecordPipelines, []config.Record{record("pipelines/chat", 11, "p 900")}, 20)
		set.ApplyList(catalog.RecordAccounts, nil, 20)
		set.ApplyList(catalog.RecordTiers, []config.Record{record("tiers/gold", 10, "600")}, 20)
		v, _ := set.Verdict(key("pipelines/chat"))
		require.False(t, v.Accepted)
		_, ok := set.Snapshot().Tier("gold")
		require.True(t, ok)
	}
}
