package gather

import "time"

// slotWidth is how far apart the objectives may be of requests that are counted
// together.
const slotWidth = 50 * time.Millisecond

// waiting is work that waits at a service.
type waiting struct {
	pieces int
	// added is the time that the pieces add to calls.
	added time.Duration
}

func (w *waiting) add(other waiting) {
	w.pieces += other.pieces
	w.added += other.added
}

func (w *waiting) remove(other waiting) {
	w.pieces -= other.pieces
	w.added -= other.added
}

// backlog sums the work that waits at a service, by rank and objective, so that the
// work ahead of a request is known without a look at each request that waits.
type backlog struct {
	ranks map[float64]*rankBacklog
}

type rankBacklog struct {
	total waiting
	// slots are the sums by slot of objectives.
	slots map[int64]waiting
}

func newBacklog() backlog { return backlog{ranks: map[float64]*rankBacklog{}} }

func slotOf(objective time.Time) int64 { return objective.UnixNano() / int64(slotWidth) }

func (b *backlog) add(rank float64, slot int64, w waiting) {
	r := b.ranks[rank]
	if r == nil {
		r = &rankBacklog{slots: map[int64]waiting{}}
		b.ranks[rank] = r
	}
	r.total.add(w)
	sum := r.slots[slot]
	sum.add(w)
	r.slots[slot] = sum
}

func (b *backlog) remove(rank float64, slot int64, w waiting) {
	r := b.ranks[rank]
	r.total.remove(w)
	sum := r.slots[slot]
	sum.remove(w)
	if sum.pieces > 0 {
		r.slots[slot] = sum
		return
	}
	delete(r.slots, slot)
	if len(r.slots) == 0 {
		delete(b.ranks, rank)
	}
}

// ahead is the work that goes before a position.
func (b *backlog) ahead(at position) waiting {
	var sum waiting
	last := slotOf(at.objective)
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

func (r *rankBacklog) upTo(last int64) waiting {
	var sum waiting
	for slot, w := range r.slots {
		if slot <= last {
			sum.add(w)
		}
	}
	return sum
}

// counted is where and how a stage is counted in its service's backlog, with the time
// that its pieces took as it was counted.
type counted struct {
	rank float64
	slot int64
	waiting
}

// recount brings the backlogs up to date with what a request has waiting, if it is
// held.
func (p *Planner) recount(now time.Time, w *work) {
	if p.works[w.ID] != w {
		return
	}
	rank, slot := w.rank(now), slotOf(w.Objective)
	for _, s := range w.stages {
		s.count(rank, slot)
	}
}

// recountStages does so for the requests of pieces, which follow one another by stage.
func (p *Planner) recountStages(now time.Time, pieces []pieceRef) {
	var last *stageWork
	for _, ref := range pieces {
		if ref.stage != last {
			last = ref.stage
			p.recount(now, last.work)
		}
	}
}

// count brings its service's backlog up to date with the stage's pieces.
func (s *stageWork) count(rank float64, slot int64) {
	if s.counted.pieces == len(s.todo) && s.counted.rank == rank && s.counted.slot == slot {
		return
	}
	s.uncount()
	if n := len(s.todo); n > 0 {
		s.counted = counted{rank, slot, waiting{n, time.Duration(n) * s.pieceTime()}}
		s.service.backlog.add(rank, slot, s.counted.waiting)
	}
}

// uncount takes a stage out of its service's backlog.
func (s *stageWork) uncount() {
	if s.counted.pieces > 0 {
		s.service.backlog.remove(s.counted.rank, s.counted.slot, s.counted.waiting)
	}
	s.counted = counted{}
}

// uncount takes a request out of the backlogs.
func (w *work) uncount() {
	for _, s := range w.stages {
		s.uncount()
	}
}
