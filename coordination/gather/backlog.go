package gather

import "time"

// slotWidth is how far apart the objectives may be of requests that are counted
// together.
const bucketWidth = 50 * time.Millisecond

// waiting is work that waits at a service.
type queuedWork struct {
	pieces int
	// added is the time that the pieces add to calls.
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

// backlog sums the work that waits at a service, by rank and objective, so that the
// work ahead of a request is known without a look at each request that waits.
type backlog struct {
	ranks map[float64]*rankBacklog
}

type rankBacklog struct {
	total queuedWork
	// slots are the sums by slot of objectives.
	buckets map[int64]queuedWork
}

func newBacklog() backlog { return backlog{ranks: map[float64]*rankBacklog{}} }

func bucketOf(objective time.Time) int64 { return objective.UnixNano() / int64(bucketWidth) }

func (b *backlog) add(rank float64, slot int64, w queuedWork) {
	r := b.ranks[rank]
	if r == nil {
		r = &rankBacklog{buckets: map[int64]queuedWork{}}
		b.ranks[rank] = r
	}
	r.total.add(w)
	sum := r.buckets[slot]
	sum.add(w)
	r.buckets[slot] = sum
}

func (b *backlog) remove(rank float64, slot int64, w queuedWork) {
	r := b.ranks[rank]
	r.total.remove(w)
	sum := r.buckets[slot]
	sum.remove(w)
	if sum.pieces > 0 {
		r.buckets[slot] = sum
		return
	}
	delete(r.buckets, slot)
	if len(r.buckets) == 0 {
		delete(b.ranks, rank)
	}
}

// ahead is the work that goes before a position.
func (b *backlog) ahead(at queuePosition) queuedWork {
	var sum queuedWork
	last := bucketOf(at.objective)
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
	for slot, w := range r.buckets {
		if slot <= last {
			sum.add(w)
		}
	}
	return sum
}

// counted is where and how a stage is counted in its service's backlog, with the time
// that its pieces took as it was counted.
type backlogEntry struct {
	rank   float64
	bucket int64
	queuedWork
}

// recount brings the backlogs up to date with what a request has waiting, if it is
// held.
func (p *Planner) updateBacklog(now time.Time, w *heldRequest) {
	if p.requests[w.ID] != w {
		return
	}
	rank, slot := w.rank(now), bucketOf(w.Objective)
	for _, s := range w.stages {
		s.updateBacklog(rank, slot)
	}
}

// recountStages does so for the requests of pieces, which follow one another by stage.
func (p *Planner) updateBacklogs(now time.Time, pieces []pieceRef) {
	var last *heldStage
	for _, ref := range pieces {
		if ref.stage != last {
			last = ref.stage
			p.updateBacklog(now, last.request)
		}
	}
}

// count brings its service's backlog up to date with the stage's pieces.
func (s *heldStage) updateBacklog(rank float64, slot int64) {
	if s.backlogEntry.pieces == len(s.pending) && s.backlogEntry.rank == rank && s.backlogEntry.bucket == slot {
		return
	}
	s.leaveBacklog()
	if n := len(s.pending); n > 0 {
		s.backlogEntry = backlogEntry{rank, slot, queuedWork{n, time.Duration(n) * s.pieceTime()}}
		s.service.backlog.add(rank, slot, s.backlogEntry.queuedWork)
	}
}

// uncount takes a stage out of its service's backlog.
func (s *heldStage) leaveBacklog() {
	if s.backlogEntry.pieces > 0 {
		s.service.backlog.remove(s.backlogEntry.rank, s.backlogEntry.bucket, s.backlogEntry.queuedWork)
	}
	s.backlogEntry = backlogEntry{}
}

// uncount takes a request out of the backlogs.
func (w *heldRequest) leaveBacklog() {
	for _, s := range w.stages {
		s.leaveBacklog()
	}
}
