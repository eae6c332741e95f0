// Package loadwire is the encoding of the load digest that an instance gossips to
// its peers. The size of a digest is limited: an instance receives the digests of
// hundreds of others, so it receives each byte of a digest hundreds of times.
package loadwire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// poolSharePercent is the percentage of a digest that pools may use if targets need
// the remainder. Space that one of the two leaves free is available to the other.
const poolSharePercent = 60

// errBadLength means that a packed part is too short or too long.
var errBadLength = errors.New("load digest: parts of a wrong length")

// packedDigest is the digest on the wire, sent as an array of its fields.
type packedDigest struct {
	Targets []byte
	Pools   []byte
	// Complete reports that no pool with any load was left out.
	Complete bool
}

// Digest is the load of one instance.
type Digest struct {
	// Targets is in descending order of importance: the last entries are left out
	// first.
	Targets []routing.DigestEntry
	Pools   map[string]tiers.Digest
}

// ReceivedDigest is the digest of a peer. It identifies pools by hash.
type ReceivedDigest struct {
	Targets  []routing.DigestEntry
	pools    map[uint32]tiers.Digest
	complete bool
}

// Pool returns the load of a pool, and false if the pool may have been left out of
// the digest for lack of space.
func (r *ReceivedDigest) Pool(name string) (tiers.Digest, bool) {
	d, ok := r.pools[hashPool(name)]
	return d, ok || r.complete
}

// Encode encodes a digest in at most limit bytes. It leaves out the last targets
// and the pools of least demand that don't fit. Loads of pools are rounded, with an
// error of at most one part in twenty of load+1.
//
// Gossip drops a digest above its size limit. Without the limit here, peers would
// receive nothing at all under load, when digests are largest.
func Encode(d Digest, limit int) ([]byte, error) {
	space := limit - msgpackOverhead
	wanted := len(d.Targets) * targetSize
	pools, complete := packPools(d.Pools, max(space*poolSharePercent/100, space-wanted))
	w := packedDigest{Targets: packTargets(d.Targets, space-len(pools)), Pools: pools, Complete: complete}
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseArrayEncodedStructs(true) // field names would take up space
	err := encoder.Encode(&w)
	return body.Bytes(), errors.Wrap(err, "encode load digest")
}

// Decode decodes a digest.
func Decode(body []byte) (ReceivedDigest, error) {
	var w packedDigest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return ReceivedDigest{}, errors.Wrap(err, "decode load digest")
	}
	pools, err := unpackPools(w.Pools)
	if err != nil {
		return ReceivedDigest{}, errors.Wrap(err, "decode pools")
	}
	targets, err := unpackTargets(w.Targets)
	return ReceivedDigest{Targets: targets, pools: pools, complete: w.Complete}, errors.Wrap(err, "decode targets")
}
