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

// kept is a connection that a caller keeps until the instance closes it. It is driven
// here, as http.Transport sends a request again, unasked, where a kept connection
// broke: its callers would not see the loss.
type persistentConn struct {
	history *processHistory
	conn    net.Conn
	reader  *bufio.Reader
	// next gets the end of the wait for what comes next.
	incoming chan readResult
	// answers counts the answers so far.
	answers int
}

// coming is what comes next on a connection: bytes, or its end by an error.
type readResult struct {
	err error
	at  time.Time
}

// keep opens a connection to the present process of an instance; nil if it can't.
func dialInstance(in *instance) *persistentConn {
	before, _ := in.current()
	nc, err := net.DialTimeout("tcp", in.callerAddress, time.Second)
	if err != nil {
		return nil // it has ended since the balancer asked
	}
	if after, _ := in.current(); after != before {
		_ = nc.Close() // whose it is can't be told
		return nil
	}
	k := &persistentConn{history: before, conn: nc, reader: bufio.NewReader(nc)}
	k.watch()
	return k
}

// listen waits beside the caller for what comes next, so that a close is seen
// before the next request is sent.
func (k *persistentConn) watch() {
	next := make(chan readResult, 1)
	k.incoming = next
	go func() {
		_, err := k.reader.Peek(1)
		next <- readResult{err, time.Now()}
	}()
}

// over tells whether the connection can't be used for one more request; stray tells
// that bytes came that nobody asked for.
func (k *persistentConn) finished() (over, stray bool) {
	select {
	case next := <-k.incoming:
		return true, next.err == nil
	default:
		return false, false
	}
}

// send writes a request in parts, with a pause between them, and notes the moments
// in the exchange.
func (k *persistentConn) send(x *exchange, parts [][]byte, pause time.Duration) {
	_ = k.conn.SetDeadline(time.Now().Add(plannedCallerTimeout)) // a closed connection says so at the write
	x.firstByte = time.Now()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, x.err = k.conn.Write(part); x.err != nil {
			return
		}
	}
	x.fullySent, x.lastByte = true, time.Now()
}

// receive reads the answer to a request; goesOn tells that the connection can be
// used for the next.
func (k *persistentConn) receive(x *exchange) (goesOn bool) {
	defer func() { x.ended = time.Now() }()
	if next := <-k.incoming; next.err != nil {
		x.err, x.closeSeen = next.err, next.at
		return false
	}
	response, err := http.ReadResponse(k.reader, nil)
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
	k.answers++
	_ = k.conn.SetDeadline(time.Time{}) // a closed connection says so at the read
	k.watch()
	return true
}

// timedOut tells that the caller's own patience ended.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
