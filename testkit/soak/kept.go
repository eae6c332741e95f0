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
type kept struct {
	life   *life
	nc     net.Conn
	reader *bufio.Reader
	// next gets the end of the wait for what comes next.
	next chan coming
	// answers counts the answers so far.
	answers int
}

// coming is what comes next on a connection: bytes, or its end by an error.
type coming struct {
	err error
	at  time.Time
}

// keep opens a connection to the present process of an instance; nil if it can't.
func keep(in *instance) *kept {
	before, _ := in.present()
	nc, err := net.DialTimeout("tcp", in.callers, time.Second)
	if err != nil {
		return nil // it has ended since the balancer asked
	}
	if after, _ := in.present(); after != before {
		_ = nc.Close() // whose it is can't be told
		return nil
	}
	k := &kept{life: before, nc: nc, reader: bufio.NewReader(nc)}
	k.listen()
	return k
}

// listen waits beside the caller for what comes next, so that a close is seen
// before the next request is sent.
func (k *kept) listen() {
	next := make(chan coming, 1)
	k.next = next
	go func() {
		_, err := k.reader.Peek(1)
		next <- coming{err, time.Now()}
	}()
}

// over tells whether the connection can't be used for one more request; stray tells
// that bytes came that nobody asked for.
func (k *kept) over() (over, stray bool) {
	select {
	case next := <-k.next:
		return true, next.err == nil
	default:
		return false, false
	}
}

// send writes a request in parts, with a pause between them, and notes the moments
// in the exchange.
func (k *kept) send(x *exchange, parts [][]byte, pause time.Duration) {
	_ = k.nc.SetDeadline(time.Now().Add(plannedWait)) // a closed connection says so at the write
	x.first = time.Now()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, x.err = k.nc.Write(part); x.err != nil {
			return
		}
	}
	x.sent, x.last = true, time.Now()
}

// receive reads the answer to a request; goesOn tells that the connection can be
// used for the next.
func (k *kept) receive(x *exchange) (goesOn bool) {
	defer func() { x.ended = time.Now() }()
	if next := <-k.next; next.err != nil {
		x.err, x.closed = next.err, next.at
		return false
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		x.err, x.closed = err, time.Now()
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	x.status, x.body, x.whole, x.err = response.StatusCode, string(body), err == nil, err
	x.retryAfter = response.Header.Get("Retry-After")
	if err != nil || response.Close || !x.sent {
		return false
	}
	k.answers++
	_ = k.nc.SetDeadline(time.Time{}) // a closed connection says so at the read
	k.listen()
	return true
}

// timedOut tells that the caller's own patience ended.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
