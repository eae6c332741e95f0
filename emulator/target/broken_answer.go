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

// duplicateTimeout bounds the time that sendTwice waits for the next call.
const duplicateTimeout = time.Minute

var errInjected = errors.New("fault: failed after the work")

// injectAfterWork applies the faults between the work and the response.
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

// withCrossedID returns the result with the id of another attempt under
// FaultCrossed.
func (a *attempt) withCrossedID(result targetapi.RunResponse) targetapi.RunResponse {
	if a.faults.has(FaultCrossed) {
		result.AttemptID = crossedID(a.id)
	}
	return result
}

func crossedID(id string) string {
	return "not-" + id
}

// abortConnection closes the connection without sending anything more. It doesn't
// return.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection so that the peer sees a reset. It doesn't
// return.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abortConnection()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Drops unsent and unread bytes and sends the peer an RST.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	abortConnection()
}

// sendTwice sends the response, and sends it again when the next call arrives on
// the connection: the sender of that call takes the copy for the response to that call.
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

// encodeResponse returns an HTTP/1.1 response with status 200.
func encodeResponse(header http.Header, body []byte) []byte {
	var wire bytes.Buffer
	wire.WriteString("HTTP/1.1 200 OK\r\n")
	// Writing to a buffer doesn't fail.
	_ = header.Write(&wire)
	wire.WriteString("\r\n")
	wire.Write(body)
	return wire.Bytes()
}
