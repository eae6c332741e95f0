package spread

// sumSize is the encoded size of one sum, in bytes.
const sumSize = 9

// pullSize is the encoded size of a comparison of roots, in bytes.
const pullSize = 24

// comparison returns the message that compares roots.
func (s *Spread) comparison() *Pull {
	return &Pull{Root: s.source.Digest().Root, Newest: s.source.Newest(), Bucket: -1}
}

// answerPull answers a comparison of roots or of leaves.
func (s *Spread) answerPull(from string, p *Pull) {
	switch {
	case p.Bucket >= Buckets:
	case p.Bucket >= 0:
		if len(p.Leaves) == LeavesPerBucket && s.recovery.open() {
			s.recover(from, s.source.Delta(p.Bucket, p.Leaves, s.cfg.MaxPush))
		}
	case s.source.Digest().Root == p.Root:
		s.send(from, &PullAnswer{Same: true})
	case s.recovery.open():
		s.answerRoot(from, p.Newest)
	}
}

// answerRoot answers a peer whose root differs. Nearly always it has missed
// the latest changes only, which the store's revisions tell at once; the sums
// find the rest.
func (s *Spread) answerRoot(from string, newest uint64) {
	if newest > 0 && s.recover(from, s.source.Since(newest, s.cfg.MaxPush)) {
		return
	}
	s.recovery.spend(Buckets * sumSize)
	digest := s.source.Digest()
	s.send(from, &PullAnswer{Buckets: digest.Buckets[:]})
}

// recover sends records that a peer has missed, false if there are none.
func (s *Spread) recover(to string, records []Record) bool {
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
func (s *Spread) compare(from string, a *PullAnswer) {
	if a.Same || len(a.Buckets) != Buckets {
		return
	}
	own := s.source.Digest()
	for _, bucket := range s.rng.Perm(Buckets) {
		if a.Buckets[bucket] == own.Buckets[bucket] {
			continue
		}
		if !s.recovery.open() {
			return
		}
		s.recovery.spend(LeavesPerBucket * sumSize)
		leaves := s.source.Leaves(bucket)
		s.send(from, &Pull{Root: own.Root, Bucket: bucket, Leaves: leaves[:]})
	}
}
