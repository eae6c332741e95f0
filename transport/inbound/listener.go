package inbound

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// listener wraps accepted connections for a Server.
type listener struct {
	net.Listener
	server *Server
	// draining is set when the listener is to close after accepting the connections
	// that wait.
	draining atomic.Bool
}

// deadlineSetter is a listener whose Accept can be interrupted.
type deadlineSetter interface {
	SetDeadline(t time.Time) error
}

// Accept implements net.Listener. While the listener is draining, it returns the
// connections in the accept queue and closes the listener when there are none.
//
// Otherwise the kernel would reset the connections in the accept queue when the listener
// is closed, and the requests that callers have sent on them would be lost.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil && !l.server.admit() {
			l.server.refuse(nc)
			continue
		}
		if err == nil {
			return l.server.track(nc), nil
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !readable(l.Listener) {
			_ = l.Close() // the accept queue is empty
			return nil, net.ErrClosed
		}
		if err := l.allowAccept(); err != nil {
			return nil, err
		}
	}
}

// allowAccept sets a short deadline, so that the next Accept can return a connection from
// the accept queue. It is short since the caller may have disconnected meanwhile.
func (l *listener) allowAccept() error {
	return l.Listener.(deadlineSetter).SetDeadline(time.Now().Add(acceptTimeout))
}

// acceptTimeout bounds an Accept from the accept queue while the listener is draining.
const acceptTimeout = 10 * time.Millisecond

// drain makes Accept close the listener when the accept queue is empty.
func (l *listener) drain() {
	l.draining.Store(true)
	if d, ok := l.Listener.(deadlineSetter); ok && d.SetDeadline(longAgo) == nil {
		return
	}
	_ = l.Close() // Accept can't be interrupted, or the listener is closed
}
