package loadwire

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

const testLimit = 128

// If many pools and targets are busy, the digest must still be sent, or instances
// would have no news of one another while they contend for targets. Decoded values
// must equal the encoded ones; for loads of pools, load+1 must be within one part in
// twenty.
func TestDigestFitsAndRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Digest{Pools: map[string]tiers.Digest{}}
		for i := range rapid.IntRange(0, 128).Draw(t, "targets") {
			in.Targets = append(in.Targets, routing.DigestEntry{TargetHash: uint32(i) << 20, InFlight: uint16(65535 - i)})
		}
		for i := range rapid.IntRange(0, 30).Draw(t, "pools") {
			var d tiers.Digest
			for r := range rapid.IntRange(0, tiers.MaxRanks).Draw(t, "ranks") {
				d.Ranks[r] = tiers.RankLoad{InFlight: float32(rapid.IntRange(0, 9999).Draw(t, "in flight")), Demand: rapid.Float32Range(0, 9999).Draw(t, "demand")}
			}
			in.Pools[strconv.Itoa(i)] = d
		}
		body, err := Encode(in, testLimit)
		require.NoError(t, err)
		require.LessOrEqual(t, len(body), testLimit)
		out, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, in.Targets[:len(out.Targets)], append([]routing.DigestEntry(nil), out.Targets...))
		for name, sent := range in.Pools {
			received, known := out.Pool(name)
			if !known {
				require.Greater(t, len(body)+poolHeader+tiers.MaxRanks*rankSize, testLimit*poolSharePercent/100, "left out without need")
				continue
			}
			for r := range sent.Ranks {
				require.InEpsilon(t, sent.Ranks[r].InFlight+1, received.Ranks[r].InFlight+1, 0.05)
				require.InEpsilon(t, sent.Ranks[r].Demand+1, received.Ranks[r].Demand+1, 0.05)
			}
		}
	})
}

// A digest of typical size, with all pools and targets busy, must be sent complete
// and in order.
func TestTypicalDigestFits(t *testing.T) {
	in := Digest{Pools: map[string]tiers.Digest{"idle": {}}}
	for i := range 5 {
		var d tiers.Digest
		for r := range 3 {
			d.Ranks[r] = tiers.RankLoad{InFlight: 1, Demand: 1}
		}
		in.Pools[strconv.Itoa(i)] = d
	}
	for i := range 10 {
		in.Targets = append(in.Targets, routing.DigestEntry{TargetHash: uint32(i), InFlight: routing.Suspected})
	}
	body, err := Encode(in, testLimit)
	require.NoError(t, err)
	out, err := Decode(body)
	require.NoError(t, err)
	require.Equal(t, in.Targets, out.Targets)
	for name, sent := range in.Pools {
		received, known := out.Pool(name)
		require.True(t, known, name)
		require.Equal(t, sent, received)
	}
}

// A digest of another release or of a faulty peer must not crash the instance, and
// must not be used in part for routing.
func TestDecodeRejectsInvalidDigests(t *testing.T) {
	short := func(targets, pools string) []byte {
		body := append([]byte{0x93, 0xc4, byte(len(targets))}, targets...)
		return append(append(append(body, 0xc4, byte(len(pools))), pools...), 0xc3)
	}
	_, err := Decode(short("", ""))
	require.NoError(t, err)
	for _, bad := range [][]byte{
		nil, {0xc1}, []byte("text"), {0x93, 0x91, 0x01, 0x90, 0x90},
		short("abc", ""), short("", "abc"), short("", "hash\x03ab"), short("", "hash\x09aabbccddeeffgghhii"),
	} {
		_, err := Decode(bad)
		require.Error(t, err)
	}
}
