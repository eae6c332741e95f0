package serve

import (
	"net/http"
	"time"
)

// boundedWriter gives each write of an answer a bound of its own.
//
// The failure: a caller that stops reading fills the buffers of its connection,
// the next write never returns, and the request holds its place, and a stream
// its target's slot, for ever. net/http takes the bound off again before the
// connection's next request.
type boundedWriter struct {
	http.ResponseWriter
	limit time.Duration
}

// Write implements http.ResponseWriter.
func (w boundedWriter) Write(p []byte) (int, error) {
	w.bound()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the extension of http.ResponseController.
func (w boundedWriter) FlushError() error {
	w.bound()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController find the deadlines of the connection.
func (w boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w boundedWriter) bound() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.limit)) // unsupported only in tests
}
