package serve

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/daemon/claims"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/requestid"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const callerKey = "k"

// executorFunc implements Executor.
type executorFunc func(ctx context.Context, job execute.Job) (execute.Result, error)

func (f executorFunc) Run(ctx context.Context, job execute.Job) (execute.Result, error) {
	return f(ctx, job)
}

// fakes implements the dependencies of a server; a test case sets what they return.
type fakes struct {
	// runs counts the executions.
	runs atomic.Int64
	// storage holds the claims; if down is set, it refuses to create any.
	storage claims.Storage
	down    bool
	// budget is the retry delay for an account without budget; 0 means that there is
	// budget.
	budget time.Duration
	// joined is the response of another instance about a request.
	joined *JoinResult
}

func (f *fakes) Take(context.Context, *catalog.Account) (bool, time.Duration) {
	return f.budget == 0, f.budget
}

func (f *fakes) RequestStatus(context.Context, requestid.ID, string, string) (*callerapi.RequestStatus, error) {
	return nil, nil
}

func (f *fakes) AwaitResponse(context.Context, requestid.ID, string, string, time.Duration) (*JoinResult, error) {
	return f.joined, nil
}

// ClaimStatus finds every other claimant unreachable.
func (f *fakes) ClaimStatus(context.Context, claim.Owner, claim.StatusRequest) (claim.StatusResponse, error) {
	return claim.StatusResponse{}, context.DeadlineExceeded
}

// storage is a store that refuses to create claims while it is down.
type storage struct {
	claims.Storage
	fakes *fakes
}

func (s storage) Create(ctx context.Context, id claim.ID, r claim.Record) claim.Event {
	if s.fakes.down {
		return claim.StoreUnavailable{RetryAfter: 3 * time.Second}
	}
	return s.Storage.Create(ctx, id, r)
}

// rig is a server with fake dependencies, and with real claims on a store in memory.
type rig struct {
	*fakes
	server *Server
	claims *claims.Service
	opts   Options
}

func newRig(t *testing.T, run executorFunc, change func(o *Options)) *rig {
	t.Helper()
	f := &fakes{storage: claims.NewObjectStorage(platform.New(platform.Options{}).Local("one"))}
	r := &rig{fakes: f}
	r.claims = newClaims(f, 1)
	r.opts = Options{
		Config: testConfig, Claims: r.claims, Budgets: f, Forward: f,
		Executor: executorFunc(func(ctx context.Context, job execute.Job) (execute.Result, error) {
			f.runs.Add(1)
			return run(ctx, job)
		}),
		Status: requests.New(requests.Options{MaxRequests: 64, Retention: time.Hour}),
		IDs:    requestid.NewGenerator("one", 1), Scope: tally.NoopScope,
		Tracer:       noop.NewTracerProvider().Tracer(""),
		MaxBodyBytes: 1 << 10, MaxInFlight: 2, MaxStreams: 1, CallerWriteTimeout: time.Second,
	}
	if change != nil {
		change(&r.opts)
	}
	r.server = New(r.opts)
	return r
}

func newClaims(f *fakes, incarnation uint64) *claims.Service {
	return claims.New(claims.Options{
		Owner:   claim.Owner{Instance: "one", Incarnation: incarnation},
		Storage: storage{f.storage, f}, StatusClient: f, Now: time.Now,
	})
}

// testConfig has one repeatable and one non-repeatable pipeline.
func testConfig() *catalog.Snapshot {
	stage := func(repeatable bool) []catalog.Stage {
		return []catalog.Stage{{Name: "s", Pool: "p", Repeatable: repeatable}}
	}
	pipeline := func(name string, repeatable bool) *catalog.Pipeline {
		return &catalog.Pipeline{Key: catalog.PipelineKey{Name: name, SchemaVersion: 1}, Stages: stage(repeatable)}
	}
	again, once := pipeline("again", true), pipeline("once", false)
	account := &catalog.Account{Name: "a", Tier: "gold", KeyHashes: [][32]byte{sha256.Sum256([]byte(callerKey))}}
	return &catalog.Snapshot{
		Pipelines:      map[catalog.PipelineKey]*catalog.Pipeline{again.Key: again, once.Key: once},
		SchemaVersions: map[string][]int{"again": {1}, "once": {1}},
		Tiers:          map[string]*catalog.Tier{"gold": {Name: "gold", Deadline: 5 * time.Second}},
		Accounts:       catalog.NewAccountTable(account),
	}
}

// testRequest is one request of a test case.
type testRequest struct {
	pipeline, key, body string
	stream              bool
}

func (q testRequest) request(ctx context.Context) *http.Request {
	body := q.body
	if body == "" {
		body = `{"input":"x"}`
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/pipelines/"+q.pipeline+"/requests", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if q.key != "" {
		r.Header.Set(callerapi.HeaderIdempotencyKey, q.key)
	}
	if q.stream {
		r.Header.Set("Accept", callerapi.MediaStream)
	}
	return r
}

// testResponse is the response that a caller got.
type testResponse struct {
	status  int
	problem callerapi.Problem
	output  string
	header  http.Header
	raw     string
}

func (r *rig) do(t *testing.T, q testRequest) testResponse {
	t.Helper()
	w := httptest.NewRecorder()
	r.server.Handler().ServeHTTP(w, q.request(t.Context()))
	return parse(t, w)
}

// parse decodes a response or the last event of a stream.
func parse(t *testing.T, w *httptest.ResponseRecorder) testResponse {
	t.Helper()
	got := testResponse{status: w.Code, header: w.Header(), raw: w.Body.String()}
	last := got.raw
	isProblem := w.Header().Get("Content-Type") == callerapi.MediaProblem
	if w.Header().Get("Content-Type") == callerapi.MediaStream {
		isProblem = strings.Contains(last, "event: "+callerapi.EventError)
		last = last[strings.LastIndex(last, "data: ")+len("data: "):]
	}
	var whole callerapi.Response
	if isProblem {
		require.NoError(t, json.Unmarshal([]byte(last), &got.problem))
	} else {
		require.NoError(t, json.Unmarshal([]byte(last), &whole), last)
		got.output = whole.Output
	}
	return got
}
