package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// enqueueGossip marks a record to be sent to other instances.
func (t *Table) enqueueGossip(r *record) {
	r.timesSent = 0
	if !slices.Contains(t.gossipQueue, r) {
		t.gossipQueue = append(t.gossipQueue, r)
	}
	if len(t.gossipQueue) > maxGossipQueue {
		dropped := max(slices.IndexFunc(t.gossipQueue, func(r *record) bool { return t.blocked[r.digest] == nil }), 0)
		t.gossipQueue = slices.Delete(t.gossipQueue, dropped, dropped+1) // samples include it
	}
}

// maxGossipQueue limits the records that are gossiped at the same time. Instances learn the
// others from samples.
const maxGossipQueue = 1024

// Gossip returns at most limit records that have been sent fewer than copies times, and counts
// them as sent once more. Those of what is blocked come first, then those sent the fewest times.
func (t *Table) Gossip(now time.Time, limit, copies int) []Crash {
	slices.SortStableFunc(t.gossipQueue, t.compareUrgency)
	n := min(limit, len(t.gossipQueue))
	crashes := make([]Crash, 0, n)
	for _, r := range t.gossipQueue[:n] {
		r.timesSent++
		crashes = append(crashes, r.crash(now))
	}
	t.gossipQueue = slices.DeleteFunc(t.gossipQueue, func(r *record) bool { return r.timesSent >= copies })
	return crashes
}

func (t *Table) compareUrgency(a, b *record) int {
	if x, y := t.blocked[a.digest] != nil, t.blocked[b.digest] != nil; x != y {
		if x {
			return -1
		}
		return 1
	}
	return a.timesSent - b.timesSent
}

// HasGossip reports whether Gossip would return any record.
func (t *Table) HasGossip() bool { return len(t.gossipQueue) > 0 }

// Sample returns at most limit records from which another instance learns what it missed:
// those of requests that are blocked or on trial first, then the others in rotation.
func (t *Table) Sample(now time.Time, limit int) []Crash {
	var blocked, others []Digest
	for _, digest := range t.sampleOrder() {
		if t.verdict(now, digest, t.requests[digest]).State == Allowed {
			others = append(others, digest)
		} else {
			blocked = append(blocked, digest)
		}
	}
	return t.collectSample(now, append(blocked, others...), limit)
}

// sampleOrder returns all digests in ascending order, rotated to where the last sample ended.
func (t *Table) sampleOrder() []Digest {
	digests := slices.SortedFunc(maps.Keys(t.requests), compareDigests)
	start, _ := slices.BinarySearchFunc(digests, t.sampleStart, compareDigests)
	return append(digests[start:], digests[:start]...)
}

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// collectSample returns records of requests in their order, the latest crashes of each first.
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

// crash returns the record as it is sent to other instances.
func (r *record) crash(now time.Time) Crash {
	return Crash{Digest: r.digest, Part: r.part, Target: r.target, Age: now.Sub(r.at), Cleared: r.cleared}
}
