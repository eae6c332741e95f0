package target

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errConnectTimeout = errors.New("connect timeout")

// conn counts the writes, so that a call that failed can be told to have never
// left this process.
//
// The failure: a target closes an idle connection just as a call is put on it.
// It shows as the same error whether the call was sent or not. The count holds
// because an HTTP/1.1 connection carries one call at a time: when no write was
// begun since the call got the connection, no byte of it can have left.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: a caller that gives up meanwhile must see it.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// dialError says that no connection came about.
type dialError struct {
	cause   error
	timeout bool
}

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }
