// Package serve is the HTTP interface that callers use: it checks a request,
// claims it where it may not be repeated, has it executed and writes the one
// answer. docs/api/callers.md is its contract.
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

// Executor runs an admitted request; *execute.Executor is one. Run blocks until
// the whole answer or the final failure, which is an *execute.Failure.
type Executor interface {
	Run(ctx context.Context, job execute.Job) (execute.Result, error)
}

// Claimer claims requests that may not be repeated; *claims.Service is one.
// Begin blocks for the platform's store, or for the first call of the same key,
// until the context ends.
type Claimer interface {
	Begin(ctx context.Context, key claims.Key, body [32]byte) (claims.Begun, error)
}

// Budgets holds the accounts' budgets; *accounts.Budgets is one.
type Budgets interface {
	// Take spends one request of the account's budget, or says when to come
	// back. It blocks for no longer than one question to a peer.
	Take(ctx context.Context, account *catalog.Account) (ok bool, retryAfter time.Duration)
}

// Forwarder passes a question about a request on to the instance that its id
// names. It blocks until the answer or the context's end.
type Forwarder interface {
	RequestStatus(ctx context.Context, id requestid.ID, account string, text string) (*callerapi.RequestStatus, error)
	// RequestAnswer lets that instance wait for the request's answer.
	RequestAnswer(ctx context.Context, id requestid.ID, account, text string, wait time.Duration) (*Joined, error)
}

// Options are the parts a Server works with. All are required but Now.
type Options struct {
	// Config returns the configuration in force, nil before the first.
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
	// StreamIdle bounds the wait for a caller that does not read its stream.
	StreamIdle time.Duration
	Now        func() time.Time
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	inFlight *limiter
	streams  *limiter
	// waiting bounds the calls that wait for the answer of another.
	waiting *limiter
	joins   *joins
	metrics *metrics
	// stopped is done once the requests that still run are to end.
	stopped context.Context
	stop    context.CancelCauseFunc
}

// New makes a server.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	stopped, stop := context.WithCancelCause(context.Background())
	return &Server{
		stopped:  stopped,
		stop:     stop,
		opts:     o,
		inFlight: newLimiter(o.MaxInFlight),
		streams:  newLimiter(o.MaxStreams),
		waiting:  newLimiter(o.MaxInFlight),
		joins:    newJoins(),
		metrics:  newMetrics(o.Scope),
	}
}

// Handler returns the routes of the callers' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", s.submit)
	mux.HandleFunc("GET /v1/requests/{id}", s.status)
	mux.HandleFunc("GET /v1/requests/{id}/answer", s.joinAnswer)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, refusal(http.StatusNotFound, typeNotFound, "no such path"))
	})
	return mux
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int { return s.inFlight.count() }
