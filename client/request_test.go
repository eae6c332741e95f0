package client

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

func respondProblem(status int, outcome callerapi.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", callerapi.MediaProblem)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(callerapi.Problem{Title: "no", Status: status, Outcome: outcome, RetryAfterMS: 20})
	}
}

func respondText(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// The exit code must tell a script whether the request may have been run, and the
// output must be the whole answer. A stored answer arrives without tokens: an operator
// who streams a retry could otherwise see an empty line and an exit code of success.
func TestSubmitOutcomes(t *testing.T) {
	done := "event: done\ndata: {\"request_id\":\"r1\",\"output\":\"ab\"}\n\n"
	firstToken := "event: token\nid: 0\ndata: {\"token\":\"a\"}\n\n"
	tokens := firstToken + "event: token\nid: 1\ndata: {\"token\":\"b\"}\n\n"
	cases := []struct {
		name    string
		handler http.HandlerFunc
		args    []string
		code    int
		stdout  string
		stderr  string
	}{
		{"whole", respondText(`{"request_id":"r1","output":"hello"}`), nil, ExitOK, "hello\n", "request r1"},
		{"streamed", respondText(tokens + done), []string{"--stream"}, ExitOK, "ab\n", "request r1"},
		{"streamed as JSON", respondText(tokens + done), []string{"--stream", "-o", "json"}, ExitOK, `"output": "ab"`, ""},
		{"stored answer as a stream", respondText(done), []string{"--stream"}, ExitOK, "ab\n", "request r1"},
		{"stream with the last token missing", respondText(firstToken + done), []string{"--stream"}, ExitOK, "ab\n", "request r1"},
		{"stream of another answer", respondText(strings.Replace(tokens, `"b"`, `"c"`, 1) + done), []string{"--stream"}, ExitUnknown, "", "not the answer"},
		{"stream cut off", respondText(tokens), []string{"--stream"}, ExitUnknown, "ab", "cut off"},
		{"stream with a token missing", respondText(strings.Replace(tokens, "id: 0", "id: 2", 1) + done), []string{"--stream"}, ExitUnknown, "", "in place of token 0"},
		{"stream with an error", respondText(tokens + "event: error\ndata: {\"title\":\"gone\",\"outcome\":\"ran\"}\n\n"), []string{"--stream"}, ExitFault, "ab", "gone (ran)"},
		{"answer cut off", respondText(`{"request_id":`), nil, ExitUnknown, "", "cut off"},
		{"not run", respondProblem(503, callerapi.OutcomeNotRun), nil, ExitNotRun, "", "come back in 20 ms"},
		{"ran", respondProblem(504, callerapi.OutcomeRan), nil, ExitFault, "", "no (ran)"},
		{"unknown", respondProblem(502, callerapi.OutcomeUnknown), nil, ExitUnknown, "", "no (unknown)"},
		{"a hop between", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, nil, ExitUnknown, "", "502 Bad Gateway"},
		{"connection dropped", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil, ExitUnknown, "", "no answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			h := newHarness()
			h.http = server.Client()
			args := append([]string{"--instance", server.URL, "submit", "chat", "--input", "x"}, c.args...)
			assert.Equal(t, c.code, h.run(args...), h.stderr.String())
			assert.Contains(t, h.stdout.String(), c.stdout)
			assert.Contains(t, h.stderr.String(), c.stderr)
			assert.NotContains(t, h.stderr.String(), "demo-key")
		})
	}
}

// Without a connection to the instance nothing was run, and the exit code must say
// so, since the operator couldn't safely retry otherwise.
func TestUnreachableInstanceIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	h := newHarness()
	code := h.run("--instance", "http://"+listener.Addr().String(), "submit", "chat", "--input", "x")
	assert.Equal(t, ExitNotRun, code, h.stderr.String())
}

func TestSubmitRequest(t *testing.T) {
	var got *http.Request
	var body callerapi.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		_ = json.NewDecoder(r.Body).Decode(&body)
		_, _ = io.WriteString(w, `{}`)
	}))
	defer server.Close()
	h := newHarness()
	h.env[envInstance] = server.URL
	h.env[envKey] = ""
	require.Equal(t, ExitUsage, h.run("submit", "chat", "--input", "x"))
	key := writeTempFile(t, "file-key\n")
	require.Equal(t, ExitOK, h.run("submit", "a/b", "--input", "-", "--key-file", key,
		"--idempotency-key", "k1", "--schema-version", "2", "--max-tokens", "9"), h.stderr.String())
	assert.Equal(t, "/v1/pipelines/a%2Fb/requests", got.URL.EscapedPath())
	assert.Equal(t, "Bearer file-key", got.Header.Get("Authorization"))
	assert.Equal(t, "k1", got.Header.Get(callerapi.HeaderIdempotencyKey))
	assert.Equal(t, "2", got.Header.Get(callerapi.HeaderSchemaVersion))
	assert.Equal(t, callerapi.Request{Input: "from stdin", MaxTokens: 9}, body)
}

// An input over the limit must be refused. If it were truncated to the limit, the
// operator would mistake the answer to the truncated input for the answer to the whole.
func TestSubmitRefusesOversizedInput(t *testing.T) {
	h := newHarness()
	h.env[envInstance] = "http://127.0.0.1:1"
	h.http = &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
		t.Error("a part was sent")
		return nil, io.EOF
	})}
	for _, input := range []string{"-", "@" + writeTempFile(t, strings.Repeat("x", maxInputBytes+1))} {
		h.stdin = strings.Repeat("x", maxInputBytes+1)
		assert.Equal(t, ExitFault, h.run("submit", "chat", "--input", input))
		assert.Contains(t, h.stderr.String(), "read input: longer than")
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestRequestShow(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/requests/r1" {
			respondProblem(http.StatusNotFound, callerapi.OutcomeNotRun)(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(callerapi.RequestStatus{RequestID: "r1", State: "answered", Stages: []callerapi.StageStatus{
			{Stage: "encode", Attempts: []callerapi.AttemptStatus{{AttemptID: "a1", Target: "t1", Result: "late"}, {AttemptID: "a2", Target: "t2", Result: "ok"}}},
		}})
	}))
	defer server.Close()
	h := newHarness()
	h.env[envInstance] = server.URL
	require.Equal(t, ExitOK, h.run("request", "show", "r1"), h.stderr.String())
	assert.Contains(t, h.stdout.String(), "encode  a1       t1      late")
	require.Equal(t, ExitOK, h.run("request", "show", "r1", "-o", "json"))
	assert.Contains(t, h.stdout.String(), `"result": "ok"`)
	assert.Equal(t, ExitNotFound, h.run("request", "show", "r2"))
}
