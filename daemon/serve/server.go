// Package serve implements the HTTP API for callers: it validates a request, claims
// it if it has an idempotency key, executes it and writes the single response.
// docs/api/callers.md is its contract.
package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/daemon/claims"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/requestid"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// Executor executes an admitted request; *execute.Executor implements it. Run blocks
// until the whole result or the final failure, which is an *execute.Failure.
type Executor interface {
	Run(ctx context.Context, job execute.Job) (execute.Result, error)
}

// Claimer claims requests by their idempotency key; *claims.Service implements it.
// Begin blocks on the platform's store, or on the first call with the same key,
// until the context ends.
type Claimer interface {
	Begin(ctx context.Context, key claims.Key, body [32]byte) (claims.BeginResult, error)
}

// Budgets holds the accounts' budgets; *accounts.Budgets implements it.
type Budgets interface {
	// Take spends one request of the account's budget, or returns the delay after
	// which to retry. It blocks for no longer than one request to a peer.
	Take(ctx context.Context, account *catalog.Account) (ok bool, retryAfter time.Duration)
}

// Forwarder forwards calls about a request to the instance that the request's id
// names. Its methods block until that instance responds or the context ends.
type Forwarder interface {
	RequestStatus(ctx context.Context, id requestid.ID, account string, text string) (*callerapi.RequestStatus, error)
	// AwaitResponse asks that instance to wait for the response to the request.
	AwaitResponse(ctx context.Context, id requestid.ID, account, text string, wait time.Duration) (*JoinResult, error)
}

// Options are the dependencies and limits of a Server. All but Now are required.
type Options struct {
	// Config returns the configuration in force, or nil while none is known.
	Config   func() *catalog.Snapshot
	Executor Executor
	Claims   Claimer
	Budgets  Budgets
	Status   *requests.Table
	Forward  Forwarder
	IDs      *requestid.Generator
	Scope    tally.Scope
	Tracer   trace.Tracer

	MaxBodyBytes int64
	MaxInFlight  int
	MaxStreams   int
	// CallerWriteTimeout bounds the wait for a caller that doesn't read its response.
	CallerWriteTimeout time.Duration
	Now                func() time.Time
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	inFlight *limiter
	streams  *limiter
	// joinWaits bounds the calls that wait for the response to another request.
	joinWaits *limiter
	joins     *joinTable
	metrics   *metrics
	// stopped is cancelled when the running requests must end.
	stopped context.Context
	stop    context.CancelCauseFunc
}

// New returns a Server.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	stopped, stop := context.WithCancelCause(context.Background())
	return &Server{
		stopped:   stopped,
		stop:      stop,
		opts:      o,
		inFlight:  newLimiter(o.MaxInFlight),
		streams:   newLimiter(o.MaxStreams),
		joinWaits: newLimiter(o.MaxInFlight),
		joins:     newJoinTable(),
		metrics:   newMetrics(o.Scope),
	}
}

// Handler returns the routes of the API for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", s.handleSubmit)
	mux.HandleFunc("GET /v1/requests/{id}", s.handleStatus)
	mux.HandleFunc("GET /v1/requests/{id}/answer", s.handleJoin)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, refusal(http.StatusNotFound, typeNotFound, "no such path"))
	})
	return mux
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return s.inFlight.count() }
