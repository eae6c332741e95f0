package gather

import "time"

// bucketWidth is the range of objectives that are counted together.
const bucketWidth = 50 * time.Millisecond

// queuedWork is an amount of work that waits at a service.
type queuedWork struct {
	pieces int
	// pieceTime is the time that the pieces add to calls.
	pieceTime time.Duration
}

func (w *queuedWork) add(other queuedWork) {
	w.pieces += other.pieces
	w.pieceTime += other.pieceTime
}

func (w *queuedWork) remove(other queuedWork) {
	w.pieces -= other.pieces
	w.pieceTime -= other.pieceTime
}

// backlog sums the work that waits at a service by rank and objective, so that the work
// ahead of a request is known without iterating over all waiting requests.
type backlog struct {
	ranks map[float64]*rankBacklog
}

type rankBacklog struct {
	total queuedWork
	// buckets has the sums by range of objectives.
	buckets map[int64]queuedWork
}

func newBacklog() backlog { return backlog{ranks: map[float64]*rankBacklog{}} }

func bucketOf(objective time.Time) int64 { return objective.UnixNano() / int64(bucketWidth) }

func (b *backlog) add(rank float64, bucket int64, w queuedWork) {
	r := b.ranks[rank]
	if r == nil {
		r = &rankBacklog{buckets: map[int64]queuedWork{}}
		b.ranks[rank] = r
	}
	r.total.add(w)
	sum := r.buckets[bucket]
	sum.add(w)
	r.buckets[bucket] = sum
}

func (b *backlog) remove(rank float64, bucket int64, w queuedWork) {
	r := b.ranks[rank]
	r.total.remove(w)
	sum := r.buckets[bucket]
	sum.remove(w)
	if sum.pieces > 0 {
		r.buckets[bucket] = sum
		return
	}
	delete(r.buckets, bucket)
	if len(r.buckets) == 0 {
		delete(b.ranks, rank)
	}
}

// ahead returns the work that is ahead of a position.
func (b *backlog) ahead(at queuePosition) queuedWork {
	var sum queuedWork
	last := bucketOf(at.key)
	for rank, r := range b.ranks {
		switch {
		case rank < at.rank:
			sum.add(r.total)
		case rank == at.rank:
			sum.add(r.upTo(last))
		}
	}
	return sum
}

func (r *rankBacklog) upTo(last int64) queuedWork {
	var sum queuedWork
	for bucket, w := range r.buckets {
		if bucket <= last {
			sum.add(w)
		}
	}
	return sum
}

// backlogEntry is what a stage has added to its service's backlog. It keeps the piece time
// that was added, since the learned time may change before the entry is removed.
type backlogEntry struct {
	rank   float64
	bucket int64
	// objective is the bucket of the objective, by which the account's own work is ordered.
	objective int64
	queuedWork
}

// updateBacklog updates the backlogs with the pending pieces of a request if the planner
// holds it.
func (p *Planner) updateBacklog(now time.Time, req *heldRequest) {
	if p.requests[req.ID] != req {
		return
	}
	rank, objective := req.rank(now), bucketOf(req.Objective)
	for _, s := range req.stages {
		s.updateBacklog(rank, bucketOf(s.key()), objective)
		if req.flowControl {
			s.updateReleased()
		}
	}
}

// updateBacklogs updates the backlogs for the requests of pieces. The pieces of a stage are
// adjacent.
func (p *Planner) updateBacklogs(now time.Time, pieces []pieceRef) {
	var last *heldStage
	for _, ref := range pieces {
		if ref.stage != last {
			last = ref.stage
			p.updateBacklog(now, last.request)
		}
	}
}

// updateBacklog updates the service's backlog with the stage's pending pieces.
func (s *heldStage) updateBacklog(rank float64, bucket, objective int64) {
	if s.backlogEntry.pieces == len(s.pending) && s.backlogEntry.rank == rank && s.backlogEntry.bucket == bucket && s.backlogEntry.objective == objective {
		return
	}
	s.leaveBacklog()
	if n := len(s.pending); n > 0 {
		s.backlogEntry = backlogEntry{rank: rank, bucket: bucket, objective: objective, queuedWork: queuedWork{n, time.Duration(n) * s.pieceTime()}}
		s.service.backlog.add(rank, bucket, s.backlogEntry.queuedWork)
		s.service.shares.addQueued(s)
	}
}

// leaveBacklog removes the stage from its service's backlog.
func (s *heldStage) leaveBacklog() {
	if s.backlogEntry.pieces > 0 {
		s.service.backlog.remove(s.backlogEntry.rank, s.backlogEntry.bucket, s.backlogEntry.queuedWork)
		s.service.shares.removeQueued(s)
	}
	s.backlogEntry = backlogEntry{}
}

// leaveBacklog removes the request from the backlogs.
func (req *heldRequest) leaveBacklog() {
	for _, s := range req.stages {
		s.leaveBacklog()
		s.countReleased(0)
	}
}
