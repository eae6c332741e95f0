package loadwire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

func TestDigestSurvivesTheWire(t *testing.T) {
	in := Digest{Pools: map[string]tiers.Digest{"engines": {}, "idle": {}}}
	for i := range 128 {
		in.Targets = append(in.Targets, routing.DigestEntry{TargetHash: uint32(i) << 20, InFlight: uint16(i)})
	}
	load := in.Pools["engines"]
	load.Ranks[0] = tiers.RankLoad{InFlight: 3, Demand: 4.5}
	load.Ranks[2] = tiers.RankLoad{Demand: 1}
	in.Pools["engines"] = load
	body, err := Encode(in)
	require.NoError(t, err)
	out, err := Decode(body)
	require.NoError(t, err)
	require.Equal(t, in, out)
}

// A peer of another release, or a broken one, must not crash the instance nor
// make it route by half a digest.
func TestDecodeRefusesWhatIsNoDigest(t *testing.T) {
	for _, bad := range [][]byte{nil, {0xc1}, []byte("text"), {0x93, 0x91, 0x01, 0x90, 0x90}} {
		_, err := Decode(bad)
		require.Error(t, err)
	}
}
