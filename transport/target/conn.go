package target

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errConnectTimeout = errors.New("connect timeout")

// countingConn counts writes, so that a failed call can be classified as never sent.
//
// A target may close an idle connection just as a call is assigned to it. The error
// is the same whether the request was sent or not. The count is reliable because an
// HTTP/1.1 connection carries one call at a time: if no write has begun since the
// call got the connection, no byte of the request has left this process.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes, so that a caller that gives up during the write
// sees it.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// dialError is a failure to open a connection.
type dialError struct {
	cause   error
	timeout bool
}

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }
