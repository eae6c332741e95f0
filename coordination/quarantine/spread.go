package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// passOn has a record passed on to other instances.
func (t *Table) enqueueGossip(r *record) {
	r.timesSent = 0
	if !slices.Contains(t.gossipQueue, r) {
		t.gossipQueue = append(t.gossipQueue, r)
	}
	if len(t.gossipQueue) > maxGossipQueue {
		t.gossipQueue = t.gossipQueue[1:] // samples find it
	}
}

// maxToSend bounds the records that are passed on at once. The others are found by samples.
const maxGossipQueue = 1024

// News returns records that were not passed on often enough, at most limit; copies is how
// often is enough. It counts them as passed on.
func (t *Table) Gossip(now time.Time, limit, copies int) []Crash {
	slices.SortStableFunc(t.gossipQueue, func(a, b *record) int { return a.timesSent - b.timesSent })
	n := min(limit, len(t.gossipQueue))
	news := make([]Crash, 0, n)
	for _, r := range t.gossipQueue[:n] {
		r.timesSent++
		news = append(news, r.crash(now))
	}
	t.gossipQueue = slices.DeleteFunc(t.gossipQueue, func(r *record) bool { return r.timesSent >= copies })
	return news
}

// HasNews tells whether News would return any.
func (t *Table) HasGossip() bool { return len(t.gossipQueue) > 0 }

// Sample returns records of up to limit, by which another instance learns what it missed:
// those of blocked requests first, then others in turn.
func (t *Table) Sample(now time.Time, limit int) []Crash {
	var held, others []Digest
	for _, digest := range t.sampleOrder() {
		if t.verdict(now, t.requests[digest]).State == Allowed {
			others = append(others, digest)
		} else {
			held = append(held, digest)
		}
	}
	return t.collectSample(now, append(held, others...), limit)
}

// inTurn returns all digests in their order, beginning where the latest sample ended.
func (t *Table) sampleOrder() []Digest {
	digests := slices.SortedFunc(maps.Keys(t.requests), compareDigests)
	start, _ := slices.BinarySearchFunc(digests, t.sampleStart, compareDigests)
	return append(digests[start:], digests[:start]...)
}

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// sampleOf returns records of requests in their order, those of the latest crashes of each.
func (t *Table) collectSample(now time.Time, digests []Digest, limit int) []Crash {
	var sample []Crash
	for _, digest := range digests {
		crashes := t.requests[digest].crashes
		for _, r := range slices.Backward(crashes) {
			if len(sample) == limit {
				t.sampleStart = digest
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
