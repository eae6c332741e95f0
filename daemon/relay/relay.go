// Package relay serves callers' requests by passing them on, as they are, to a
// target of their route's service, after the route's stages have run.
//
// Each request gets one final answer: the target's, or a refusal that it didn't
// run with a time to come back, or an error that promises nothing. What may have
// run and may not be repeated is never sent a second time.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// Maker has the stages of a request run.
type Maker interface {
	Make(ctx context.Context, r gather.Request, prompt placing.Prompt) (stages.Made, error)
	Drop(owner string, served placing.RequestEnd)
	// EngineGone tells an owner that nothing listens at an engine's address.
	EngineGone(owner, pool, engine string)
	// Bound gives requests that wait in Make an earlier deadline, and refuses those
	// that won't be done by then. It doesn't wait.
	Bound(until time.Time, ids ...string)
}

// Options are the parts that a Relay works with.
type Options struct {
	Dialect exchange.Dialect
	// Table is the configuration in force; nil before the first.
	Table func() *routes.Table
	// AwaitReady waits until the configuration and the targets are known; nil where
	// they always are.
	AwaitReady func(ctx context.Context)
	// Confirm asks whether a newer configuration exists.
	Confirm func(ctx context.Context) bool
	// Known tells how old the knowledge of the targets is.
	Known  func() time.Duration
	Router *routing.Table
	Client *forward.Client
	// Shares tells which share of a service's targets each data centre has.
	Shares  func(service string) map[string]float64
	Stages  Maker
	Budgets *retrybudget.Budgets
	// Blocklist refuses requests that crash their targets.
	Blocklist blocklist.Records
	// Leaving is told of a target that takes nothing new.
	Leaving func(incarnation string)
	// InUse tells whether a target of the name may take something new, whichever its start.
	InUse  func(name string) bool
	Tracer trace.Tracer
	Scope  tally.Scope
}

// Relay is the callers' HTTP interface.
type Relay struct {
	options Options
	metrics metrics
	// stopping is the planned stop, begun or not.
	stopping  *stopping
	durations *durations
	waiting   *waiting
	ids       *ids
	started   time.Time
	inFlight  atomic.Int64
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{options: o, metrics: newMetrics(o.Scope), stopping: newStopping(), durations: newDurations(), waiting: newWaiting(), ids: newIDs(), started: time.Now()}
}

// InFlight returns the number of requests without their final answer.
func (s *Relay) InFlight() int { return int(s.inFlight.Load()) }

// Bounds of a request.
const (
	// defaultTimeout bounds requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is taken off the caller's wait: an answer sent any later
	// would reach it too late. It is a few times the way to callers.
	answerMargin = 25 * time.Millisecond
	// maxBody bounds a body where the configuration doesn't, in bytes.
	maxBody = 8 << 20
)

// startWithin is how long after its start an instance has requests wait for its
// configuration and its targets. It has them sooner than a caller would come back who
// is refused; later, only if the store is away.
const startWithin = time.Second

// awaitStart waits while the instance has just started and isn't ready.
func (s *Relay) awaitStart(ctx context.Context) {
	left := startWithin - time.Since(s.started)
	if s.options.AwaitReady == nil || left <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s.options.AwaitReady(ctx)
}

var errDeadline = errors.New("the request's time is over")

// request is one request on its way.
type request struct {
	relay *Relay
	w     http.ResponseWriter
	r     *http.Request
	call  exchange.CallerRequest
	// hasID tells that the request's id is its own while it is in progress.
	hasID   bool
	route   *routes.Route
	account string
	// priority is the account's or the route's; 0 goes first.
	priority int
	body     []byte
	// content is the digest of what the request's repeats have in common, once it was
	// asked for.
	content *quarantine.Digest
	// onTrial tells that this is the one run of its content that is allowed.
	onTrial bool
	service string

	arrived time.Time
	// head is how long the head took to come in.
	head      time.Duration
	objective time.Time
	deadline  time.Time

	// mayHaveRun is set once bytes of an attempt left whose target didn't vouch
	// that nothing ran.
	mayHaveRun bool
	// sent counts the attempts that may have run, refused those that didn't.
	sent, refused int
	excluded      []string
	// paid tells that the budget has given the next attempt.
	paid atomic.Bool
	// target is the incarnation of the latest attempt's target, targetName its name whichever
	// its start, address where it listens.
	target, targetName, address string
	// known is how old the knowledge was by which the target was chosen.
	known time.Duration
	// stage results
	handles []string
	owner   string
	// engine is the incarnation that the holder of the stage queue chose for the
	// request; empty if it chose none.
	engine string

	// headerSent is set once the caller has the head of the answer.
	headerSent bool
	// lastEvent is the last whole event that the caller has.
	lastEvent string
	// notResumable tells that the caller has events behind lastEvent that have no id.
	notResumable bool
	// sources counts the targets whose events the caller has.
	sources int
	// framing is how the latest target marks the end of its answer.
	framing forward.Framing
	// parts are the times that its parts took, for the log.
	parts parts
	// reason is why an answer of our own was given, for the log.
	reason string
}

// ServeHTTP implements http.Handler.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if chunked(r) {
		w.Header().Set("Connection", "close")
	}
	q := &request{relay: s, w: w, r: r, arrived: time.Now(), head: inbound.HeadTime(r.Context())}
	ctx, release := q.untilStopped(r.Context())
	defer release()
	defer q.giveBackID()
	if !q.accept(ctx) {
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errDeadline)
	defer cancel()
	ctx, span := s.options.Tracer.Start(ctx, "request "+q.route.Name)
	defer span.End()
	defer q.dropResults()
	q.run(ctx)
}

// chunked tells whether the body came in chunks.
//
// It guards against a request hidden behind a body that has a length as well:
// net/http reads the chunks, forgets the length without a word, and would take what
// the length covers for the next request, under the id that its sender chose. On a
// connection that closes after the answer nothing follows.
func chunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// accept reads the request, and answers at once what isn't served.
func (q *request) accept(ctx context.Context) bool {
	if !q.r.ProtoAtLeast(1, 1) {
		// An answer without a length ends with its connection there: cut, it looks whole.
		q.deny(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
		return false
	}
	q.relay.awaitStart(ctx)
	table := q.relay.options.Table()
	if table == nil {
		q.refuse("no_configuration", time.Second)
		return false
	}
	var err error
	if q.call, err = q.relay.options.Dialect.ParseCallerRequest(q.r); err != nil {
		q.deny(http.StatusBadRequest, err.Error())
		return false
	}
	if q.call.ID == "" {
		q.deny(http.StatusBadRequest, "the request has no id")
		return false
	}
	if q.hasID = q.relay.ids.take(q.call.ID); !q.hasID {
		q.deny(http.StatusBadRequest, idInUse)
		return false
	}
	if status := q.authorize(table); status != 0 {
		// A version that allows the request may be a moment old.
		q.relay.options.Confirm(ctx)
		if errors.Is(context.Cause(ctx), errStopOver) {
			q.refuse("stopping", minRetryAfter)
			return false
		}
		if status = q.authorize(q.relay.options.Table()); status != 0 {
			q.deny(status, http.StatusText(status))
			return false
		}
	}
	q.setTimes()
	if window, stopping := q.relay.draining(); stopping && !window.Accepts(q.drainRequest()) {
		q.refuse("stopping", minRetryAfter)
		return false
	}
	return q.readBody(table.Limits.MaxBodyBytes)
}

// idInUse denies a request under the id of another one that is in progress.
const idInUse = "the id is that of another request in progress"

func (q *request) giveBackID() {
	if q.hasID {
		q.relay.ids.giveBack(q.call.ID)
	}
}

// authorize finds the route and the client account. It returns the status of a
// denial, or 0.
func (q *request) authorize(table *routes.Table) int {
	route, ok := table.Match(hostOf(q.r.Host), q.r.URL.EscapedPath())
	if !ok {
		return http.StatusNotFound
	}
	q.route, q.priority, q.account = route, route.Priority, ""
	if !table.RequiresKeys || route.Anonymous {
		return 0
	}
	account, ok := table.AccountByKey(q.call.APIKey)
	if !ok {
		return http.StatusUnauthorized
	}
	q.account = account.Name
	if account.Priority != nil {
		q.priority = *account.Priority
	}
	return 0
}

// hostOf drops the port of a Host header.
func hostOf(host string) string {
	for i := range len(host) {
		if host[i] == ':' {
			return host[:i]
		}
	}
	return host
}

// setTimes works out when the answer is due.
func (q *request) setTimes() {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if wait := q.call.Timeout; wait > 0 {
		timeout = min(timeout, wait-min(answerMargin, wait/10))
	}
	q.deadline = q.arrived.Add(timeout)
	q.objective = q.arrived.Add(q.route.LatencyObjective)
}

// readBody takes the whole body in, so that it can be sent again where that is
// allowed.
func (q *request) readBody(limit int64) bool {
	if limit <= 0 || limit > maxBody {
		limit = maxBody
	}
	if q.r.ContentLength == 0 {
		return true
	}
	body, err := q.readAll(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.deny(http.StatusRequestEntityTooLarge, "the body is too large")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.refuse("body_not_sent", minRetryAfter)
		return false
	case err != nil:
		q.reason = "caller_left_body"
		q.logEnd(0)
		panic(http.ErrAbortHandler)
	}
	q.body = body
	return true
}

// readAll reads the body, at most until its answer is due or the instance stops.
//
// It guards against a body that doesn't come: its connection would stay until the end
// of a planned stop, and be closed then without an answer.
func (q *request) readAll(limit int64) ([]byte, error) {
	wait := &bodyWait{controller: http.NewResponseController(q.w)}
	wait.until(q.deadline)
	release := context.AfterFunc(q.relay.stopping.begun, func() {
		window, _ := q.relay.draining()
		wait.until(earlier(q.deadline, window.SendDeadline(q.drainRequest())))
	})
	defer release()
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		wait.end()
	}
	return body, err
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// run serves the request to its one final answer.
func (q *request) run(ctx context.Context) {
	q.service = pickService(q.route.TrafficSplit)
	for {
		again, err := q.attempt(ctx)
		if !again {
			if err != nil {
				q.answerFailure(ctx, err)
			}
			return
		}
		if ctx.Err() != nil {
			q.answerFailure(ctx, context.Cause(ctx))
			return
		}
	}
}

// pickService draws a service by weight.
func pickService(split []routes.WeightedService) string {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	draw := rand.Float64() * total
	for _, s := range split {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}
