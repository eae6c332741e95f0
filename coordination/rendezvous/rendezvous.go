// Package rendezvous scores candidates for a key, so that instances which know
// the same candidates choose the same ones without a word, and few choices
// change when a candidate comes or goes (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score is the score of a candidate for a key; the highest are chosen. It is
// the same in every process and allocates nothing.
func Score(candidate, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(candidate)
	_, _ = d.Write([]byte{0}) // keeps ("ab", "c") apart from ("a", "bc")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
