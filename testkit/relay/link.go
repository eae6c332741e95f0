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
	// maxQueuedChunks bounds the delayed chunks of one way of a connection; beyond it the
	// sender is subject to back pressure.
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
	// source is the client's IP address. held returns a channel that is closed when the bytes of a
	// source are no longer held up; nil if they aren't.
	source string
	held   func(source string) <-chan struct{}

	mu       sync.Mutex
	target   net.Conn // nil until dialled
	wasReset bool
}

// chunk is the result of one read, to be delivered at its due time.
type chunk struct {
	data []byte
	due  time.Time
	err  error // io.EOF when the sender has closed its side orderly
}

func newLink(client net.Conn, delays *[ways]atomic.Int64, c *counters) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		ctx: ctx, cancel: cancel, client: client, delays: delays, counters: c,
		held: func(string) <-chan struct{} { return nil },
	}
}

func (l *link) mute(d Direction) {
	for way := range ways {
		if d.has(way) {
			l.muted[way].Store(true)
		}
	}
}

// reset breaks the connection at both ends. The sockets are reset before the link's goroutines
// are woken: one of them could otherwise close a socket first, and the receiver would read an
// orderly end.
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

// attach sets the link's target connection. It returns false if the link has been reset in the
// meantime; the target connection is then reset too.
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

// read queues the bytes that arrive. It continues while the way is muted: the writes of a
// sender whose bytes are lost in the network still succeed.
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

// deliver writes each chunk at its due time.
func (l *link) deliver(way int, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		if !l.waitUntil(c.due) || !l.waitUnheld() {
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

// discard drops a chunk. A dropped close keeps the link open until it is reset, since the
// receiver would keep its end open.
func (l *link) discard(c chunk) {
	l.counters.update(func(s *Stats) { s.DroppedBytes += int64(len(c.data)) })
	if c.err != nil {
		l.counters.update(func(s *Stats) { s.DroppedCloses++ })
		<-l.ctx.Done()
	}
}

// propagateEnd passes on how the sender ended, if it has: an abort must not reach the receiver
// as an orderly end, or a truncated response would look complete.
func (l *link) propagateEnd(err error, to net.Conn) {
	switch err {
	case nil:
	case io.EOF:
		closeWrite(to)
	default:
		l.reset()
	}
}

// writeFailed resets the link after a failed write, unless the way back to the sender is muted
// and the sender must not notice.
func (l *link) writeFailed(way int) {
	if l.muted[1-way].Load() {
		<-l.ctx.Done()
		return
	}
	l.reset()
}

// waitUntil returns false if the link is reset before the given time.
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

// waitUnheld waits while the bytes of the client are held up. It returns false if the link is reset
// before.
func (l *link) waitUnheld() bool {
	for {
		restored := l.held(l.source)
		if restored == nil {
			return true
		}
		select {
		case <-restored:
		case <-l.ctx.Done():
			return false
		}
	}
}

// reset closes a connection with a TCP reset, so that the other end reads an error and not an
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
