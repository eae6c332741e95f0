package cluster

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	protocol "github.com/ivyhollow/ivyhollow/protocol/peer"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// recordLimit is the time in which a configuration has to be in force on all instances.
const recordLimit = 2 * time.Second

// randomBody returns a body that can't be compressed.
func randomBody(size int) []byte {
	body := make([]byte, size)
	rng := rand.NewChaCha8([32]byte{1})
	_, _ = rng.Read(body) // never fails
	return body
}

// Guards against a configuration of the largest size that the platform accepts staying with the
// instances that read it from the store.
func TestRecordOfMaxSizeReachesAllInstances(t *testing.T) {
	all := startMany(t, 12, nil)
	await(t, all, "all see all", hasLive(12))
	body := randomBody(platformapi.MaxValueBytes)
	for revision := uint64(1); revision <= 3; revision++ {
		ctx, cancel := context.WithTimeout(t.Context(), recordLimit)
		body[0] = byte(revision)
		put := spread.Record{Kind: "config", Name: "current", Revision: revision, Body: append([]byte(nil), body...)}
		all[0].Put(put)
		for _, i := range all {
			require.Equal(t, revision, awaitRecord(ctx, i, put).Revision, "%s has not received the record", i.Self().Name)
		}
		cancel()
	}
}

// awaitRecord waits for a revision of a record at an instance. It returns an empty record if the
// context ends first.
func awaitRecord(ctx context.Context, i *instance, want spread.Record) spread.Record {
	for {
		select {
		case r := <-i.records:
			if r.Revision == want.Revision && string(r.Body) == string(want.Body) {
				return r
			}
		case <-ctx.Done():
			return spread.Record{}
		}
	}
}

// Guards against a record that never arrives because later revisions replace it at its source faster
// than it can be fetched.
func TestReplacedRevisionIsFetchedToItsEnd(t *testing.T) {
	c := start(t, "i000", 1, "127.0.0.1:0", nil)
	put := func(revision uint64) {
		c.Put(spread.Record{Kind: "config", Name: "current", Revision: revision, Body: randomBody(3 * partBytes)})
	}
	part := func(revision uint64, offset int) (partResponse, error) {
		return c.fetchPart(c.Self().Address, partRequest{"config", "current", revision, offset})
	}
	put(1)
	first, err := part(1, 0)
	require.NoError(t, err)
	put(2)
	_, err = part(2, 0)
	require.NoError(t, err)
	rest, err := part(1, len(first.Part))
	require.NoError(t, err)
	require.Equal(t, uint64(1), rest.Revision)
	for revision := uint64(3); revision < 3+maxEncodings; revision++ {
		put(revision)
		_, err = part(revision, 0)
		require.NoError(t, err)
	}
	require.Len(t, c.encodings.entries, maxEncodings)
	_, err = part(1, len(first.Part))
	require.ErrorContains(t, err, errNotHeld.Error())
	_, err = part(99, 0)
	require.ErrorContains(t, err, errNotHeld.Error())
}

// Guards against an instance of the version before that misses each large record during a rollout.
func TestOlderVersionGetsLargeRecordsPushed(t *testing.T) {
	c := start(t, "i000", 1, "127.0.0.1:0", nil)
	for name, c2 := range map[string]struct{ size, pushed int }{
		"that it accepts": {maxPushedBytes, 1}, "too large for it": {maxPushedBytes + 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.Put(spread.Record{Kind: "config", Name: name, Revision: 1, Body: randomBody(c2.size)})
			push := c.pushInstead(&spread.Offers{Offers: []spread.Offer{{Kind: "config", Name: name, Revision: 1}}})
			require.Len(t, push.Records, c2.pushed)
			_, err := protocol.Encode(push)
			require.NoError(t, err)
		})
	}
}
