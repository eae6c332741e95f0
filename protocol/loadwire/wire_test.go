package loadwire

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// If a part of the digest is moved or loads are packed in a different order, another
// build refuses the digest, or routes by the loads of the wrong targets and pools.
func TestBytesOfLoadDigest(t *testing.T) {
	var pool tiers.Digest
	pool.Ranks[0] = tiers.RankLoad{InFlight: 1, Demand: 3}
	pool.Ranks[1] = tiers.RankLoad{InFlight: 7, Demand: 15}
	body, err := Encode(Digest{
		Targets: []routing.DigestEntry{{TargetHash: 0x01020304, InFlight: 5}, {TargetHash: 0x06070809, InFlight: routing.Suspected}},
		Pools:   map[string]tiers.Digest{"pool": pool},
	}, testLimit)
	require.NoError(t, err)
	require.Equal(t, "93c40c01020304000506070809ffffc40989dadb830208101820c3", hex.EncodeToString(body))
}
