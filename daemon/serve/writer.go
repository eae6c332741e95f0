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
//
// The bound is put off at most once in a quarter of the limit, because each
// time costs as much as a small write; it so lies between three quarters of the
// limit and the whole.
type timeoutWriter struct {
	http.ResponseWriter
	timeout       time.Duration
	deadlineSetAt time.Time
}

// Write implements http.ResponseWriter.
func (w *timeoutWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the extension of http.ResponseController.
func (w *timeoutWriter) FlushError() error {
	w.extendDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController find the deadlines of the connection.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *timeoutWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(w.deadlineSetAt) < w.timeout/4 {
		return
	}
	w.deadlineSetAt = now
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(now.Add(w.timeout)) // unsupported only in tests
}
