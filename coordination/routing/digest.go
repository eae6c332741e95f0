package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// digests keeps the latest digest of each origin, bounded in number.
type digests struct {
	byOrigin map[string]*originDigest
}

type originDigest struct {
	at      time.Time
	entries []DigestEntry
}

// PeerDigest takes in what a peer has in flight. The latest digest of an origin
// replaces its older one; entries of unknown targets are dropped.
func (t *Table) PeerDigest(now time.Time, origin string, entries []DigestEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view.Load()
	kept := make([]DigestEntry, 0, min(len(entries), t.config.DigestEntries))
	for _, e := range entries {
		if v.byHash[e.TargetHash] != nil && len(kept) < t.config.DigestEntries {
			kept = append(kept, e)
		}
	}
	if t.digests.byOrigin[origin] == nil && len(t.digests.byOrigin) >= t.config.Origins {
		t.digests.dropOldest()
	}
	t.digests.byOrigin[origin] = &originDigest{at: now, entries: kept}
	t.sumPeers(now, v)
}

// Digest returns what this instance has in flight, the ejected and the most
// loaded targets first and at most Config.DigestEntries. It also ends the validity of peers'
// digests that grew old, so call it at a steady rate.
func (t *Table) Digest(now time.Time) []DigestEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view.Load()
	t.sumPeers(now, v)
	entries := make([]DigestEntry, 0, len(v.byHash))
	for hash, target := range v.byHash {
		if target.health.ejection(now.UnixNano()) != notEjected {
			entries = append(entries, DigestEntry{hash, Suspected})
			continue
		}
		load := math.Round(target.own())
		if load >= 1 {
			entries = append(entries, DigestEntry{hash, uint16(min(load, Suspected-1))})
		}
	}
	slices.SortFunc(entries, func(a, b DigestEntry) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.TargetHash, b.TargetHash))
	})
	return entries[:min(len(entries), t.config.DigestEntries)]
}

// sumPeers drops old digests and sets each target's sum over the others.
func (t *Table) sumPeers(now time.Time, v *view) {
	sums := make(map[uint32]int64, len(v.byHash))
	suspicions := make(map[uint32]int64)
	off := t.config.off(MechanismSuspicion)
	for origin, digest := range t.digests.byOrigin {
		if now.Sub(digest.at) > t.config.DigestTTL {
			delete(t.digests.byOrigin, origin)
			continue
		}
		for _, e := range digest.entries {
			if e.InFlight == Suspected {
				if !off {
					suspicions[e.TargetHash]++
				}
				continue
			}
			sums[e.TargetHash] += int64(e.InFlight)
		}
	}
	at := now.UnixNano()
	if len(t.digests.byOrigin) == 0 {
		at = 0
	}
	for hash, target := range v.byHash {
		target.peers.Store(sums[hash])
		target.peersAt.Store(at)
		target.health.suspicions.Store(suspicions[hash])
	}
}

func (d *digests) dropOldest() {
	oldest := ""
	for origin, digest := range d.byOrigin {
		if oldest == "" || digest.at.Before(d.byOrigin[oldest].at) {
			oldest = origin
		}
	}
	delete(d.byOrigin, oldest)
}
