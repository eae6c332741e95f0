package target

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	// eventsKept bounds the cache events that can still be read.
	maxKeptEvents = 4096
	// eventsPerPage bounds one answer.
	maxPageEvents = 512
)

// eventLog publishes cache events late and with gaps.
type eventLog struct {
	now  func() time.Time
	lag  time.Duration
	loss float64

	mu      sync.Mutex
	rng     *rand.Rand
	seq     uint64
	entries []loggedEvent
	// dropped is the highest number that is no longer kept.
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

// add numbers an event. One that is lost leaves a gap in the numbers.
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

// after returns the events that follow a number and are old enough to be seen.
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
