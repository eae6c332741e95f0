package experiment

import "time"

// epoch is the virtual moment at which every run starts.
var epoch = time.Unix(1_000_000_000, 0)

// clock runs functions in the order of their virtual time.
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

// time returns the virtual time as the decisions see it.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// after runs f once the delay has passed.
func (c *clock) after(delay time.Duration, f func()) {
	c.at(c.now+delay, f)
}

// at runs f at a moment since the start, at once if that has passed.
func (c *clock) at(moment time.Duration, f func()) {
	c.seq++
	c.events = append(c.events, event{max(moment, c.now), c.seq, f})
	c.siftUp(len(c.events) - 1)
}

// every runs f at a steady interval until the run ends.
func (c *clock) every(first, interval time.Duration, f func()) {
	c.at(first, func() {
		f()
		c.every(c.now+interval, interval, f)
	})
}

// runUntil runs the events up to a moment.
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
