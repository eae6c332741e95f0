package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the log of one instance.
const (
	// linesPerSecond is the most that is written on average, a few times what an
	// instance writes at the heaviest load measured; linesBurst may come at once.
	linesPerSecond = 600
	linesBurst     = 2000
	// queuedLines wait for the reader of the log.
	queueCapacity = 2048
	// flushTimeout bounds the wait for the reader at the end.
	flushTimeout = 500 * time.Millisecond
)

// LineQueue takes log lines without ever blocking and writes them in the
// background.
//
// It guards against a log that nobody reads: a pipe that is full would stop every
// goroutine that logs, and with them all requests. Lines over the bound, and those
// for which there is no room, are dropped, counted, and their number is said in the
// log.
type LineQueue struct {
	out             io.Writer
	limit           *rate.Limiter
	lines           chan []byte
	unreportedDrops atomic.Int64
	droppedTotal    atomic.Int64
	done            chan struct{}
	close           sync.Once
}

// NewLineQueue starts to write to out.
func NewLineQueue(out io.Writer) *LineQueue {
	q := &LineQueue{
		out:   out,
		limit: rate.NewLimiter(linesPerSecond, linesBurst),
		lines: make(chan []byte, queueCapacity),
		done:  make(chan struct{}),
	}
	go q.run()
	return q
}

// Write takes one line. It never fails and never waits.
func (q *LineQueue) Write(line []byte) (int, error) {
	if !q.limit.Allow() {
		q.drop()
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop()
	}
	return len(line), nil
}

func (q *LineQueue) drop() {
	q.unreportedDrops.Add(1)
	q.droppedTotal.Add(1)
}

// Dropped returns how many lines were dropped so far.
func (q *LineQueue) Dropped() int64 { return q.droppedTotal.Load() }

func (q *LineQueue) run() {
	defer close(q.done)
	for line := range q.lines {
		if n := q.unreportedDrops.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "W log lines dropped count=%d\n", n), line...)
		}
		if _, err := q.out.Write(line); err != nil {
			q.drop() // nobody reads the log; there is no other place to say so
		}
	}
}

// Close writes what waits, for a bounded time. Nothing may be written after it.
func (q *LineQueue) Close() {
	q.close.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
