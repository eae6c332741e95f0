package inbound

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// ending tells that no more connections are to come.
	draining atomic.Bool
}

// deadliner is a listener whose waiting can be ended.
type deadlineSetter interface {
	SetDeadline(t time.Time) error
}

// Accept implements net.Listener. Once the listener is ending, it gives out what waits
// to be accepted and then closes.
//
// It guards against connections that the kernel has opened and nobody has accepted: a
// closed listener resets them, with the requests that their callers have sent.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.server.track(nc), nil
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !readable(l.Listener) {
			_ = l.Close() // nothing waits on it
			return nil, net.ErrClosed
		}
		if err := l.allowAccept(); err != nil {
			return nil, err
		}
	}
}

// acceptOne lets the next Accept take a connection that waits. The deadline passes
// again soon: a caller may have left meanwhile.
func (l *listener) allowAccept() error {
	return l.Listener.(deadlineSetter).SetDeadline(time.Now().Add(acceptTimeout))
}

// acceptWithin bounds the taking of a connection that waits.
const acceptTimeout = 10 * time.Millisecond

// end has the listener close once nothing waits to be accepted.
func (l *listener) drain() {
	l.draining.Store(true)
	if d, ok := l.Listener.(deadlineSetter); ok && d.SetDeadline(longAgo) == nil {
		return
	}
	_ = l.Close() // it can't be woken, or is closed
}
