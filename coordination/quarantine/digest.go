// Package quarantine decides which requests are refused because they crash the targets
// that run them.
//
// A request is identified by a digest of what its repetitions have in common. An instance
// that sees a target end during a request records a Crash. The records are gossiped among
// the instances. Enough of them, at different times and without a run in between that ended
// well, block the request on all instances for some time.
//
// Table is a pure state machine: time is an argument, and records to send are returned. It
// is not safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// digestSize is the size of a digest in bytes.
const digestSize = 16

// Digest identifies the content of a request. The content can't be recovered from it.
type Digest [digestSize]byte

// DigestOf returns the digest of a request: of its host, its path with the query, the client
// account and the body. It covers neither the request ID nor any other header.
func DigestOf(host, path, account string, body []byte) Digest {
	h := sha256.New()
	writeTexts(h, host, path, account)
	h.Write(body)
	return Digest(h.Sum(nil)[:digestSize])
}

// DigestOfPart returns the digest of a part of the prompts that are sent to a service.
func DigestOfPart(service, id string) Digest {
	h := sha256.New()
	writeTexts(h, "part", service, id)
	return Digest(h.Sum(nil)[:digestSize])
}

// writeTexts hashes texts such that no two lists of texts join to the same bytes.
func writeTexts(h hash.Hash, texts ...string) {
	for _, text := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
}

// String returns the digest in hexadecimal, as it appears in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Texts returns digests as they appear in logs.
func Texts(digests []Digest) []string {
	texts := make([]string, 0, len(digests))
	for _, digest := range digests {
		texts = append(texts, digest.String())
	}
	return texts
}
