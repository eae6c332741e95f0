package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits on the log of one instance.
const (
	// linesPerSecond is the maximum average rate, a few times what an instance
	// writes at the highest measured load. linesBurst is the maximum burst.
	linesPerSecond = 600
	linesBurst     = 2000
	// queueCapacity is the maximum number of lines that wait for the reader of the
	// log.
	queueCapacity = 2048
	// flushTimeout limits the wait for the reader in Close.
	flushTimeout = 500 * time.Millisecond
)

// LineQueue is an io.Writer that accepts log lines without blocking and writes them
// in the background.
//
// If nobody reads the log, a full pipe would otherwise block every goroutine that
// logs, and with them all requests. Lines above the rate limit, and lines that do not
// fit into the queue, are dropped and counted, and their number is logged.
type LineQueue struct {
	out             io.Writer
	limit           *rate.Limiter
	lines           chan []byte
	unreportedDrops atomic.Int64
	droppedTotal    atomic.Int64
	done            chan struct{}

	mu sync.RWMutex
	// closed is true once lines is closed.
	closed bool
}

// NewLineQueue returns a queue that writes to out.
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

// Write enqueues one line. It never fails and never waits for the reader. After Close, the line is
// dropped: a timer may still log while the process ends.
func (q *LineQueue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed || !q.limit.Allow() {
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

// Dropped returns the number of lines dropped so far.
func (q *LineQueue) Dropped() int64 { return q.droppedTotal.Load() }

func (q *LineQueue) run() {
	defer close(q.done)
	for line := range q.lines {
		if n := q.unreportedDrops.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "W log lines dropped count=%d\n", n), line...)
		}
		if _, err := q.out.Write(line); err != nil {
			q.drop() // nobody reads the log, and there is no other place to report it
		}
	}
}

// Close flushes the queue, waiting at most flushTimeout.
func (q *LineQueue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
