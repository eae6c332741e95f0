package target

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// endWait bounds the wait for the end of a stream whose answer is whole. With
// the end read, the connection can be used again; else it is closed.
const endWait = 20 * time.Millisecond

var (
	errGap      = errors.New("tokens are missing in the stream")
	errMismatch = errors.New("the whole text is not that of the tokens")
	errNoDone   = errors.New("stream ended without a whole answer")
)

// tokenStream is the state of one streamed answer.
type tokenStream struct {
	exchange *exchange
	events   *sse.Decoder
	onToken  func(offset int, token string) error
	// next is the offset of the token that is due.
	next int
	// text is what the tokens of this attempt add up to.
	text strings.Builder
}

// readStream reads a streamed answer up to its done or error event.
func (x *exchange) readStream(onToken func(offset int, token string) error) (targetapi.RunResponse, error) {
	limit := int(x.client.options.MaxBody)
	s := &tokenStream{
		exchange: x,
		events:   sse.NewDecoder(x.body, sse.Limits{Line: limit, Event: limit}),
		onToken:  onToken,
		next:     x.call.Run.ResumeFrom,
	}
	for {
		event, err := s.events.Next()
		if err == io.EOF {
			err = errNoDone
		}
		if err != nil {
			return targetapi.RunResponse{}, x.failure(StepStream, err)
		}
		switch event.Name {
		case targetapi.EventToken:
			if err := s.token(event); err != nil {
				return targetapi.RunResponse{}, err
			}
		case targetapi.EventDone:
			return s.done(event)
		case targetapi.EventError:
			return targetapi.RunResponse{}, s.failed(event)
		}
	}
}

// token checks the offset of a token and passes it on.
func (s *tokenStream) token(event sse.Event) error {
	x := s.exchange
	offset, err := strconv.Atoi(event.ID)
	if err != nil {
		return x.failure(StepStream, garbledError{err})
	}
	token, err := parseToken(event.Data)
	if err != nil {
		return x.failure(StepStream, garbledError{err})
	}
	if offset < s.next {
		// Sent twice. The offset tells, and the caller sees it once.
		return nil
	}
	if offset > s.next {
		return x.failure(StepStream, garbledError{errGap})
	}
	if err := s.onToken(offset, token); err != nil {
		return x.failure(StepDeliver, &deliveryError{err})
	}
	s.next++
	s.text.WriteString(token)
	return nil
}

// parseToken parses a TokenEvent. In its usual form, one field whose text has no
// escape, the text is cut out; whatever else is left to the decoder.
func parseToken(data string) (string, error) {
	text, head := strings.CutPrefix(data, `{"token":"`)
	text, tail := strings.CutSuffix(text, `"}`)
	if head && tail && plain(text) {
		return text, nil
	}
	var token targetapi.TokenEvent
	err := json.Unmarshal([]byte(data), &token)
	return token.Token, err
}

// plain tells whether a JSON string of this text is the text itself.
func plain(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// done checks that the whole answer is what the tokens add up to.
func (s *tokenStream) done(event sse.Event) (targetapi.RunResponse, error) {
	x := s.exchange
	answer, err := x.parseAnswer(StepStream, []byte(event.Data))
	if err != nil {
		return targetapi.RunResponse{}, err
	}
	if !s.matches(answer) {
		return targetapi.RunResponse{}, x.failure(StepStream, garbledError{errMismatch})
	}
	s.readEnd()
	return answer, nil
}

func (s *tokenStream) matches(answer targetapi.RunResponse) bool {
	resumedFrom := s.exchange.call.Run.ResumeFrom
	if answer.Tokens != s.next-resumedFrom {
		return false
	}
	if resumedFrom == 0 && answer.Tokens > 0 {
		return answer.Output == s.text.String()
	}
	return strings.HasSuffix(answer.Output, s.text.String())
}

// readEnd reads the end of the stream, so that the connection can be kept. An
// end that does not come, or another event in its place, costs the connection
// but not the answer.
func (s *tokenStream) readEnd() {
	x := s.exchange
	x.gap = endWait
	if _, err := s.events.Next(); err != io.EOF {
		x.closeConn()
	}
}

// failed reads the error event, with which a target says that the run failed.
func (s *tokenStream) failed(event sse.Event) error {
	var refusal targetapi.Refusal
	if err := json.Unmarshal([]byte(event.Data), &refusal); err != nil {
		return s.exchange.failure(StepStream, garbledError{err})
	}
	return &AttemptError{
		Step:         StepStream,
		Peer:         s.exchange.call.Address,
		Outcome:      Failed,
		Reason:       ReasonFailed,
		RetryAfterMS: max(refusal.RetryAfterMS, 0),
		Err:          errors.New(refusal.Error),
	}
}
