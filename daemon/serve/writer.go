package serve

import (
	"net/http"
	"time"
)

// timeoutWriter sets a write deadline for each write of a response.
//
// Without it, a caller that stops reading would fill the buffers of its connection,
// the next write would never return, and the request would occupy its slot, and a
// stream also its target's slot, forever. net/http clears the deadline before the
// connection's next request.
//
// Setting the deadline costs as much as a small write, so it is extended at most once
// in a quarter of the timeout. A write therefore has between three quarters of the
// timeout and all of it.
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

// FlushError implements the flush method that http.ResponseController looks for.
func (w *timeoutWriter) FlushError() error {
	w.extendDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController set the deadlines of the connection.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *timeoutWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(w.deadlineSetAt) < w.timeout/4 {
		return
	}
	w.deadlineSetAt = now
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(now.Add(w.timeout)) // unsupported only in tests
}
