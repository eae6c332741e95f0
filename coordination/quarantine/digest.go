// Package quarantine decides which requests are refused since they crash the targets that
// run them.
//
// A request is known by a digest of what its repeats have in common. An instance that sees
// a target end under a request records a Crash. The records spread among the instances;
// enough of them, at different times and without a run between them that ended well, block
// the request on all instances for a while. It is pure: time is an argument, records to
// pass on are returned. It is not safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the size of a digest in bytes.
const digestSize = 16

// Digest tells requests of different content apart. What it was made of can't be read
// back.
type Digest [digestSize]byte

// DigestOf returns the digest of a request: host and path with its query, the client
// account and the body. The id isn't part of it, and no other header is.
func DigestOf(host, path, account string, body []byte) Digest {
	h := sha256.New()
	for _, text := range []string{host, path, account} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:]) // so that no two lists of texts join to the same bytes
		h.Write([]byte(text))
	}
	h.Write(body)
	return Digest(h.Sum(nil)[:digestSize])
}

// String returns the digest in hexadecimal, as logs have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
