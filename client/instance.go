package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

const (
	// defaultTimeout bounds a whole command.
	defaultTimeout = 2 * time.Minute
	// maxResponseBytes bounds the body of an instance's response.
	maxResponseBytes = 16 << 20
	// maxInputBytes bounds the input of a submitted request.
	maxInputBytes = 16 << 20
	// maxKeyBytes bounds the size of a key file.
	maxKeyBytes = 4096
)

// instanceClient calls one instance with a caller key.
type instanceClient struct {
	http *http.Client
	base string
	// key is empty for calls to an admin address, which requires none.
	key string
}

func (a *app) newInstanceClient(cmd *cli.Command) (*instanceClient, error) {
	url := cmd.String(flagInstance)
	if url == "" {
		url = a.Getenv(envInstance)
	}
	if url == "" {
		return nil, usagef("name an instance with --%s or %s", flagInstance, envInstance)
	}
	key, err := a.readKey(cmd.String(flagKeyFile))
	if err != nil {
		return nil, err
	}
	return &instanceClient{http: a.HTTP, base: strings.TrimSuffix(url, "/"), key: key}, nil
}

// readKey returns the caller key from the file, or from the environment if no
// file is named. No flag carries the key itself, because every user of a machine
// can see its command lines.
func (a *app) readKey(file string) (string, error) {
	if file == "" {
		if key := a.Getenv(envKey); key != "" {
			return key, nil
		}
		return "", usagef("give the caller key with --%s or in %s", flagKeyFile, envKey)
	}
	text, err := readFileAtMost(file, maxKeyBytes)
	key := strings.TrimSpace(text)
	if err == nil && key == "" {
		err = errors.Newf("%s holds no key", file)
	}
	return key, errors.Wrap(err, "read key")
}

// call describes one HTTP call to an instance.
type call struct {
	method string
	path   string
	header http.Header
	body   any
	// read consumes a successful response.
	read func(*http.Response) error
}

// do sends a call. A failure becomes a *RequestError whose outcome says whether
// the request may have been run.
func (i *instanceClient) do(ctx context.Context, c call) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := i.newRequest(ctx, c)
	if err != nil {
		return usagef("%v", err)
	}
	response, err := i.http.Do(request)
	if err != nil {
		return i.noAnswer(err, connected.Load())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return i.readProblem(response)
	}
	return c.read(response)
}

func (i *instanceClient) newRequest(ctx context.Context, c call) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		text, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, i.base+c.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if i.key != "" {
		request.Header.Set("Authorization", "Bearer "+i.key)
	}
	if body != nil {
		request.Header.Set("Content-Type", callerapi.MediaJSON)
	}
	return request, nil
}

// noAnswer returns the error of a call without a response. Without a connection
// nothing was run; with one the request may have arrived.
func (i *instanceClient) noAnswer(cause error, connected bool) error {
	outcome := callerapi.OutcomeNotRun
	if connected {
		outcome = callerapi.OutcomeUnknown
	}
	return &RequestError{Problem: callerapi.Problem{
		Title: "no answer from the instance", Detail: cause.Error(), Peer: i.base, Outcome: outcome,
	}}
}

// readProblem returns the error of an unsuccessful response. A response without
// a problem document comes from a proxy in between: whether the request was run
// is unknown.
func (i *instanceClient) readProblem(response *http.Response) error {
	problem := callerapi.Problem{Outcome: callerapi.OutcomeUnknown}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media == callerapi.MediaProblem {
		if err := readJSON(response, &problem); err != nil {
			problem.Outcome = callerapi.OutcomeUnknown
		}
	}
	if problem.Title == "" {
		problem.Title = response.Status
	}
	if problem.Peer == "" {
		problem.Peer = i.base
	}
	return &RequestError{Problem: problem}
}

func readJSON(response *http.Response, into any) error {
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into)
}
