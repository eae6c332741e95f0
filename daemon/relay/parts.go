package relay

import "time"

// parts are the times that the parts of a request took.
type parts struct {
	// stages is the wait for the results of its stages, in all attempts together.
	stages time.Duration
	// sent is when the latest attempt began.
	sent time.Time
	// first is the time from the sending of an attempt to its first event, or to its
	// whole answer where that is no stream.
	first time.Duration
	// pause is the longest time between two events that followed one another.
	pause time.Duration
	// latest is when the latest event came.
	latest time.Time
}

// event notes that events, or a whole answer, came.
func (p *parts) event(now time.Time) {
	if p.latest.IsZero() {
		p.first = now.Sub(p.sent)
	} else {
		p.pause = max(p.pause, now.Sub(p.latest))
	}
	p.latest = now
}
