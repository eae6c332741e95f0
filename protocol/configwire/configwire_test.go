package configwire_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
)

func TestRecordsRoundTrip(t *testing.T) {
	key := config.Key{Kind: "tiers", Name: "gold"}
	tombstone := config.TombstoneRecord(key, 9)
	tombstone.Newest.Spec, tombstone.Newest.SpecRevision = []byte(`{"rank":1}`), 7
	refused := config.LiveRecord(key, 8, []byte(`{"rank":0}`))
	refused.InForce = config.Version{Revision: 5, SpecRevision: 5, Spec: []byte(`{}`)}
	accepted := config.LiveRecord(key, 6, []byte(`{}`))
	accepted.Accepted = true
	for _, want := range []config.Record{tombstone, refused, accepted} {
		body, err := configwire.EncodeRecord(want)
		require.NoError(t, err)
		assert.NotContains(t, string(body), "SpecRevision", "field names must not be sent")
		got, err := configwire.DecodeRecord(body)
		require.NoError(t, err)
		assert.Equal(t, want, got)
		for cut := range body {
			_, err := configwire.DecodeRecord(body[:cut])
			assert.Error(t, err, "a record cut short must not count")
		}
	}
	cursor := config.Cursor{Revision: 4, Key: key}
	assert.Equal(t, cursor, configwire.RequestAfter(cursor).Cursor())
}
