package spread

// sumSize is the encoded size of one sum, in bytes.
const encodedSumBytes = 9

// pullSize is the encoded size of a comparison of roots, in bytes.
const encodedPullBytes = 24

// comparison returns the message that compares roots.
func (s *Gossip) rootComparison() *Pull {
	return &Pull{Root: s.records.Digest().Root, NewestRevision: s.records.NewestRevision(), Bucket: -1}
}

// answerPull answers a comparison of roots or of leaves.
func (s *Gossip) handlePull(from string, p *Pull) {
	switch {
	case p.Bucket >= Buckets:
	case p.Bucket >= 0:
		if len(p.Leaves) == LeavesPerBucket && s.recovery.available() {
			s.sendMissing(from, s.records.Delta(p.Bucket, p.Leaves, s.cfg.MaxPushBytes))
		}
	case s.records.Digest().Root == p.Root:
		s.send(from, &PullResponse{InSync: true})
	case s.recovery.available():
		s.handleRootMismatch(from, p.NewestRevision)
	}
}

// answerRoot answers a peer whose root differs. Nearly always it has missed
// the latest changes only, which the store's revisions tell at once; the sums
// find the rest.
func (s *Gossip) handleRootMismatch(from string, newest uint64) {
	if newest > 0 && s.sendMissing(from, s.records.Since(newest, s.cfg.MaxPushBytes)) {
		return
	}
	s.recovery.spend(Buckets * encodedSumBytes)
	digest := s.records.Digest()
	s.send(from, &PullResponse{Buckets: digest.Buckets[:]})
}

// recover sends records that a peer has missed, false if there are none.
func (s *Gossip) sendMissing(to string, records []Record) bool {
	for _, r := range records {
		s.recovery.spend(RecordSize(r))
	}
	if len(records) > 0 {
		s.send(to, &Push{Records: records, Recovered: true})
	}
	return len(records) > 0
}

// compare asks for the buckets that differ, in a random order, as far as the
// budget goes. A few late rumours make a few buckets differ; an instance that
// has just started asks for all of them over some rounds.
func (s *Gossip) handlePullResponse(from string, a *PullResponse) {
	if a.InSync || len(a.Buckets) != Buckets {
		return
	}
	own := s.records.Digest()
	for _, bucket := range s.rng.Perm(Buckets) {
		if a.Buckets[bucket] == own.Buckets[bucket] {
			continue
		}
		if !s.recovery.available() {
			return
		}
		s.recovery.spend(LeavesPerBucket * encodedSumBytes)
		leaves := s.records.Leaves(bucket)
		s.send(from, &Pull{Root: own.Root, Bucket: bucket, Leaves: leaves[:]})
	}
}
