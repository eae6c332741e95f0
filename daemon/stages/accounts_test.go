package stages

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Guards operators against an instance that shows nothing of the accounts that compete at another one, and
// against a holder of an earlier version that is taken for one without load.
func TestAccountSharesComeFromTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		c.members[1].Capacity = 10 // the largest holds the queue
		s := startStagesWith(t, c, gather.Config{AccountSharing: true})
		want := []gather.AccountShare{{Service: "a", Account: "large", Demand: 3, Share: 2, Waiting: 1.5}}
		c.respond = func(_ context.Context, _, method string, _ []byte) ([]byte, error) {
			require.Equal(t, methodAccounts, method)
			return encode(want)
		}
		holder, shares, err := s.AccountShares(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, shares)

		c.respond = func(context.Context, string, string, []byte) ([]byte, error) { return nil, peer.ErrNoMethod }
		name, shares, err := s.AccountShares(t.Context())
		require.ErrorIs(t, err, peer.ErrNoMethod)
		require.Empty(t, shares)
		require.Equal(t, holder, name)

		c.respond = func(ctx context.Context, _, _ string, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		start := time.Now()
		_, _, err = s.AccountShares(t.Context())
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, accountsTimeout, time.Since(start))

		body, err := s.handleAccounts(t.Context(), peer.Peer{}, nil)
		require.NoError(t, err)
		require.Equal(t, []byte{0xc0}, body, "no accounts compete here")
	})
}
