package examples_test

import (
	"crypto/sha256"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/record"
)

// Checks that the current validation accepts the example files, alone and together.
func TestExamplesAreAcceptedTogether(t *testing.T) {
	files, err := filepath.Glob("*.json")
	require.NoError(t, err)
	require.Len(t, files, 5)
	set := config.New(record.Decode)
	for _, kind := range config.Kinds {
		set.ApplyList(kind, nil, 0)
	}
	var batch []config.Record
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		documents, faults := record.ParseFile(text)
		require.Empty(t, faults, file)
		_, faults = record.Check(documents)
		require.Empty(t, faults, file)
		for _, doc := range documents {
			key := config.Key{Kind: doc.Kind, Name: doc.Object.Metadata.Name}
			batch = append(batch, config.LiveRecord(key, uint64(len(batch)+1), doc.Object.Spec))
		}
	}
	_, snapshot, verdicts := set.Apply(batch)
	assert.Len(t, verdicts, len(batch))
	for _, v := range verdicts {
		assert.True(t, v.Accepted, "%v: %s", v.Key, v.Reason)
	}
	demo, ok := snapshot.AccountByKey(sha256.Sum256([]byte("demo-key")))
	require.True(t, ok)
	assert.Equal(t, "gold", demo.Tier)
	for _, version := range []int{record.PipelineV1, record.PipelineV2} {
		p, ok := snapshot.Pipeline("dossier", version)
		require.True(t, ok)
		assert.True(t, p.Repeatable())
		assert.Len(t, p.Stages, 4)
	}
	order, ok := snapshot.Pipeline("work-order", 0)
	require.True(t, ok)
	assert.False(t, order.Repeatable())
}
