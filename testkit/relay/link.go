package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 16 << 10
	// queuedChunks bounds what a delay holds back on one way of a connection;
	// beyond it the sender feels back pressure.
	maxQueuedChunks = 256
)

// link is one connection through the relay.
type link struct {
	ctx      context.Context
	cancel   context.CancelFunc
	client   net.Conn
	delays   *[ways]atomic.Int64
	counters *counters
	muted    [ways]atomic.Bool

	mu       sync.Mutex
	target   net.Conn // nil until dialled
	wasReset bool     // by reset
}

// chunk is what one read gave, to be delivered when it is due.
type chunk struct {
	data []byte
	due  time.Time
	err  error // io.EOF when the sender has closed its side in order
}

func newLink(client net.Conn, delay *[ways]atomic.Int64, e *counters) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{ctx: ctx, cancel: cancel, client: client, delays: delay, counters: e}
}

func (l *link) mute(d Direction) {
	for way := range ways {
		if d.has(way) {
			l.muted[way].Store(true)
		}
	}
}

// reset breaks the connection at both ends. The sockets are reset before the
// link's goroutines are woken: one of them could close a socket first, and the
// receiver would read an orderly end.
func (l *link) reset() {
	l.mu.Lock()
	l.wasReset = true
	reset(l.client)
	if l.target != nil {
		reset(l.target)
	}
	l.mu.Unlock()
	l.cancel()
}

// attach gives the link its target. It is false when the link was reset
// meanwhile; the target is then reset too.
func (l *link) attach(target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	if l.wasReset {
		reset(target)
	}
	return !l.wasReset
}

// run forwards until both ways have ended or the link is reset.
func (l *link) run(target net.Conn) {
	if !l.attach(target) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(0, l.client, target) })
	wg.Go(func() { l.forward(1, target, l.client) })
	wg.Wait()
	l.cancel()
	_ = l.client.Close()
	_ = target.Close()
}

// forward moves the bytes of one way.
func (l *link) forward(way int, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.read(way, from, queue) })
	l.deliver(way, to, queue)
	wg.Wait()
}

// read queues what arrives. It goes on while the way is muted: a sender whose
// bytes are lost on the way still sees its writes succeed.
func (l *link) read(way int, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		due := time.Now().Add(time.Duration(l.delays[way].Load()))
		c := chunk{data: buf[:n], due: due, err: err}
		select {
		case queue <- c:
		case <-l.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk when it is due.
func (l *link) deliver(way int, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		if !l.waitUntil(c.due) {
			return
		}
		if l.muted[way].Load() {
			l.discard(c)
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			l.writeFailed(way)
			return
		}
		l.propagateEnd(c.err, to)
	}
}

// drop loses a chunk. A close that is lost keeps the link open until it is
// reset, as the receiver would keep its end.
func (l *link) discard(c chunk) {
	l.counters.update(func(s *Stats) { s.DroppedBytes += int64(len(c.data)) })
	if c.err != nil {
		l.counters.update(func(s *Stats) { s.DroppedCloses++ })
		<-l.ctx.Done()
	}
}

// end passes on how the sender ended, if it has: an abort must not reach the
// receiver as an orderly end, or a cut answer would look whole.
func (l *link) propagateEnd(err error, to net.Conn) {
	switch err {
	case nil:
	case io.EOF:
		closeWrite(to)
	default:
		l.reset()
	}
}

// failed breaks the link after a write that failed, unless the sender may not
// learn of it because its way back is muted.
func (l *link) writeFailed(way int) {
	if l.muted[1-way].Load() {
		<-l.ctx.Done()
		return
	}
	l.reset()
}

// wait returns false when the link is reset before the time.
func (l *link) waitUntil(due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return l.ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// reset closes a connection so that the other end reads an error and not an
// orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// closeWrite passes on that the sender has closed its side.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		return
	}
	_ = conn.Close()
}
