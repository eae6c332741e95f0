package loadwire

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// Sizes of the packed parts, in bytes.
const (
	// targetSize is the size of a target's hash and its requests in flight.
	targetSize = 4 + 2
	// poolHeader is the size of a pool's hash and the number of its ranks.
	poolHeader = 4 + 1
	// rankSize is the size of the codes of requests in flight and of demand.
	rankSize = 2
	// msgpackOverhead is an upper bound on the bytes that msgpack adds to the two
	// packed parts.
	msgpackOverhead = 8
)

// hashPool returns the hash that replaces a pool's name, since names would take up
// most of the digest.
func hashPool(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// packPools packs the pools in descending order of demand as far as they fit into
// limit bytes, and reports whether all did.
func packPools(pools map[string]tiers.Digest, limit int) (packed []byte, complete bool) {
	names := slices.SortedFunc(maps.Keys(pools), func(a, b string) int {
		return cmp.Or(cmp.Compare(totalDemand(pools[b]), totalDemand(pools[a])), cmp.Compare(a, b))
	})
	complete = true
	for _, name := range names {
		load := pools[name]
		ranks := ranksInUse(load)
		if ranks == 0 {
			continue
		}
		if len(packed)+poolHeader+ranks*rankSize > limit {
			complete = false
			continue
		}
		packed = binary.BigEndian.AppendUint32(packed, hashPool(name))
		packed = append(packed, byte(ranks))
		for _, r := range load.Ranks[:ranks] {
			packed = append(packed, packLoad(r.InFlight), packLoad(r.Demand))
		}
	}
	return packed, complete
}

func totalDemand(d tiers.Digest) float32 {
	sum := float32(0)
	for _, r := range d.Ranks {
		sum += max(r.InFlight, r.Demand)
	}
	return sum
}

// ranksInUse returns the number of ranks up to the last that has any load.
func ranksInUse(d tiers.Digest) int {
	for rank := len(d.Ranks); rank > 0; rank-- {
		if r := d.Ranks[rank-1]; r.InFlight > 0 || r.Demand > 0 {
			return rank
		}
	}
	return 0
}

// unpackPools returns the pools by the hashes of their names.
func unpackPools(packed []byte) (map[uint32]tiers.Digest, error) {
	out := make(map[uint32]tiers.Digest, len(packed)/(poolHeader+rankSize))
	for len(packed) > 0 {
		if len(packed) < poolHeader {
			return nil, errBadLength
		}
		hash, ranks := binary.BigEndian.Uint32(packed), int(packed[4])
		packed = packed[poolHeader:]
		if ranks > tiers.MaxRanks || len(packed) < ranks*rankSize {
			return nil, errBadLength
		}
		var d tiers.Digest
		for r := range ranks {
			d.Ranks[r] = tiers.RankLoad{InFlight: unpackLoad(packed[r*rankSize]), Demand: unpackLoad(packed[r*rankSize+1])}
		}
		out[hash] = d
		packed = packed[ranks*rankSize:]
	}
	return out, nil
}

// packTargets packs entries in their order as far as they fit into limit bytes.
func packTargets(entries []routing.DigestEntry, limit int) []byte {
	n := min(len(entries), max(limit, 0)/targetSize)
	out := make([]byte, 0, n*targetSize)
	for _, e := range entries[:n] {
		out = binary.BigEndian.AppendUint32(out, e.TargetHash)
		out = binary.BigEndian.AppendUint16(out, e.InFlight)
	}
	return out
}

func unpackTargets(packed []byte) ([]routing.DigestEntry, error) {
	if len(packed)%targetSize != 0 {
		return nil, errBadLength
	}
	out := make([]routing.DigestEntry, 0, len(packed)/targetSize)
	for ; len(packed) > 0; packed = packed[targetSize:] {
		out = append(out, routing.DigestEntry{
			TargetHash: binary.BigEndian.Uint32(packed),
			InFlight:   binary.BigEndian.Uint16(packed[4:]),
		})
	}
	return out, nil
}

// codesPerDoubling is the number of codes per doubling of a load.
const codesPerDoubling = 8

// packLoad encodes the logarithm of load+1 in one byte. It rounds load+1 by at most
// 4.5% (2^(1/16)-1). Thus 0 and 1 are exact and other whole loads have an error of at
// most one part in twenty, but the share is larger for fractional loads below 8. The
// largest code, 255, stands for 3.9e9; larger loads get it too.
func packLoad(load float32) byte {
	code := math.Round(codesPerDoubling * math.Log2(1+float64(max(load, 0))))
	return byte(min(code, math.MaxUint8))
}

func unpackLoad(code byte) float32 { return float32(math.Exp2(float64(code)/codesPerDoubling) - 1) }
