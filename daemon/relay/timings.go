package relay

import "time"

// timings are the durations of the phases of a request.
type timings struct {
	// stagesWait is the wait for the stages' results, over all attempts.
	stagesWait time.Duration
	// grantWait is the wait for grants of sends, over all attempts.
	grantWait time.Duration
	// firstEvent is the time from the start of an attempt to its first event, or to its
	// complete response if that isn't a stream.
	firstEvent time.Duration
	// firstEventAt is when the first event or the complete response arrived.
	firstEventAt time.Time
	// longestPause is the longest time between two consecutive events.
	longestPause time.Duration
	// latestEvent is when the latest event arrived.
	latestEvent time.Time
}

// recordEvent records the arrival of events or of a complete response of an attempt that was
// started at a time.
func (p *timings) recordEvent(now, started time.Time) {
	if p.latestEvent.IsZero() {
		p.firstEvent, p.firstEventAt = now.Sub(started), now
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.latestEvent))
	}
	p.latestEvent = now
}
