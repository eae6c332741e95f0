package app

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	benchKey    = "bench-key"
	benchInput  = "a question of some eighty characters, as a clerk would put it to a dossier, twice"
	benchTokens = 512
)

// addBenchRecords adds an account with a practically unlimited budget and a pipeline
// with a single long generation.
func addBenchRecords(b *testing.B, world *dev.World) {
	account := fmt.Sprintf(`{"schema_version":1,"tier":"gold","keys":[{"sha256":"%x"}],"requests_per_s":100000,"burst":100000}`, sha256.Sum256([]byte(benchKey)))
	pipeline := `{"schema_version":1,"pipeline":"long","stages":[{"name":"generate","pool":"engines","expected_ms":200,"repeatable":true,"max_tokens":512}]}`
	for kind, object := range map[string]platformapi.Object{
		platformapi.KindAccounts:  {Metadata: platformapi.Metadata{Name: "bench"}, Spec: json.RawMessage(account)},
		platformapi.KindPipelines: {Metadata: platformapi.Metadata{Name: "long.v1"}, Spec: json.RawMessage(pipeline)},
	} {
		_, err := world.Store.Local("operator").Create(context.Background(), kind, object)
		require.NoError(b, err)
	}
}

// cost is the time and the allocations of one way to call the stages.
type cost struct {
	time   time.Duration
	allocs uint64
}

func (c *cost) add(do func()) {
	allocs, start := allocated(), time.Now()
	do()
	c.time += time.Since(start)
	c.allocs += allocated() - allocs
}

func allocated() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// post sends a request, passes the body of its response to read and returns the request id.
func post(b *testing.B, url, accept string, body []byte, header map[string]string, read func(io.Reader)) string {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Accept", accept)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(err, response)
	}
	read(response.Body)
	_ = response.Body.Close()
	return response.Header.Get(callerapi.HeaderRequestID)
}

// decodeInto returns a function that decodes a JSON body into value.
func decodeInto(b *testing.B, value any) func(io.Reader) {
	return func(body io.Reader) {
		if err := json.NewDecoder(body).Decode(value); err != nil {
			b.Fatal(err)
		}
	}
}

// readEvents returns a function that reads a stream with the given number of tokens.
func readEvents(b *testing.B, want int) func(io.Reader) {
	return func(body io.Reader) {
		decoder := sse.NewDecoder(body, sse.Limits{Line: 1 << 20, Event: 1 << 20})
		tokens := 0
		for {
			event, err := decoder.Next()
			if err == io.EOF && tokens == want {
				return
			}
			if err != nil {
				b.Fatal(err)
			}
			if event.Name == callerapi.EventToken {
				tokens++
			}
		}
	}
}

// bench is an instance whose targets have no work time.
type bench struct {
	*testing.B
	app *App
	// addresses holds the target of each stage, taken from a first request.
	addresses map[string]string
	serial    int // number of calls sent directly to targets
}

func newBench(b *testing.B, pipeline, collector string) *bench {
	s := &bench{B: b, app: startInstanceWith(b, collector, dev.WorkTimes(0, 0)), addresses: map[string]string{}}
	id := s.request(pipeline, "", func(body io.Reader) { _, _ = io.Copy(io.Discard, body) })
	status, ok := s.app.server.LocalStatus(id, "bench")
	require.True(b, ok)
	for _, stage := range status.Stages {
		s.addresses[stage.Stage] = stage.Attempts[0].Target
	}
	return s
}

func (s *bench) request(pipeline, accept string, read func(io.Reader)) string {
	body, _ := json.Marshal(callerapi.Request{Input: benchInput})
	url := s.app.CallersURL() + "/v1/pipelines/" + pipeline + "/requests"
	return post(s.B, url, accept, body, map[string]string{"Authorization": "Bearer " + benchKey}, read)
}

func (s *bench) stage(name, input, accept string, tokens int, read func(io.Reader)) {
	s.serial++
	body, _ := json.Marshal(targetapi.RunRequest{Stage: name, Inputs: []string{input}, MaxTokens: tokens})
	header := map[string]string{targetapi.HeaderAttempt: fmt.Sprint("direct-", s.serial), targetapi.HeaderRequest: "direct"}
	post(s.B, "http://"+s.addresses[name]+targetapi.PathRun, accept, body, header, read)
}

func (s *bench) report(direct, path cost, units int) {
	n := float64(s.N * units)
	s.ReportMetric(float64(path.time)/float64(direct.time), "path/direct")
	s.ReportMetric(float64(path.time-direct.time)/n, "added-ns/unit")
	s.ReportMetric(float64(direct.allocs)/n, "direct-allocs/unit")
	s.ReportMetric(float64(path.allocs)/n, "path-allocs/unit")
}

// BenchmarkPath alternates between a request of four stages through an instance and the
// same four calls sent directly to the targets, one after the other. Everything runs in
// this process: the allocations include those of caller, instance and targets.
func BenchmarkPath(b *testing.B) { benchmarkPath(b, "") }

// BenchmarkPathTraced is BenchmarkPath with every request traced. The collector discards
// the spans.
func BenchmarkPathTraced(b *testing.B) {
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	b.Cleanup(collector.Close)
	benchmarkPath(b, collector.URL+"/v1/traces")
}

func benchmarkPath(b *testing.B, collector string) {
	s := newBench(b, "dossier", collector)
	var direct, path cost
	for b.Loop() {
		direct.add(func() {
			input := benchInput
			for _, name := range strings.Fields("encode retrieve rerank generate") {
				tokens := 0
				if name == "generate" {
					tokens = 24
				}
				var response targetapi.RunResponse
				s.stage(name, input, "application/json", tokens, decodeInto(b, &response))
				input = response.Output
			}
		})
		path.add(func() { s.request("dossier", "application/json", decodeInto(b, &callerapi.Response{})) })
	}
	s.report(direct, path, 1)
}

// BenchmarkPathStream compares streams of 512 tokens. A unit is a token.
func BenchmarkPathStream(b *testing.B) {
	s := newBench(b, "long", "")
	var direct, path cost
	for b.Loop() {
		direct.add(func() {
			s.stage("generate", benchInput, callerapi.MediaStream, benchTokens, readEvents(b, benchTokens))
		})
		path.add(func() { s.request("long", callerapi.MediaStream, readEvents(b, benchTokens)) })
	}
	s.report(direct, path, benchTokens)
}
