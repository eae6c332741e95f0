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
	r := rec(path, revision, spec)
	r.Accepted = true
	return r
}

// Two operators write at once: one makes a tier faster, one a pipeline slower.
// Each fits alone. An instance that hears of the tier first refuses the
// pipeline, another one the tier, and each would keep to its own for ever.
func TestInstancesThatJudgedInDifferentOrdersAgree(t *testing.T) {
	tier, pipeline := rec("tiers/gold", 10, "600"), rec("pipelines/chat", 11, "p 900")
	a, b := complete(base()...), complete(base()...)
	a.Apply([]config.Record{tier})
	a.Apply([]config.Record{pipeline})
	b.Apply([]config.Record{pipeline})
	b.Apply([]config.Record{tier})
	assert.False(t, a.Digest().Same(b.Digest()))
	exchange(a, b)
	exchange(b, a)
	assert.True(t, a.Digest().Same(b.Digest()))
	assert.Equal(t, a.BucketSums(), b.BucketSums())
	assert.Equal(t, content(a.Snapshot()), content(b.Snapshot()))
}

// An instance starts from the store, where a tier is gone that accounts still
// use. Without the spec that its peers keep it would refuse these callers.
func TestSpecOfADeletedTierComesFromPeers(t *testing.T) {
	gone := rec("tiers/gold", 30, "-")
	peer := complete(base()...)
	peer.Apply([]config.Record{gone})
	kept, _ := peer.Get(gone.Key)
	for name, news := range map[string]config.Record{
		"from its tombstone": kept, "from an old live version": accepted("tiers/gold", 2, "1000"),
	} {
		set := complete(base()[0], base()[2], gone, accepted("accounts/demo", 5, "gold k1"))
		set.Apply([]config.Record{news})
		_, ok := set.Snapshot().Tier("gold")
		assert.True(t, ok, name)
		_, _, _ = set.Apply([]config.Record{rec("accounts/demo", 31, "batch k1")})
		_, ok = set.Snapshot().Tier("gold")
		assert.False(t, ok, name)
	}
}

// Two operators give one key to two accounts at once, and each is accepted
// somewhere. Instances that disagreed would charge the caller to either.
func TestOneKeyOfTwoAccountsBelongsToOneEverywhere(t *testing.T) {
	a, b := accepted("accounts/a", 10, "gold k9"), accepted("accounts/b", 11, "gold k9")
	for _, order := range [][]config.Record{{a, b}, {b, a}} {
		set := complete(base()...)
		set.Apply(order[:1])
		_, snapshot, _ := set.Apply(order[1:])
		owner, ok := snapshot.AccountByKey(sha256.Sum256([]byte("k9")))
		require.True(t, ok)
		assert.Equal(t, "a", owner.Name)
		_, snapshot, _ = set.Apply([]config.Record{rec("accounts/a", 12, "gold k8")})
		owner, ok = snapshot.AccountByKey(sha256.Sum256([]byte("k9")))
		require.True(t, ok)
		assert.Equal(t, "b", owner.Name)
	}
}

// An instance that starts while nobody else runs finds two records of which
// only one fits. It must choose the one that was written first, as the
// instances before it did, whatever the order of the lists.
func TestFirstWrittenIsJudgedFirst(t *testing.T) {
	for range 20 {
		set := config.New(decodeWords)
		set.ApplyList(catalog.RecordPools, []config.Record{rec("pools/p", 1, "x")}, 20)
		set.ApplyList(catalog.RecordPipelines, []config.Record{rec("pipelines/chat", 11, "p 900")}, 20)
		set.ApplyList(catalog.RecordAccounts, nil, 20)
		set.ApplyList(catalog.RecordTiers, []config.Record{rec("tiers/gold", 10, "600")}, 20)
		v, _ := set.Verdict(key("pipelines/chat"))
		require.False(t, v.Accepted)
		_, ok := set.Snapshot().Tier("gold")
		require.True(t, ok)
	}
}
