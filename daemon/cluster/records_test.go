package cluster

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
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
