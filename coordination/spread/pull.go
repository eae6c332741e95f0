package spread

// encodedSumBytes is the encoded size of one sum.
const encodedSumBytes = 9

// encodedPullBytes is the encoded size of a comparison of roots.
const encodedPullBytes = 24

// rootComparison returns the Pull that compares the roots.
func (s *Gossip) rootComparison() *Pull {
	return &Pull{Root: s.records.Digest().Root, NewestRevision: s.records.NewestRevision(), Bucket: -1}
}

// handlePull responds to a comparison of roots or of the leaves of a bucket.
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

// handleRootMismatch responds to a peer whose root differs. It has nearly always
// missed only the latest changes, which its newest revision identifies without
// further messages. The bucket sums find all other differences.
func (s *Gossip) handleRootMismatch(from string, newest uint64) {
	if newest > 0 && s.sendMissing(from, s.records.Since(newest, s.cfg.MaxPushBytes)) {
		return
	}
	s.recovery.spend(Buckets * encodedSumBytes)
	digest := s.records.Digest()
	s.send(from, &PullResponse{Buckets: digest.Buckets[:]})
}

// sendMissing sends records that a peer lacks. It returns false if there are none.
func (s *Gossip) sendMissing(to string, records []Record) bool {
	for _, r := range records {
		s.recovery.spend(transferSize(r, s.cfg.MaxPushBytes))
	}
	s.sendRecords(to, records, true)
	return len(records) > 0
}

// handlePullResponse requests the buckets that differ, in random order, until the
// budget is used up. A few delayed rumours make a few buckets differ; an instance
// that has just started requests all of them over several comparisons.
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
