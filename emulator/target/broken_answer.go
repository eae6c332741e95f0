package target

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// secondAnswerWait bounds how long a duplicate answer waits for the next call.
const duplicateTimeout = time.Minute

var errInjected = errors.New("fault: failed after the work")

// afterWork carries out the faults that come between the work and the answer.
func (a *attempt) injectAfterWork() error {
	if a.faults.has(FaultGrey) {
		return errInjected
	}
	if a.faults.has(FaultLost) {
		abortConnection()
	}
	if late, ok := a.faults[FaultLate]; ok {
		return a.waitFor(a.target.options.After(time.Duration(late.DelayMS) * time.Millisecond))
	}
	whole, ok := a.responder.(*jsonResponder)
	if ok && a.faults.has(FaultReset) {
		resetConnection(whole.w)
	}
	if ok && a.faults.has(FaultCrash) {
		abortConnection()
	}
	return nil
}

// crossed gives the answer the id of another attempt when a fault says so.
func (a *attempt) withCrossedID(result targetapi.RunResponse) targetapi.RunResponse {
	if a.faults.has(FaultCrossed) {
		result.AttemptID = crossedID(a.id)
	}
	return result
}

func crossedID(id string) string {
	return "not-" + id
}

// abort closes the connection without a word more.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// reset closes the connection so that the peer sees a reset, and does not
// return.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abortConnection()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Unsent and unread bytes are dropped, and the peer gets an RST.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	abortConnection()
}

// answerTwice sends the answer, and once more when the next call arrives on
// the connection: to that call's sender it looks like the answer to it.
func (a *attempt) sendTwice(w http.ResponseWriter, body []byte) error {
	answer := encodeResponse(w.Header(), body)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(a.target.closing, func() { _ = conn.Close() })()
	if _, err := conn.Write(answer); err != nil {
		return nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(duplicateTimeout))
	if _, err := buffered.Peek(1); err != nil {
		return nil
	}
	_, _ = conn.Write(answer)
	return nil
}

// wireAnswer is the answer as HTTP/1.1 puts it on the connection.
func encodeResponse(header http.Header, body []byte) []byte {
	var wire bytes.Buffer
	wire.WriteString("HTTP/1.1 200 OK\r\n")
	// A buffer takes every write.
	_ = header.Write(&wire)
	wire.WriteString("\r\n")
	wire.Write(body)
	return wire.Bytes()
}
