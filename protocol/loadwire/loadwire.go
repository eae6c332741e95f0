// Package loadwire is the form of the load digest that an instance spreads to
// its peers. A digest is cut to a bound of bytes: an instance hears of hundreds
// of others, and pays for each byte of a digest as often.
package loadwire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// poolShare is the part of a digest, in percent, that pools may fill while
// targets wait. What one part leaves, the other may use.
const poolSharePercent = 60

// errShort says that a packed part ends too early, or is too long.
var errBadLength = errors.New("load digest: parts of a wrong length")

type packedDigest struct {
	Targets []byte
	Pools   []byte
	// Whole says that no pool with any load was left out.
	Complete bool
}

// Digest is one instance's load.
type Digest struct {
	// Targets are in the order of their weight, the first being kept longest.
	Targets []routing.DigestEntry
	Pools   map[string]tiers.Digest
}

// Received is a peer's digest. It names pools by hash.
type ReceivedDigest struct {
	Targets  []routing.DigestEntry
	pools    map[uint32]tiers.Digest
	complete bool
}

// Pool returns the load of a pool, false if the digest had no room for it.
func (r *ReceivedDigest) Pool(name string) (tiers.Digest, bool) {
	d, ok := r.pools[hashPool(name)]
	return d, ok || r.complete
}

// Encode writes a digest in at most limit bytes. It leaves out the last targets
// and the pools of least demand that don't fit. Loads of pools are rounded, to
// one part in twenty.
//
// Guard: the spread drops a digest over its bound, so that under load, when
// there is most to tell, peers would hear nothing at all.
func Encode(d Digest, limit int) ([]byte, error) {
	room := limit - msgpackOverhead
	wanted := len(d.Targets) * targetSize
	pools, whole := packPools(d.Pools, max(room*poolSharePercent/100, room-wanted))
	w := packedDigest{Targets: packTargets(d.Targets, room-len(pools)), Pools: pools, Complete: whole}
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseArrayEncodedStructs(true) // names of fields would take room
	err := encoder.Encode(&w)
	return body.Bytes(), errors.Wrap(err, "encode load digest")
}

// Decode reads a digest.
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
