package relay

import "time"

// parts are the times that the parts of a request took.
type timings struct {
	// stages is the wait for the results of its stages, in all attempts together.
	stagesWait time.Duration
	// sent is when the latest attempt began.
	attemptStart time.Time
	// first is the time from the sending of an attempt to its first event, or to its
	// whole answer where that is no stream.
	firstEvent time.Duration
	// pause is the longest time between two events that followed one another.
	longestPause time.Duration
	// latest is when the latest event came.
	latestEvent time.Time
}

// event notes that events, or a whole answer, came.
func (p *timings) recordEvent(now time.Time) {
	if p.latestEvent.IsZero() {
		p.firstEvent = now.Sub(p.attemptStart)
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.latestEvent))
	}
	p.latestEvent = now
}
