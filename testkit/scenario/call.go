package scenario

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	targetemulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

// DefaultKey is the API key of the scenarios' client account.
const DefaultKey = "demo-key"

// Call is one request of a caller.
type Call struct {
	URL            string
	Pipeline       string
	SchemaVersion  string
	Key            string
	IdempotencyKey string
	Input          string
	Stream         bool
	// Malformed sends a body that is refused as soon as it is read.
	Malformed bool
	// Client sends the request; nil means the package's default client.
	Client *http.Client
}

// Reply is the response that the caller received, streamed or not.
type Reply struct {
	Status  int
	Header  http.Header
	Answer  callerapi.Response
	Problem *callerapi.Problem
}

// Do sends the request. A stream that ends early, or whose joined tokens differ from its final
// output, is an error.
func (c Call) Do() (Reply, error) {
	status, header, text, err := exchangeWith(c.Client, http.MethodPost, c.URL+"/v1/pipelines/"+c.Pipeline+"/requests", c.body(), c.header())
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: status, Header: header}
	if strings.HasPrefix(header.Get("Content-Type"), callerapi.MediaStream) {
		return reply, reply.readStream(text)
	}
	if status == http.StatusOK {
		return reply, json.Unmarshal(text, &reply.Answer)
	}
	return reply, json.Unmarshal(text, &reply.Problem)
}

func (c Call) body() []byte {
	if c.Malformed {
		return []byte("{")
	}
	body, _ := json.Marshal(callerapi.Request{Input: c.Input}) // strings always encode
	return body
}

func (c Call) header() http.Header {
	h := http.Header{"Authorization": {"Bearer " + c.Key}}
	if c.SchemaVersion != "" {
		h.Set(callerapi.HeaderSchemaVersion, c.SchemaVersion)
	}
	if c.IdempotencyKey != "" {
		h.Set(callerapi.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	if c.Stream {
		h.Set("Accept", callerapi.MediaStream)
	}
	return h
}

func (r *Reply) readStream(text []byte) error {
	decoder := sse.NewDecoder(bytes.NewReader(text), sse.Limits{Event: 4 << 20, Line: 4 << 20})
	var joined strings.Builder
	for next := 0; ; next++ {
		event, err := decoder.Next()
		if err != nil {
			return errors.Wrap(err, "stream without an end")
		}
		switch event.Name {
		case callerapi.EventToken:
			if event.ID != strconv.Itoa(next) {
				return errors.Newf("token %s where %d was due", event.ID, next)
			}
			var token callerapi.TokenEvent
			if err := json.Unmarshal([]byte(event.Data), &token); err != nil {
				return err
			}
			joined.WriteString(token.Token)
		case callerapi.EventError:
			return json.Unmarshal([]byte(event.Data), &r.Problem)
		case callerapi.EventDone:
			if err := json.Unmarshal([]byte(event.Data), &r.Answer); err != nil {
				return err
			}
			if next > 0 && joined.String() != r.Answer.Output {
				return errors.New("the tokens don't join to the answer")
			}
			return nil
		}
	}
}

// SubmitMain is the program "submit": it sends one or more requests and prints the status, the
// outcome and the output of each, one per line.
func SubmitMain() {
	c := Call{}
	flags := flag.NewFlagSet("submit", flag.ExitOnError)
	flags.StringVar(&c.Key, "key", DefaultKey, "caller key")
	flags.StringVar(&c.IdempotencyKey, "idempotency-key", "", "")
	flags.StringVar(&c.SchemaVersion, "schema", "", "schema version of the pipeline")
	flags.StringVar(&c.Input, "input", "hello", "")
	flags.BoolVar(&c.Stream, "stream", false, "")
	count := flags.Int("count", 1, "number of calls, one after the other")
	retry := flags.Bool("retry", false, "come back after a refusal when it says so")
	_ = flags.Parse(os.Args[1:]) // exits on an error
	c.URL, c.Pipeline = flags.Arg(0), flags.Arg(1)
	failed := false
	for range *count {
		reply, err := c.callWithRetries(*retry)
		if err != nil {
			fmt.Fprintln(os.Stderr, "submit:", err)
			os.Exit(2)
		}
		printReply(reply)
		failed = failed || reply.Problem != nil
	}
	if failed {
		os.Exit(1)
	}
}

// callWithRetries sends the request and, if retry is set, repeats it as long as the response
// names a time to retry.
func (c Call) callWithRetries(retry bool) (reply Reply, err error) {
	if !retry {
		return c.Do()
	}
	waitErr := until("an answer", func() bool {
		reply, err = c.Do()
		return err != nil || reply.Problem == nil || reply.Problem.RetryAfterMS == 0
	})
	return reply, errors.CombineErrors(err, waitErr)
}

func printReply(r Reply) {
	if r.Problem == nil {
		fmt.Printf("status %d\nid %s\noutput %s\n", r.Status, r.Answer.RequestID, r.Answer.Output)
		return
	}
	fmt.Printf("status %d\ntype %s\noutcome %s\n", r.Problem.Status, r.Problem.Type, r.Problem.Outcome)
	fmt.Printf("retry_after_ms %d\nfield %s\nstep %s\n", r.Problem.RetryAfterMS, r.Problem.Field, r.Problem.Step)
}

// ExpectedMain is the program "expected": it prints the output of a sample pipeline for an
// input, computed from the emulated targets alone.
func ExpectedMain() {
	pipeline, version, input := os.Args[1], os.Args[2], os.Args[3]
	fmt.Printf("output %s\n", Expected(pipeline, version, input))
}

// generatedTokens is the number of tokens that the sample's generation stage produces.
const generatedTokens = 24

// Expected computes the output of a sample pipeline, or of "copy" and "twice", which some
// scripts define with one and two stages.
func Expected(pipeline, version, input string) string {
	if pipeline == "work-order" {
		out, _ := targetemulator.Output("submit", []string{input}, "", 0)
		return out
	}
	encoded, _ := targetemulator.Output("encode", []string{input}, "", 0)
	if pipeline == "copy" {
		return encoded
	}
	if pipeline == "twice" {
		again, _ := targetemulator.Output("again", []string{encoded}, "", 0)
		return again
	}
	retrieveFrom, rerankFrom := []string{encoded}, []string(nil)
	if version == "2" {
		retrieveFrom = []string{input}
	}
	retrieved, _ := targetemulator.Output("retrieve", retrieveFrom, "", 0)
	rerankFrom = []string{retrieved}
	if version == "2" {
		rerankFrom = []string{encoded, retrieved}
	}
	reranked, _ := targetemulator.Output("rerank", rerankFrom, "", 0)
	out, _ := targetemulator.Output("generate", []string{reranked}, "writer", generatedTokens)
	return out
}
