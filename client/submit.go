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

// input takes the text itself, or reads it from a file or from standard input.
func (a *app) readInput(word string) (string, error) {
	if word == "-" {
		text, err := readAtMost(a.Stdin, maxInputBytes)
		return text, errors.Wrap(err, "read input")
	}
	if name, ok := strings.CutPrefix(word, "@"); ok {
		text, err := readFileAtMost(name, maxInputBytes)
		return text, errors.Wrap(err, "read input")
	}
	return word, nil
}

func readFileAtMost(name string, limit int64) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer file.Close()
	return readAtMost(file, limit)
}

// readAtMost reads a text whole. One over the limit is an error: a part of it
// would be taken for the whole.
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

// answerStream reads a streamed answer.
type answerStream struct {
	app      *app
	cmd      *cli.Command
	response *http.Response
	// next is the offset of the next token.
	nextOffset int
	// text is what the tokens so far add up to; the bound of the body bounds it.
	received strings.Builder
}

// read prints tokens until the event that ends the stream. A stream that ends
// without one was cut off.
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

// token prints a token. One out of order means that a token was lost or came
// twice; what was printed is then not the answer.
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

// end prints what the tokens left out of the answer. A kept answer comes without
// tokens: printed as it came, it would be an empty line and a success.
func (s *answerStream) finish(answer callerapi.Response) error {
	rest, ok := strings.CutPrefix(answer.Output, s.received.String())
	if !ok {
		return truncatedAnswer(s.response, errors.New("the tokens are not the answer"))
	}
	if s.cmd.String(flagOutput) == outputTable {
		answer.Output = rest
	}
	return s.app.printAnswer(s.cmd, answer)
}

// cutOff is the error of an answer that ended early: the request was run, at
// least in part.
func truncatedAnswer(response *http.Response, cause error) error {
	return &RequestError{Problem: callerapi.Problem{
		Title: "the answer was cut off", Detail: cause.Error(),
		RequestID: response.Header.Get(callerapi.HeaderRequestID), Outcome: callerapi.OutcomeUnknown,
	}}
}
