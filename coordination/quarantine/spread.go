package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// passOn has a record passed on to other instances.
func (t *Table) passOn(r *record) {
	r.copies = 0
	if !slices.Contains(t.toSend, r) {
		t.toSend = append(t.toSend, r)
	}
	if len(t.toSend) > maxToSend {
		t.toSend = t.toSend[1:] // samples find it
	}
}

// maxToSend bounds the records that are passed on at once. The others are found by samples.
const maxToSend = 1024

// News returns records that were not passed on often enough, at most limit; copies is how
// often is enough. It counts them as passed on.
func (t *Table) News(now time.Time, limit, copies int) []Crash {
	slices.SortStableFunc(t.toSend, func(a, b *record) int { return a.copies - b.copies })
	n := min(limit, len(t.toSend))
	news := make([]Crash, 0, n)
	for _, r := range t.toSend[:n] {
		r.copies++
		news = append(news, r.crash(now))
	}
	t.toSend = slices.DeleteFunc(t.toSend, func(r *record) bool { return r.copies >= copies })
	return news
}

// HasNews tells whether News would return any.
func (t *Table) HasNews() bool { return len(t.toSend) > 0 }

// Sample returns records of up to limit, by which another instance learns what it missed:
// those of blocked requests first, then others in turn.
func (t *Table) Sample(now time.Time, limit int) []Crash {
	var held, others []Digest
	for _, digest := range t.inTurn() {
		if t.verdict(now, t.requests[digest]).State == Allowed {
			others = append(others, digest)
		} else {
			held = append(held, digest)
		}
	}
	return t.sampleOf(now, append(held, others...), limit)
}

// inTurn returns all digests in their order, beginning where the latest sample ended.
func (t *Table) inTurn() []Digest {
	digests := slices.SortedFunc(maps.Keys(t.requests), compareDigests)
	start, _ := slices.BinarySearchFunc(digests, t.next, compareDigests)
	return append(digests[start:], digests[:start]...)
}

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// sampleOf returns records of requests in their order, those of the latest crashes of each.
func (t *Table) sampleOf(now time.Time, digests []Digest, limit int) []Crash {
	var sample []Crash
	for _, digest := range digests {
		crashes := t.requests[digest].crashes
		for _, r := range slices.Backward(crashes) {
			if len(sample) == limit {
				t.next = digest
				return sample
			}
			sample = append(sample, r.crash(now))
		}
	}
	return sample
}

// crash returns the record as it is passed on.
func (r *record) crash(now time.Time) Crash {
	return Crash{Digest: r.digest, Target: r.target, Age: now.Sub(r.at), Cleared: r.cleared}
}
