package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// readBody reads the complete body, so that it can be sent again where that is allowed. It
// returns false if it has sent a final response.
func (q *request) readBody(limit int64) bool {
	if limit <= 0 || limit > maxBody {
		limit = maxBody
	}
	if q.r.ContentLength == 0 {
		return true
	}
	body, err := q.readAll(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.deny(http.StatusRequestEntityTooLarge, "the body is too large")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.refuse("body_not_sent", minRetryAfter)
		return false
	case err != nil:
		q.reason = "caller_left_body"
		q.logEnd(0)
		panic(http.ErrAbortHandler)
	}
	q.body = body
	return true
}

// readAll reads the body, until the response is due or the instance stops at the latest.
//
// Otherwise the connection of a body that never arrives would stay open until the end of a
// planned stop, and would then be closed without a response.
func (q *request) readAll(limit int64) ([]byte, error) {
	readDeadline := &bodyReadDeadline{controller: http.NewResponseController(q.w)}
	readDeadline.set(q.deadline)
	release := context.AfterFunc(q.relay.stop.begun, func() {
		window, _ := q.relay.stopWindow()
		readDeadline.set(earlier(q.deadline, window.SendDeadline(q.drainRequest())))
	})
	defer release()
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		readDeadline.remove()
	}
	return body, err
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
