// Package loadwire is the form of the load digest that an instance spreads to
// its peers. Its size is bounded by the bounds of its parts.
package loadwire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// MaxPools bounds the pools in one digest.
const MaxPools = 64

type wire struct {
	// Hashes and InFlight are the targets' entries, in step.
	Hashes   []uint32
	InFlight []uint16
	Pools    []poolLoad
}

type poolLoad struct {
	Pool string
	// InFlight and Demand hold a value for each rank up to the last in use.
	InFlight []float32
	Demand   []float32
}

// Digest is one instance's load.
type Digest struct {
	Targets []routing.DigestEntry
	Pools   map[string]tiers.Digest
}

// Encode writes a digest.
func Encode(d Digest) ([]byte, error) {
	w := wire{
		Hashes:   make([]uint32, len(d.Targets)),
		InFlight: make([]uint16, len(d.Targets)),
	}
	for i, entry := range d.Targets {
		w.Hashes[i] = entry.TargetHash
		w.InFlight[i] = entry.InFlight
	}
	for pool, load := range d.Pools {
		if len(w.Pools) == MaxPools {
			break
		}
		w.Pools = append(w.Pools, encodePool(pool, load))
	}
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseArrayEncodedStructs(true) // names of fields would double its size
	err := encoder.Encode(&w)
	return body.Bytes(), errors.Wrap(err, "encode load digest")
}

func encodePool(pool string, load tiers.Digest) poolLoad {
	p := poolLoad{Pool: pool}
	last := -1
	for rank, r := range load.Ranks {
		if r.InFlight > 0 || r.Demand > 0 {
			last = rank
		}
	}
	for _, r := range load.Ranks[:last+1] {
		p.InFlight = append(p.InFlight, r.InFlight)
		p.Demand = append(p.Demand, r.Demand)
	}
	return p
}

// Decode reads a digest.
func Decode(body []byte) (Digest, error) {
	var w wire
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return Digest{}, errors.Wrap(err, "decode load digest")
	}
	if len(w.Hashes) != len(w.InFlight) || len(w.Pools) > MaxPools {
		return Digest{}, errors.New("decode load digest: lists out of step")
	}
	d := Digest{Pools: make(map[string]tiers.Digest, len(w.Pools))}
	for i, hash := range w.Hashes {
		d.Targets = append(d.Targets, routing.DigestEntry{TargetHash: hash, InFlight: w.InFlight[i]})
	}
	for _, p := range w.Pools {
		d.Pools[p.Pool] = decodePool(p)
	}
	return d, nil
}

func decodePool(p poolLoad) tiers.Digest {
	var load tiers.Digest
	for rank := range min(len(p.InFlight), len(p.Demand), tiers.MaxRanks) {
		load.Ranks[rank] = tiers.RankLoad{InFlight: p.InFlight[rank], Demand: p.Demand[rank]}
	}
	return load
}
