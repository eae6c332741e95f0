package app

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

// otherKey is the key of a second client account.
const otherKey = "other-key"

// startInstance runs one instance against an embedded platform and targets until the
// test ends.
func startInstance(t *testing.T) *App {
	t.Helper()
	return startInstanceWith(t, "")
}

// startInstanceWith is startInstance with spans sent to the collector at the given address,
// unless the address is empty.
func startInstanceWith(t testing.TB, collector string, options ...dev.Option) *App {
	t.Helper()
	return startIn(t, startWorld(t, options...), "one", collector)
}

func startWorld(t testing.TB, options ...dev.Option) *dev.World {
	t.Helper()
	world, err := dev.Start(context.Background(), options...)
	require.NoError(t, err)
	t.Cleanup(world.Close)
	addAccount(t, world)
	if b, ok := t.(*testing.B); ok {
		addBenchRecords(b, world)
	}
	return world
}

// startIn runs a named instance in a world. The seeds are peer addresses.
func startIn(t testing.TB, world *dev.World, name, collector string, seeds ...string) *App {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := settings.Default()
	s.Instance.Name, s.Instance.DataCentre = name, "local"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Peers.Seeds = seeds
	s.Limits.MaxBodyBytes = 4096
	s.Limits.MaxHeaderBytes = 4096
	s.Limits.HeaderTimeout = 100 * time.Millisecond
	s.Shutdown.BalancerDelay = 0
	options := telemetry.Options{Instance: name, OTLPEndpoint: collector}
	if _, ok := t.(*testing.B); ok {
		options.LogOutput = io.Discard // log lines would interleave with the benchmark's output
	}
	tel, err := telemetry.Start(ctx, options)
	require.NoError(t, err)
	a, err := New(s, tel, world.Store.Local(name))
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	<-a.Started()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
		require.NoError(t, tel.Shutdown(context.Background()))
		http.DefaultClient.CloseIdleConnections()
	})
	return a
}

func addAccount(t testing.TB, world *dev.World) {
	t.Helper()
	const digestOfOtherKey = "580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca"
	spec := `{"schema_version":1,"tier":"batch","keys":[{"sha256":"` + digestOfOtherKey + `"}],"requests_per_s":10,"burst":10}`
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: "other"}, Spec: json.RawMessage(spec)}
	_, err := world.Store.Local("operator").Create(context.Background(), platformapi.KindAccounts, object)
	require.NoError(t, err)
}

func send(t *testing.T, method, url, key, body string, header ...string) (int, callerapi.Problem, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var problem callerapi.Problem
	if response.StatusCode != http.StatusOK {
		require.NoError(t, json.NewDecoder(response.Body).Decode(&problem))
	}
	return response.StatusCode, problem, response.Header.Get(callerapi.HeaderRequestID)
}

// Invalid requests, such as those of misconfigured clients and port scanners, are refused
// with a problem that names the field if one is at fault. They don't affect other requests.
func TestBadRequestsAreRefusedByField(t *testing.T) {
	a := startInstance(t)
	path := a.CallersURL() + "/v1/pipelines/dossier/requests"
	good := `{"input":"x"}`
	cases := map[string]struct {
		method, url, key, body string
		header                 []string
		status                 int
		field                  string
	}{
		"no key":              {url: path, body: good, status: 401},
		"wrong key":           {url: path, key: "nope", body: good, status: 401},
		"long key":            {url: path, key: strings.Repeat("k", 300), body: good, status: 401},
		"unknown pipeline":    {url: a.CallersURL() + "/v1/pipelines/none/requests", key: dev.SampleKey, body: good, status: 404},
		"unknown path":        {url: a.CallersURL() + "/v2", key: dev.SampleKey, body: good, status: 404},
		"empty body":          {url: path, key: dev.SampleKey, status: 400, field: "body"},
		"not JSON":            {url: path, key: dev.SampleKey, body: "\x00\x01", status: 400, field: "body"},
		"two documents":       {url: path, key: dev.SampleKey, body: good + good, status: 400, field: "body"},
		"unknown field":       {url: path, key: dev.SampleKey, body: `{"inputs":"x"}`, status: 400, field: "inputs"},
		"wrong type":          {url: path, key: dev.SampleKey, body: `{"max_tokens":"x"}`, status: 400, field: "max_tokens"},
		"negative tokens":     {url: path, key: dev.SampleKey, body: `{"max_tokens":-1}`, status: 400, field: "max_tokens"},
		"part without tokens": {url: path, key: dev.SampleKey, body: `{"prefix":[{"id":"a"}]}`, status: 400, field: "prefix[0]"},
		"oversized":           {url: path, key: dev.SampleKey, body: `{"input":"` + strings.Repeat("x", 5000) + `"}`, status: 413},
		"schema version":      {url: path, key: dev.SampleKey, body: good, header: []string{callerapi.HeaderSchemaVersion, "x"}, status: 400, field: callerapi.HeaderSchemaVersion},
		"schema not there":    {url: path, key: dev.SampleKey, body: good, header: []string{callerapi.HeaderSchemaVersion, "9"}, status: 404},
		"key required":        {url: a.CallersURL() + "/v1/pipelines/work-order/requests", key: dev.SampleKey, body: good, status: 400, field: callerapi.HeaderIdempotencyKey},
		"idempotency key":     {url: path, key: dev.SampleKey, body: good, header: []string{callerapi.HeaderIdempotencyKey, strings.Repeat("k", 200)}, status: 400, field: callerapi.HeaderIdempotencyKey},
		"malformed id":        {method: "GET", url: a.CallersURL() + "/v1/requests/x", key: dev.SampleKey, status: 404},
		"id of nobody":        {method: "GET", url: a.CallersURL() + "/v1/requests/gone.1.1-1", key: dev.SampleKey, status: 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.method == "" {
				c.method = http.MethodPost
			}
			status, problem, _ := send(t, c.method, c.url, c.key, c.body, c.header...)
			require.Equal(t, c.status, status)
			require.Equal(t, c.field, problem.Field)
			require.Equal(t, callerapi.OutcomeNotRun, problem.Outcome)
		})
	}
	status, _, _ := send(t, http.MethodPost, path, dev.SampleKey, good)
	require.Equal(t, http.StatusOK, status, "others are still served")
}

// The status of another account's request must look as if the request didn't exist.
// Otherwise request IDs would reveal who is a client.
func TestStatusIsForItsAccountAlone(t *testing.T) {
	a := startInstance(t)
	_, _, id := send(t, http.MethodPost, a.CallersURL()+"/v1/pipelines/dossier/requests", dev.SampleKey, `{"input":"x"}`)
	require.NotEmpty(t, id)
	status, _, _ := send(t, http.MethodGet, a.CallersURL()+"/v1/requests/"+id, dev.SampleKey, "")
	require.Equal(t, http.StatusOK, status)
	status, problem, _ := send(t, http.MethodGet, a.CallersURL()+"/v1/requests/"+id, otherKey, "")
	require.Equal(t, http.StatusNotFound, status)
	require.Empty(t, problem.RequestID)
}

// Connections with garbage, an incomplete header or an oversized one are closed.
// Otherwise a few thousand of them would use up the instance's file descriptors.
func TestMalformedConnectionsAreClosed(t *testing.T) {
	a := startInstance(t)
	ports := map[string]string{"callers": a.CallersURL(), "admin": a.AdminURL()}
	inputs := map[string]string{
		"noise":        "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n\n",
		"truncated":    "POST /v1/pipelines/dossier/requests HTTP/1.1\r\nHost: x\r\n",
		"large header": "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 2<<20) + "\r\n\r\n",
	}
	for port, url := range ports {
		for name, input := range inputs {
			t.Run(port+"/"+name, func(t *testing.T) {
				if port == "admin" && name == "truncated" {
					t.Parallel() // the header timeout of this port is longer
				}
				conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				require.NoError(t, err)
				defer conn.Close()
				_, _ = conn.Write([]byte(input)) // the server may close first
				reader := bufio.NewReader(conn)
				for err == nil {
					_, err = reader.ReadByte() // until the server closes the connection
				}
			})
		}
	}
}
