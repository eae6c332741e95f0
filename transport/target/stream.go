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

// streamEndTimeout bounds the wait for the end of the stream after its done event.
// If the end is read, the connection can be reused; otherwise it is closed.
const streamEndTimeout = 20 * time.Millisecond

var (
	errMissingTokens = errors.New("tokens are missing in the stream")
	errTextMismatch  = errors.New("the whole text is not that of the tokens")
	errNoDoneEvent   = errors.New("stream ended without a whole answer")
)

// tokenStream is the state of one streamed response.
type tokenStream struct {
	exchange *exchange
	events   *sse.Decoder
	onToken  func(offset int, token string) error
	// nextOffset is the offset of the next token.
	nextOffset int
	// text is the concatenation of this attempt's tokens.
	text strings.Builder
}

// readStream reads a streamed response up to its done or error event.
func (x *exchange) readStream(onToken func(offset int, token string) error) (targetapi.RunResponse, error) {
	if !x.call.Deadline.IsZero() {
		x.endsIfSilent = x.call.EndsIfSilent
	}
	limit := int(x.client.options.MaxBody)
	s := &tokenStream{
		exchange:   x,
		events:     sse.NewDecoder(x.body, sse.Limits{Line: limit, Event: limit}),
		onToken:    onToken,
		nextOffset: x.call.Run.ResumeFrom,
	}
	for {
		event, err := s.events.Next()
		if err == io.EOF {
			err = errNoDoneEvent
		}
		if err != nil {
			return targetapi.RunResponse{}, x.fail(StepStream, err)
		}
		switch event.Name {
		case targetapi.EventToken:
			if err := s.handleToken(event); err != nil {
				return targetapi.RunResponse{}, err
			}
		case targetapi.EventDone:
			return s.handleDone(event)
		case targetapi.EventError:
			return targetapi.RunResponse{}, s.handleError(event)
		}
	}
}

// handleToken checks the offset of a token and passes the token to onToken.
func (s *tokenStream) handleToken(event sse.Event) error {
	x := s.exchange
	offset, err := strconv.Atoi(event.ID)
	if err != nil {
		return x.fail(StepStream, contractError{err})
	}
	token, err := parseToken(event.Data)
	if err != nil {
		return x.fail(StepStream, contractError{err})
	}
	if offset < s.nextOffset {
		// The token is a duplicate.
		return nil
	}
	if offset > s.nextOffset {
		return x.fail(StepStream, contractError{errMissingTokens})
	}
	if err := s.onToken(offset, token); err != nil {
		return x.fail(StepDeliver, &deliveryError{err})
	}
	s.nextOffset++
	s.text.WriteString(token)
	return nil
}

// parseToken parses a TokenEvent. It has a fast path for the usual form, a single
// field whose text needs no unescaping, and uses encoding/json for all others.
func parseToken(data string) (string, error) {
	text, head := strings.CutPrefix(data, `{"token":"`)
	text, tail := strings.CutSuffix(text, `"}`)
	if head && tail && isPlainText(text) {
		return text, nil
	}
	var token targetapi.TokenEvent
	err := json.Unmarshal([]byte(data), &token)
	return token.Token, err
}

// isPlainText reports whether the text of a JSON string needs no unescaping: all of
// it is printable ASCII without quotes and backslashes.
func isPlainText(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// handleDone checks that the final answer matches the tokens.
func (s *tokenStream) handleDone(event sse.Event) (targetapi.RunResponse, error) {
	x := s.exchange
	answer, err := x.parseAnswer(StepStream, []byte(event.Data))
	if err != nil {
		return targetapi.RunResponse{}, err
	}
	if !s.matches(answer) {
		return targetapi.RunResponse{}, x.fail(StepStream, contractError{errTextMismatch})
	}
	s.readEnd()
	return answer, nil
}

func (s *tokenStream) matches(answer targetapi.RunResponse) bool {
	resumedFrom := s.exchange.call.Run.ResumeFrom
	if answer.Tokens != s.nextOffset-resumedFrom {
		return false
	}
	if resumedFrom == 0 && answer.Tokens > 0 {
		return answer.Output == s.text.String()
	}
	return strings.HasSuffix(answer.Output, s.text.String())
}

// readEnd reads the end of the stream, so that the connection can be reused. If the
// end doesn't arrive, or another event does, the connection is closed but the answer
// stays valid.
func (s *tokenStream) readEnd() {
	x := s.exchange
	x.bodyIdleTimeout, x.endsIfSilent = streamEndTimeout, nil
	if _, err := s.events.Next(); err != io.EOF {
		x.closeConn()
	}
}

// handleError converts an error event, by which the target reports that the run
// failed, to an error.
func (s *tokenStream) handleError(event sse.Event) error {
	var refusal targetapi.Refusal
	if err := json.Unmarshal([]byte(event.Data), &refusal); err != nil {
		return s.exchange.fail(StepStream, contractError{err})
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
