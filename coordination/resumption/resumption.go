// Package resumption decides at which software version of its targets a stream may go on that its caller
// takes up again.
//
// What targets of two software versions write doesn't fit together, so a stream may go on only at the
// version that began it. The caller names its earlier attempt; which version that one began at is known
// from a record (Table), or because the service has had only one version for as long as a stream may
// last (History). What is known in neither way is not guessed.
//
// The package is pure: time is an argument. Its types are not safe for concurrent use.
package resumption

import (
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Lifetime is the time in which a caller may take a stream up again, from its first event. It is
// longer than the deadlines of callers.
const Lifetime = time.Minute

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the targets.
	Version string
}

// Hash identifies a stream in records. The streams that one instance has records of are few against its range, so
// that two of them hardly ever share one.
type Hash uint64

// HashSize is the length of an encoded Hash in bytes.
const HashSize = 5

// HashOf returns the hash of the id of the caller's attempt that began a stream. It must not change: instances of two
// releases exchange records by it.
func HashOf(id string) Hash { return Hash(rendezvous.Score("stream", id) % (1 << (8 * HashSize))) }

// Append appends the encoded hash.
func (h Hash) Append(b []byte) []byte {
	for i := range HashSize {
		b = append(b, byte(h>>(8*i)))
	}
	return b
}

// DecodeHashes returns the hashes that Append has encoded. What follows the last whole one is left out.
func DecodeHashes(b []byte) []Hash {
	hashes := make([]Hash, 0, len(b)/HashSize)
	for ; len(b) >= HashSize; b = b[HashSize:] {
		var h Hash
		for i := range HashSize {
			h |= Hash(b[i]) << (8 * i)
		}
		hashes = append(hashes, h)
	}
	return hashes
}

// KeyCount is the number of keys over which the records of streams are spread. It bounds the instances that one
// instance sends records to, whatever the size of the fleet.
const KeyCount = 32

// Key returns the key whose owners keep the record of a stream, and its number from 0. It must not change:
// instances of two releases would look for a record at different ones.
func (h Hash) Key() (key string, number int) {
	number = int(h % KeyCount)
	return "streams/" + strconv.Itoa(number), number
}
