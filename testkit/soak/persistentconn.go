package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// persistentConn is a connection that a caller reuses until the instance closes it. It doesn't
// use http.Transport, which silently retries a request when a reused connection breaks and
// would hide the loss.
type persistentConn struct {
	history *processHistory
	conn    net.Conn
	reader  *bufio.Reader
	// incoming receives the result of waiting for the next bytes.
	incoming chan readResult
	// answers counts the responses so far.
	answers int
}

// readResult is the end of a wait for bytes: the arrival of bytes, or an error.
type readResult struct {
	err error
	at  time.Time
}

// dialInstance opens a connection to the current process of an instance; nil on failure.
func dialInstance(in *instance) *persistentConn {
	before, _ := in.current()
	conn, err := net.DialTimeout("tcp", in.callerAddress, time.Second)
	if err != nil {
		return nil // the instance has exited since its last probe
	}
	if after, _ := in.current(); after != before {
		_ = conn.Close() // either process may have accepted it
		return nil
	}
	c := &persistentConn{history: before, conn: conn, reader: bufio.NewReader(conn)}
	c.watch()
	return c
}

// watch waits in the background for the next bytes, so that a close is detected before the
// next request is sent.
func (c *persistentConn) watch() {
	next := make(chan readResult, 1)
	c.incoming = next
	go func() {
		_, err := c.reader.Peek(1)
		next <- readResult{err, time.Now()}
	}()
}

// finished reports whether the connection can't be used for another request; stray reports
// unsolicited bytes.
func (c *persistentConn) finished() (over, stray bool) {
	select {
	case next := <-c.incoming:
		return true, next.err == nil
	default:
		return false, false
	}
}

// send writes a request in parts, with a pause between them, and records the times in the
// exchange.
func (c *persistentConn) send(x *exchange, parts [][]byte, pause time.Duration) {
	_ = c.conn.SetDeadline(time.Now().Add(plannedCallerTimeout)) // on a closed connection the write fails
	x.firstByte = time.Now()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, x.err = c.conn.Write(part); x.err != nil {
			return
		}
	}
	x.fullySent, x.lastByte = true, time.Now()
}

// receive reads the response to a request; goesOn reports whether the connection can be used
// for the next one.
func (c *persistentConn) receive(x *exchange) (goesOn bool) {
	defer func() { x.ended = time.Now() }()
	if next := <-c.incoming; next.err != nil {
		x.err, x.closeSeen = next.err, next.at
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		x.err, x.closeSeen = err, time.Now()
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	x.status, x.body, x.complete, x.err = response.StatusCode, string(body), err == nil, err
	x.retryAfter = response.Header.Get("Retry-After")
	if err != nil || response.Close || !x.fullySent {
		return false
	}
	c.answers++
	_ = c.conn.SetDeadline(time.Time{}) // on a closed connection the read fails
	c.watch()
	return true
}

// timedOut reports whether the caller's own timeout expired.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
