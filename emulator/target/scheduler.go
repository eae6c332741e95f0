package target

import "sync"

// ticket is one call in the queue or in a slot.
type ticket struct {
	priority int
	seq      uint64
	// granted receives one value each time the ticket gets a slot.
	granted chan struct{}
	// preempted makes the holder of a slot yield it after its current step.
	preempted bool
}

func newTicket(priority int) *ticket {
	return &ticket{priority: priority, granted: make(chan struct{}, 1)}
}

// scheduler grants a fixed number of slots. With priorities it grants them to the
// most urgent call first and preempts less urgent ones; without, to the oldest.
type scheduler struct {
	slots      int
	queueLimit int
	priorities bool
	// onChange is called, under the lock, with the new load.
	onChange func(active, queued int)

	mu     sync.Mutex
	seq    uint64
	active []*ticket
	queue  []*ticket
}

// enter queues a new ticket or grants it a free slot. It returns false if the queue
// is full.
func (s *scheduler) enter(t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := len(s.active) < s.slots
	if !free && len(s.queue) >= s.queueLimit {
		return false
	}
	s.seq++
	t.seq = s.seq
	s.queue = append(s.queue, t)
	s.grant()
	if !free && s.priorities {
		s.preemptFor(t)
	}
	s.notify()
	return true
}

// leave releases the ticket's slot or removes the ticket from the queue.
func (s *scheduler) leave(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = remove(s.active, t)
	s.queue = remove(s.queue, t)
	s.grant()
	s.notify()
}

// yield releases the slot if the ticket was preempted. If it returns true, the
// holder must wait for granted again.
func (s *scheduler) yield(t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.preempted {
		return false
	}
	t.preempted = false
	s.active = remove(s.active, t)
	s.queue = append(s.queue, t)
	s.grant()
	s.notify()
	return true
}

// load returns the number of calls that hold a slot and of those that wait.
func (s *scheduler) load() (active, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active), len(s.queue)
}

// grant fills the free slots from the queue.
func (s *scheduler) grant() {
	for len(s.active) < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		for _, t := range s.queue[1:] {
			if s.precedes(t, next) {
				next = t
			}
		}
		s.queue = remove(s.queue, next)
		s.active = append(s.active, next)
		next.granted <- struct{}{}
	}
}

// preemptFor preempts the newest of the least urgent holders if it is less urgent
// than t. The holder yields the slot after its current token.
func (s *scheduler) preemptFor(t *ticket) {
	var victim *ticket
	for _, holder := range s.active {
		if holder.preempted || holder.priority <= t.priority {
			continue
		}
		if victim == nil || s.precedes(victim, holder) {
			victim = holder
		}
	}
	if victim != nil {
		victim.preempted = true
	}
}

// precedes reports whether a is served before b.
func (s *scheduler) precedes(a, b *ticket) bool {
	if s.priorities && a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.seq < b.seq
}

func (s *scheduler) notify() {
	s.onChange(len(s.active), len(s.queue))
}

func remove(tickets []*ticket, t *ticket) []*ticket {
	for i := range tickets {
		if tickets[i] == t {
			return append(tickets[:i], tickets[i+1:]...)
		}
	}
	return tickets
}
