package experiment

import "time"

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_000_000_000, 0)

// clock is the event queue of a simulation: a heap ordered by virtual time, and
// by the order of scheduling for equal times.
type clock struct {
	now    time.Duration
	seq    uint64
	events []event
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

// time returns the virtual time as a time.Time, for the packages under test.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// after schedules f after a delay.
func (c *clock) after(delay time.Duration, f func()) {
	c.at(c.now+delay, f)
}

// at schedules f at a time since the start of the run, at once if that has
// passed.
func (c *clock) at(moment time.Duration, f func()) {
	c.seq++
	c.events = append(c.events, event{max(moment, c.now), c.seq, f})
	c.siftUp(len(c.events) - 1)
}

// every schedules f at a fixed interval until the run ends.
func (c *clock) every(first, interval time.Duration, f func()) {
	c.at(first, func() {
		f()
		c.every(c.now+interval, interval, f)
	})
}

// runUntil runs the events up to and including a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := c.pop()
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *clock) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !c.events[i].before(&c.events[parent]) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

func (c *clock) pop() event {
	top := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	c.siftDown()
	return top
}

func (c *clock) siftDown() {
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.events); child++ {
			if c.events[child].before(&c.events[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.events[i], c.events[least] = c.events[least], c.events[i]
		i = least
	}
}
