package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// maxRefusal bounds the body of a refusal, in bytes.
const maxRefusal = 64 << 10

// Errors in a response.
var (
	errWrongAttempt = errors.New("answer carries another attempt id")
	errContentType  = errors.New("answer has the wrong content type")
	errTooLarge     = errors.New("answer is larger than allowed")
)

// checkHeaders checks the response headers. For a response other than 200 it also
// reads the body and returns its error.
func (x *exchange) checkHeaders() error {
	header := x.response.Header
	// The attempt ID is checked first. A late response on a reused connection has
	// the ID of another attempt, and its Not-Run header applies to that attempt.
	if header.Get(targetapi.HeaderAttempt) != x.call.AttemptID {
		return x.fail(StepHeaders, errWrongAttempt)
	}
	x.meta = readMeta(header)
	if x.response.StatusCode != http.StatusOK {
		return x.readRefusal()
	}
	if x.accept == contentTypeStream && !strings.HasPrefix(header.Get("Content-Type"), contentTypeStream) {
		return x.fail(StepHeaders, errContentType)
	}
	return nil
}

func readMeta(header http.Header) ResponseMeta {
	meta := ResponseMeta{
		Received:    true,
		Incarnation: header.Get(targetapi.HeaderIncarnation),
		Leaving:     header.Get(targetapi.HeaderLeaving) == "true",
	}
	numbers := strings.Split(header.Get(targetapi.HeaderLoad), ",")
	if len(numbers) != 3 {
		return meta
	}
	var load [3]int
	for i, number := range numbers {
		value, err := strconv.Atoi(number)
		if err != nil || value < 0 {
			return meta
		}
		load[i] = value
	}
	meta.HasLoad = true
	meta.Active, meta.Queued, meta.Slots = load[0], load[1], load[2]
	return meta
}

// readRefusal reads a response other than 200. By the contract the stage was run and
// failed, unless the Not-Run header states that nothing was run.
func (x *exchange) readRefusal() error {
	failed := &AttemptError{Step: StepHeaders, Peer: x.call.Address, Outcome: Failed, Reason: ReasonFailed}
	if x.response.Header.Get(targetapi.HeaderNotRun) == "true" {
		failed.Outcome = NotRun
		failed.Reason = refusalReason(x.response.StatusCode)
	}
	// The body only holds details; the outcome doesn't depend on reading it.
	body, err := io.ReadAll(io.LimitReader(x.body, maxRefusal))
	if err != nil {
		failed.Err = err
		return failed
	}
	failed.RetryAfterMS, failed.Err = x.refusalDetail(body)
	return failed
}

func refusalReason(status int) Reason {
	switch status {
	case http.StatusMisdirectedRequest:
		return ReasonWrongIncarnation
	case http.StatusServiceUnavailable:
		return ReasonFull
	default:
		return ReasonRefused
	}
}

func (x *exchange) refusalDetail(body []byte) (int64, error) {
	var refusal targetapi.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return 0, errors.Newf("status %d", x.response.StatusCode)
	}
	return max(refusal.RetryAfterMS, 0), errors.Newf("status %d: %s", x.response.StatusCode, refusal.Error)
}

// readWhole reads a response that is not streamed.
func (x *exchange) readWhole() (targetapi.RunResponse, error) {
	body, err := io.ReadAll(x.body)
	if err != nil {
		return targetapi.RunResponse{}, x.fail(StepBody, err)
	}
	return x.parseAnswer(StepBody, body)
}

// parseAnswer parses an answer and checks its attempt ID.
func (x *exchange) parseAnswer(step Step, body []byte) (targetapi.RunResponse, error) {
	var answer targetapi.RunResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return targetapi.RunResponse{}, x.fail(step, contractError{err})
	}
	if answer.AttemptID != x.call.AttemptID {
		return targetapi.RunResponse{}, x.fail(step, errWrongAttempt)
	}
	return answer, nil
}

// boundedBody reads the response body within the bounds of its size and of the time
// without a byte.
type boundedBody struct {
	exchange  *exchange
	remaining int64
}

// Read runs the silence timer only while it waits for bytes, so that a caller that
// is slow to process a token doesn't make the target look silent.
func (b *boundedBody) Read(p []byte) (int, error) {
	x := b.exchange
	if x.endsIfSilent == nil || x.endsIfSilent() {
		x.silenceTimer.Reset(x.bodyIdleTimeout)
	}
	n, err := x.response.Body.Read(p)
	x.silenceTimer.Stop()
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errTooLarge
	}
	return n, err
}
