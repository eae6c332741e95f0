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

// Faults of an answer.
var (
	errCrossed     = errors.New("answer carries another attempt id")
	errContentType = errors.New("answer has the wrong content type")
	errTooLarge    = errors.New("answer is larger than allowed")
)

// checkHeaders tells an answer from a refusal, and reads the latter.
func (x *exchange) checkHeaders() error {
	header := x.response.Header
	// Nothing that the answer says counts unless it is the answer to this very
	// attempt. A late answer on a reused connection shows as a foreign id, and
	// its Not-Run speaks of another attempt.
	if header.Get(targetapi.HeaderAttempt) != x.call.AttemptID {
		return x.failure(StepHeaders, errCrossed)
	}
	x.meta = readMeta(header)
	if x.response.StatusCode != http.StatusOK {
		return x.refusal()
	}
	if x.accept == contentTypeStream && !strings.HasPrefix(header.Get("Content-Type"), contentTypeStream) {
		return x.failure(StepHeaders, errContentType)
	}
	return nil
}

func readMeta(header http.Header) Meta {
	meta := Meta{
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

// refusal reads an answer other than 200. The contract says that the work was
// run and failed unless the target vouches that nothing was run.
func (x *exchange) refusal() error {
	failed := &AttemptError{Step: StepHeaders, Peer: x.call.Address, Outcome: Failed, Reason: ReasonFailed}
	if x.response.Header.Get(targetapi.HeaderNotRun) == "true" {
		failed.Outcome = NotRun
		failed.Reason = refusalReason(x.response.StatusCode)
	}
	// The body only explains: the outcome stands whatever becomes of it.
	body, err := io.ReadAll(io.LimitReader(x.body, maxRefusal))
	if err != nil {
		failed.Err = err
		return failed
	}
	failed.RetryAfterMS, failed.Err = x.explain(body)
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

func (x *exchange) explain(body []byte) (int64, error) {
	var refusal targetapi.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return 0, errors.Newf("status %d", x.response.StatusCode)
	}
	return max(refusal.RetryAfterMS, 0), errors.Newf("status %d: %s", x.response.StatusCode, refusal.Error)
}

// readWhole reads an answer that is not streamed.
func (x *exchange) readWhole() (targetapi.RunResponse, error) {
	body, err := io.ReadAll(x.body)
	if err != nil {
		return targetapi.RunResponse{}, x.failure(StepBody, err)
	}
	return x.parseAnswer(StepBody, body)
}

// parseAnswer parses an answer and checks that it is this attempt's.
func (x *exchange) parseAnswer(step Step, body []byte) (targetapi.RunResponse, error) {
	var answer targetapi.RunResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return targetapi.RunResponse{}, x.failure(step, garbledError{err})
	}
	if answer.AttemptID != x.call.AttemptID {
		return targetapi.RunResponse{}, x.failure(step, errCrossed)
	}
	return answer, nil
}

// watchedBody reads the answer's body within its bounds of size and silence.
type watchedBody struct {
	exchange *exchange
	left     int64
}

// Read bounds the silence only while it waits for bytes: a caller that takes
// its time over a token must not make the target look silent.
func (b *watchedBody) Read(p []byte) (int, error) {
	x := b.exchange
	x.silence.Reset(x.gap)
	n, err := x.response.Body.Read(p)
	x.silence.Stop()
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}
