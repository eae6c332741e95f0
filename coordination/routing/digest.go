package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// peerDigests holds the latest digest of each origin, up to Config.MaxOrigins.
type peerDigests struct {
	byOrigin map[string]*originDigest
}

type originDigest struct {
	receivedAt time.Time
	entries    []DigestEntry
}

// PeerDigest records the requests that a peer has in flight. A digest replaces the
// earlier one of the same origin; entries of unknown targets are dropped.
func (t *Table) PeerDigest(now time.Time, origin string, entries []DigestEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view.Load()
	kept := make([]DigestEntry, 0, min(len(entries), t.config.MaxDigestEntries))
	for _, e := range entries {
		if v.byHash[e.TargetHash] != nil && len(kept) < t.config.MaxDigestEntries {
			kept = append(kept, e)
		}
	}
	if t.digests.byOrigin[origin] == nil && len(t.digests.byOrigin) >= t.config.MaxOrigins {
		t.digests.dropOldest()
	}
	t.digests.byOrigin[origin] = &originDigest{receivedAt: now, entries: kept}
	t.updatePeerLoad(now, v)
}

// Digest returns the requests that this instance has in flight, with ejected targets
// first, then the most loaded ones, and at most Config.MaxDigestEntries. It also drops
// expired digests of peers, so it has to be called at regular intervals.
func (t *Table) Digest(now time.Time) []DigestEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view.Load()
	t.updatePeerLoad(now, v)
	entries := make([]DigestEntry, 0, len(v.byHash))
	for hash, target := range v.byHash {
		if target.health.ejectionState(now.UnixNano()) != notEjected {
			entries = append(entries, DigestEntry{hash, Suspected})
			continue
		}
		load := math.Round(target.ownLoad())
		if load >= 1 {
			entries = append(entries, DigestEntry{hash, uint16(min(load, Suspected-1))})
		}
	}
	slices.SortFunc(entries, func(a, b DigestEntry) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.TargetHash, b.TargetHash))
	})
	return entries[:min(len(entries), t.config.MaxDigestEntries)]
}

// updatePeerLoad drops expired digests and sets, for each target, the requests in
// flight from all peers and the number of peers that ejected it.
func (t *Table) updatePeerLoad(now time.Time, v *view) {
	sums := make(map[uint32]int64, len(v.byHash))
	suspicions := make(map[uint32]int64)
	off := t.config.disabled(MechanismSuspicion)
	ages := int64(0)
	for origin, digest := range t.digests.byOrigin {
		if now.Sub(digest.receivedAt) > t.config.DigestTTL {
			delete(t.digests.byOrigin, origin)
			continue
		}
		ages += int64(now.Sub(digest.receivedAt))
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
		t.digestsAt.Store(0)
	} else {
		t.digestsAt.Store(at - ages/int64(len(t.digests.byOrigin)))
	}
	for hash, target := range v.byHash {
		target.peerInFlight.Store(sums[hash])
		target.peerInFlightAt.Store(at)
		target.health.peerSuspicions.Store(suspicions[hash])
	}
}

func (d *peerDigests) dropOldest() {
	oldest := ""
	for origin, digest := range d.byOrigin {
		if oldest == "" || digest.receivedAt.Before(d.byOrigin[oldest].receivedAt) {
			oldest = origin
		}
	}
	delete(d.byOrigin, oldest)
}
