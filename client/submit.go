package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

const (
	flagInput         = "input"
	flagStream        = "stream"
	flagIdempotency   = "idempotency-key"
	flagSchemaVersion = "schema-version"
	flagMaxTokens     = "max-tokens"
)

func (a *app) submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "send one request to an instance and print its answer",
		ArgsUsage: "PIPELINE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagInput, Required: true, Usage: "`TEXT` of the request, @FILE, or - for standard input"},
			&cli.BoolFlag{Name: flagStream, Usage: "print tokens as they come"},
			&cli.StringFlag{Name: flagIdempotency, Usage: "`KEY` under which the request runs at most once"},
			&cli.IntFlag{Name: flagSchemaVersion, Usage: "schema version `N` of the pipeline; the oldest when absent"},
			&cli.IntFlag{Name: flagMaxTokens, Usage: "at most `N` tokens"},
		},
		Action: action(1, "PIPELINE", a.submit),
	}
}

func (a *app) submit(ctx context.Context, cmd *cli.Command) error {
	instance, err := a.newInstanceClient(cmd)
	if err != nil {
		return err
	}
	input, err := a.readInput(cmd.String(flagInput))
	if err != nil {
		return err
	}
	c := call{
		method: http.MethodPost,
		path:   "/v1/pipelines/" + url.PathEscape(cmd.Args().First()) + "/requests",
		header: submitHeader(cmd),
		body:   callerapi.Request{Input: input, MaxTokens: cmd.Int(flagMaxTokens)},
		read:   func(r *http.Response) error { return a.readAnswer(cmd, r) },
	}
	if cmd.Bool(flagStream) {
		c.read = func(r *http.Response) error { return (&answerStream{app: a, cmd: cmd, response: r}).read() }
	}
	return instance.do(ctx, c)
}

func submitHeader(cmd *cli.Command) http.Header {
	header := http.Header{}
	header.Set("Accept", callerapi.MediaJSON)
	if cmd.Bool(flagStream) {
		header.Set("Accept", callerapi.MediaStream)
	}
	if key := cmd.String(flagIdempotency); key != "" {
		header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	if version := cmd.Int(flagSchemaVersion); version != 0 {
		header.Set(callerapi.HeaderSchemaVersion, strconv.Itoa(version))
	}
	return header
}

// readInput returns the input that the flag value stands for: standard input for -,
// the content of the file for @FILE, or else the value itself.
func (a *app) readInput(value string) (string, error) {
	if value == "-" {
		text, err := readAtMost(a.Stdin, maxInputBytes)
		return text, errors.Wrap(err, "read input")
	}
	if name, ok := strings.CutPrefix(value, "@"); ok {
		text, err := readFileAtMost(name, maxInputBytes)
		return text, errors.Wrap(err, "read input")
	}
	return value, nil
}

func readFileAtMost(name string, limit int64) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer file.Close()
	return readAtMost(file, limit)
}

// readAtMost reads source to its end. A text longer than limit is an error, since
// a truncated one would be mistaken for the whole.
func readAtMost(source io.Reader, limit int64) (string, error) {
	text, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return "", err
	}
	if int64(len(text)) > limit {
		return "", errors.Newf("longer than %d bytes", limit)
	}
	return string(text), nil
}

func (a *app) readAnswer(cmd *cli.Command, response *http.Response) error {
	var answer callerapi.Response
	if err := readJSON(response, &answer); err != nil {
		return truncatedAnswer(response, err)
	}
	return a.printAnswer(cmd, answer)
}

func (a *app) printAnswer(cmd *cli.Command, answer callerapi.Response) error {
	if cmd.String(flagOutput) == outputJSON {
		return printJSON(a.Stdout, answer)
	}
	_, err := fmt.Fprintf(a.Stdout, "%s\n", answer.Output)
	fmt.Fprintf(a.Stderr, "request %s\n", answer.RequestID)
	return err
}

// answerStream reads and prints a streamed answer.
type answerStream struct {
	app      *app
	cmd      *cli.Command
	response *http.Response
	// nextOffset is the offset of the next token, counted in tokens.
	nextOffset int
	// received is the concatenation of the tokens so far; the limit on the body
	// bounds its length.
	received strings.Builder
}

// read handles events until one ends the stream. A stream that ends without such an
// event is truncated.
func (s *answerStream) read() error {
	events := sse.NewDecoder(io.LimitReader(s.response.Body, maxResponseBytes), sse.Limits{})
	for {
		event, err := events.Next()
		if err != nil {
			return truncatedAnswer(s.response, err)
		}
		if done, err := s.handle(event); done || err != nil {
			return err
		}
	}
}

// handle processes one event and reports whether it completes the answer.
func (s *answerStream) handle(event sse.Event) (done bool, err error) {
	switch event.Name {
	case callerapi.EventToken:
		return false, s.handleToken(event)
	case callerapi.EventDone:
		var answer callerapi.Response
		if err := json.Unmarshal([]byte(event.Data), &answer); err != nil {
			return false, truncatedAnswer(s.response, err)
		}
		return true, s.finish(answer)
	case callerapi.EventError:
		problem := callerapi.Problem{Outcome: callerapi.OutcomeUnknown}
		if err := json.Unmarshal([]byte(event.Data), &problem); err != nil {
			return false, truncatedAnswer(s.response, err)
		}
		return false, &RequestError{Problem: problem}
	}
	return false, nil
}

// handleToken records a token and prints it in table format. A token out of order
// means that one was lost or repeated, so the printed text isn't the answer.
func (s *answerStream) handleToken(event sse.Event) error {
	if event.ID != strconv.Itoa(s.nextOffset) {
		return truncatedAnswer(s.response, errors.Newf("token %q came in place of token %d", event.ID, s.nextOffset))
	}
	s.nextOffset++
	var token callerapi.TokenEvent
	if err := json.Unmarshal([]byte(event.Data), &token); err != nil {
		return truncatedAnswer(s.response, err)
	}
	s.received.WriteString(token.Token)
	if s.cmd.String(flagOutput) == outputTable {
		fmt.Fprint(s.app.Stdout, token.Token)
	}
	return nil
}

// finish prints the part of the answer that the tokens didn't contain. In JSON format,
// in which tokens aren't printed, it prints the whole answer. The stored answer to a
// repeated request arrives without tokens: without finish the output would be an empty
// line and the exit code would report success.
func (s *answerStream) finish(answer callerapi.Response) error {
	remaining, ok := strings.CutPrefix(answer.Output, s.received.String())
	if !ok {
		return truncatedAnswer(s.response, errors.New("the tokens are not the answer"))
	}
	if s.cmd.String(flagOutput) == outputTable {
		answer.Output = remaining
	}
	return s.app.printAnswer(s.cmd, answer)
}

// truncatedAnswer returns the error for an answer that ended early or is invalid. The
// request was run, at least in part, and the error gives its outcome as unknown.
func truncatedAnswer(response *http.Response, cause error) error {
	return &RequestError{Problem: callerapi.Problem{
		Title: "the answer was cut off", Detail: cause.Error(),
		RequestID: response.Header.Get(callerapi.HeaderRequestID), Outcome: callerapi.OutcomeUnknown,
	}}
}
