package target

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	// maxKeptEvents bounds the number of cache events kept for readers.
	maxKeptEvents = 4096
	// maxPageEvents bounds the number of events in one response.
	maxPageEvents = 512
)

// eventLog publishes cache events with a lag and with losses.
type eventLog struct {
	now  func() time.Time
	lag  time.Duration
	loss float64

	mu      sync.Mutex
	rng     *rand.Rand
	seq     uint64
	entries []loggedEvent
	// dropped is the highest sequence number dropped because of maxKeptEvents.
	dropped uint64
}

type loggedEvent struct {
	at    time.Time
	event targetapi.CacheEvent
}

func newEventLog(options Options) *eventLog {
	return &eventLog{
		now:  options.Now,
		lag:  options.EventLag,
		loss: options.EventLoss,
		rng:  rand.New(rand.NewPCG(options.Seed, maxKeptEvents)),
	}
}

// add numbers and logs an event. A lost event leaves a gap in the numbers.
func (l *eventLog) add(part string, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.rng.Float64() < l.loss {
		return
	}
	event := targetapi.CacheEvent{Seq: l.seq, Added: added, Part: part}
	l.entries = append(l.entries, loggedEvent{at: l.now(), event: event})
	if len(l.entries) > maxKeptEvents {
		l.dropped = l.entries[0].event.Seq
		l.entries = l.entries[1:]
	}
}

// after returns the events with a higher sequence number that are old enough to be
// read.
func (l *eventLog) after(seq uint64) targetapi.CacheEvents {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := targetapi.CacheEvents{Next: seq, Lost: seq < l.dropped}
	visible := l.now().Add(-l.lag)
	for _, entry := range l.entries {
		if entry.at.After(visible) || len(page.Events) == maxPageEvents {
			break
		}
		if entry.event.Seq > seq {
			page.Events = append(page.Events, entry.event)
			page.Next = entry.event.Seq
		}
	}
	return page
}
