// Package relay serves callers' requests by forwarding them unchanged to a target of their
// route's service, after the route's stages have run.
//
// Each request gets one final response: the target's, or a refusal that states that it didn't
// run and when to retry, or an error that promises nothing. A request that may have run
// and may not be repeated is never sent a second time.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/daemon/streams"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// StageRunner runs the stages of requests. *stages.Stages implements it.
type StageRunner interface {
	Execute(ctx context.Context, r gather.Request, prompt placing.Prompt) (stages.Result, error)
	Drop(owner string, served placing.RequestEnd)
	// ReportUnreachable reports to an owner that nothing listens at an engine's address.
	ReportUnreachable(owner, pool, engine string)
	// ShortenDeadlines shortens the deadlines of requests that wait in Execute, which returns
	// at once for those that won't meet the new one. It doesn't wait.
	ShortenDeadlines(until time.Time, ids ...string)
}

// Streams knows where streams began. *streams.Directory implements it.
type Streams interface {
	// Began records that the caller has the first event of a stream. It doesn't wait.
	Began(id string, origin resumption.Origin)
	// Ended records that a stream has ended well.
	Ended(id string)
	// Find finds out where a stream of a service began. id is empty if the caller doesn't name the stream.
	Find(ctx context.Context, service, id string) streams.Location
}

// Options are the dependencies of a Relay.
type Options struct {
	Dialect exchange.Dialect
	// Table returns the configuration in force, or nil if there is none yet.
	Table func() *routes.Table
	// AwaitReady waits until the configuration and the targets are known. It is nil if
	// they always are.
	AwaitReady func(ctx context.Context)
	// Confirm checks whether a newer configuration exists, and puts it in force. It reports
	// whether the newest one is known.
	Confirm func(ctx context.Context) bool
	// OnResponse is called with the header of each response of a target; nil if nobody needs it.
	OnResponse func(incarnation string, response exchange.TargetResponse)
	// Outdated reports whether a newer configuration is known to exist than the one in force.
	// It is nil if that is never known.
	Outdated func() bool
	// KnowledgeAge returns the age of this instance's knowledge of the targets.
	KnowledgeAge func() time.Duration
	// Instance is the name of this instance.
	Instance string
	Router   *routing.Table
	Client   *forward.Client
	// TargetShares returns, by data centre, the share of a service's targets.
	TargetShares func(service string) map[string]float64
	Stages       StageRunner
	// RetryReservations is true if the holder of the stage queue reserves capacity for retries, which
	// it knows by their content.
	RetryReservations bool
	// ExplainStages returns what the holder of the stage queue would decide about a request, and records
	// nothing. It is nil if there is no holder to ask.
	ExplainStages func(ctx context.Context, r gather.Request, prompt placing.Prompt) (stages.Explanation, error)
	// Streams knows where streams began that callers take up again.
	Streams Streams
	// Paced reports whether sends to the targets of a service need grants; nil if none do.
	Paced   func(service string) bool
	Budgets *retrybudget.Budgets
	// Accounts shares what targets accept between client accounts; nil if they don't share.
	Accounts Accounts
	// Blocklist refuses requests that crash their targets.
	Blocklist blocklist.Records
	// CostPlacement predicts what requests cost, for the choice of their targets.
	CostPlacement bool
	// OnLeaving is called for a target that accepts no new work.
	OnLeaving func(incarnation string)
	// OnEnded is called for a target whose process has ended.
	OnEnded func(incarnation string)
	// Usable reports whether an incarnation may receive new work; nil if each may.
	Usable func(incarnation string) bool
	// InUse reports whether a target of that name may receive new work, in any incarnation.
	InUse  func(name string) bool
	Tracer trace.Tracer
	Scope  tally.Scope
}

// Relay is the HTTP handler for callers.
type Relay struct {
	options Options
	metrics metrics
	// stop is the planned stop, whether it has begun or not.
	stop      *plannedStop
	durations *durations
	// costs predicts what requests cost; nil without placement by cost.
	costs        *cost.Model
	stageWaiters *stageWaiters
	activeIDs    *activeIDs
	started      time.Time
	inFlight     atomic.Int64
}

// New returns a relay.
func New(o Options) *Relay {
	r := &Relay{options: o, metrics: newMetrics(o.Scope), stop: newPlannedStop(), durations: newDurations(), stageWaiters: newStageWaiters(), activeIDs: newActiveIDs(), started: time.Now()}
	if o.CostPlacement {
		r.costs = cost.NewModel()
	}
	return r
}

// InFlight returns the number of requests without their final response.
func (s *Relay) InFlight() int { return int(s.inFlight.Load()) }

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is subtracted from the time that the caller waits: a response sent later
	// would arrive too late. It is a few times the network delay to callers.
	answerMargin = 25 * time.Millisecond
	// maxBody limits a body, in bytes, where the configuration doesn't.
	maxBody = 8 << 20
)

// maxStartupWait is how long after its start an instance lets requests wait for its
// configuration and its targets. They are usually known before a refused caller would retry.
// If they take longer, the store is unavailable.
const maxStartupWait = time.Second

// awaitStartup waits while the instance has just started and isn't ready.
func (s *Relay) awaitStartup(ctx context.Context) {
	remaining := maxStartupWait - time.Since(s.started)
	if s.options.AwaitReady == nil || remaining <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	s.options.AwaitReady(ctx)
}

// writeGrace is how long after a request's deadline its caller may still read the response. Callers
// that read slowly get what is ready; one that doesn't read at all must not occupy its connection,
// the request's memory and its target without end.
const writeGrace = 2 * time.Second

var errDeadline = errors.New("the request's time is over")

// request is a caller's request in progress.
type request struct {
	relay *Relay
	// hypothetical is true for a request that is only asked about: it leaves no trace.
	hypothetical bool
	w            http.ResponseWriter
	r            *http.Request
	call         exchange.CallerRequest
	// hasID is true while the request holds its ID in activeIDs.
	hasID   bool
	route   *routes.Route
	account string
	// priority is the account's or the route's; 0 is the highest.
	priority int
	body     []byte
	// contentDigest is the result of digest, once computed.
	contentDigest *quarantine.Digest
	// knownSuspects is the result of suspects, once computed.
	knownSuspects *quarantine.Suspects
	// onTrial is true if this is the one allowed run of its content.
	onTrial bool
	service string
	// paced is true if each send to the service needs a grant.
	paced bool

	arrived time.Time
	// headTime is how long the request's head took to arrive.
	headTime  time.Duration
	objective time.Time
	deadline  time.Time

	// mayHaveRun is true if bytes of an attempt were sent and its target didn't guarantee that nothing
	// was run.
	mayHaveRun bool
	// possibleRuns counts the attempts that may have run, refusals those that didn't.
	possibleRuns, refusals int
	excluded               []string
	// retryPaid is true if the next attempt has been taken from the budget. payMu serialises taking it.
	retryPaid atomic.Bool
	payMu     sync.Mutex
	// open are the attempts in progress, in the order of their start. inbox passes their messages on,
	// silences those whose targets have become silent.
	open     []*attempt
	inbox    *inbox
	silences chan *attempt
	// current is the attempt of which the caller has the latest part of the response, or else the
	// latest one; nil before the first.
	current *attempt
	// heldReply is an error response of a target, which is sent if no other target does better.
	heldReply *bufferedReply
	// resultHandles are the handles of the stages' results; nil before the stages have run.
	// owner is the address of the instance that holds them.
	resultHandles []string
	owner         string
	// preferredEngine is the incarnation that the holder of the stage queue chose for the
	// request; empty if it chose none.
	preferredEngine string
	// sendAt is when the request may be sent to preferredEngine, if the service is paced.
	sendAt time.Time
	// grant is the grant of a send that was requested apart from the stages.
	grant grant

	// headerSent is true once the caller has the head of the response.
	headerSent bool
	// lastEventID is the ID of the last complete event that the caller has.
	lastEventID string
	// notResumable is true if the caller has later events without an ID.
	notResumable bool
	// streamVersion is the software version of the targets of the caller's stream, empty until the
	// stream has begun. What two versions write doesn't fit together.
	streamVersion string
	// streamBound is true once the caller has a part of the stream from this request.
	streamBound bool
	// continuation is the query for another target of a stream that has begun; nil before.
	continuation atomic.Pointer[routing.Query]
	// sources counts the targets whose events the caller has.
	sources int
	// timings are the durations of the request's phases, for the log.
	timings timings
	// reason is why the response is not a target's, cause the error behind it, for the log.
	reason string
	cause  error
}

// ServeHTTP implements http.Handler.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if chunked(r) {
		w.Header().Set("Connection", "close")
	}
	q := &request{relay: s, w: w, r: r, arrived: time.Now(), headTime: inbound.HeadReadTime(r.Context()), inbox: newInbox(), silences: make(chan *attempt, 1)}
	ctx, release := q.withStopEnd(r.Context())
	defer release()
	defer q.releaseID()
	if !q.accept(ctx) {
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errDeadline)
	defer cancel()
	defer q.limitWrites()()
	ctx, span := s.options.Tracer.Start(ctx, "request "+q.route.Name)
	defer span.End()
	defer q.freeResults()
	q.run(ctx)
}

// limitWrites limits the time for which the caller may leave the response unread. The returned function
// removes the limit from the connection, which may serve further requests.
func (q *request) limitWrites() (remove func()) {
	controller := http.NewResponseController(q.w)
	_ = controller.SetWriteDeadline(q.deadline.Add(writeGrace)) // unsupported only in tests
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// chunked reports whether the body is sent in chunks.
//
// ServeHTTP closes the connection after the response to such a request. This prevents request
// smuggling by a body that has a length as well: net/http reads the chunks and silently ignores
// the length. It would then treat the bytes that the length covers as the next request, under an
// ID chosen by the sender. A connection that closes after the response has no next request.
func chunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// accept validates and reads the request. It returns false if it has sent a final response.
func (q *request) accept(ctx context.Context) bool {
	if !q.r.ProtoAtLeast(1, 1) {
		// With HTTP/1.0 the end of the connection would mark the end of a response without a
		// length, so one that is cut off would look complete.
		q.deny(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
		return false
	}
	q.relay.awaitStartup(ctx)
	table := q.relay.options.Table()
	if table == nil {
		q.refuse(reasonNoConfiguration, time.Second)
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
	if q.hasID = q.relay.activeIDs.claim(q.call.ID); !q.hasID {
		q.deny(http.StatusBadRequest, idInUse)
		return false
	}
	if status := q.authorize(table); status != 0 {
		// The request may be allowed by a version that was written a moment ago.
		confirmed := q.relay.options.Confirm(ctx)
		if errors.Is(context.Cause(ctx), errStopEnded) {
			q.refuse(reasonStopping, minRetryAfter)
			return false
		}
		if status = q.authorize(q.relay.options.Table()); status != 0 {
			if !confirmed && q.relay.outdated() {
				q.refuse("configuration_outdated", time.Second)
				return false
			}
			q.deny(status, http.StatusText(status))
			return false
		}
	}
	q.setDeadlines()
	if q.isTooLateForStop() {
		q.refuse(reasonStopping, minRetryAfter)
		return false
	}
	return q.readBody(table.Limits.MaxBodyBytes)
}

// isTooLateForStop reports whether a planned stop leaves no time for the request.
func (q *request) isTooLateForStop() bool {
	window, stopping := q.relay.stopWindow()
	return stopping && !window.Accepts(q.drainRequest())
}

// outdated reports whether a denial by the configuration in force may be wrong.
func (r *Relay) outdated() bool { return r.options.Outdated != nil && r.options.Outdated() }

// idInUse is the reason for rejecting a request with the ID of another one in progress.
const idInUse = "the id is that of another request in progress"

func (q *request) releaseID() {
	if q.hasID {
		q.relay.activeIDs.release(q.call.ID)
	}
}

// authorize finds the route and the client account. It returns the status of a denial, or 0.
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

// hostOf returns a Host header without its port.
func hostOf(host string) string {
	for i := range len(host) {
		if host[i] == ':' {
			return host[:i]
		}
	}
	return host
}

// setDeadlines computes when the response is due.
func (q *request) setDeadlines() {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if wait := q.call.Timeout; wait > 0 {
		timeout = min(timeout, wait-min(answerMargin, wait/10))
	}
	q.deadline = q.arrived.Add(timeout)
	q.objective = q.arrived.Add(q.route.LatencyObjective)
	if q.isStream() && q.requiredResumeID() != "" {
		// The objective is that of the first event, which the caller has. By it the stream would be queued behind all new
		// ones that can meet theirs, and mostly be refused.
		q.objective = q.deadline
	}
}

// run serves the request until its final response.
func (q *request) run(ctx context.Context) {
	q.service = pickService(q.route.TrafficSplit)
	if !q.locateStream(ctx) || !q.checkShare() {
		return
	}
	defer q.returnRetry()
	defer q.abandonAll() // ends the timers that take a retry
	if err := q.race(ctx); err != nil {
		q.sendFailure(ctx, err)
	}
}

// updatePaced records whether a send to the service needs a grant now. A target may name a limit at
// any time.
func (q *request) updatePaced() { q.paced = q.relay.isPaced(q.service) }

// isPaced reports whether each send to a service needs a grant.
func (r *Relay) isPaced(service string) bool {
	return r.options.Paced != nil && r.options.Paced(service)
}

// pickService chooses a service at random by weight.
func pickService(split []routes.WeightedService) string {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	sample := rand.Float64() * total
	for _, s := range split {
		if sample -= s.Weight; sample < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}
