// Package rendezvous implements rendezvous hashing (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998). Instances that know the
// same candidates choose the same ones for a key without communication, and few choices
// change when a candidate is added or removed.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the score of a candidate for a key. Callers choose the candidates with the
// highest scores. The score is the same in every process; Score allocates nothing.
func Score(candidate, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(candidate)
	_, _ = d.Write([]byte{0}) // keeps ("ab", "c") apart from ("a", "bc")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
