package scenario

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

const (
	// loadTimeout bounds one request of a load. It is longer than the deadline of any tier
	// that the sample's account has.
	loadTimeout = 8 * time.Second
	// loadDeadline is the deadline of the sample account's tier.
	loadDeadline = 6 * time.Second
	// readyTimeout bounds a readiness probe.
	readyTimeout = 500 * time.Millisecond
)

// endpoint is the addresses of one instance: for callers, and for the readiness probes of the
// balancer.
type endpoint struct{ callers, admin string }

// loadRequest is one request of a load, repeated until its outcome is final, and what its
// caller knows of it.
type loadRequest struct {
	input string
	// outcome is OutcomeRan after a complete answer, "" if nothing is known.
	outcome callerapi.Outcome
	// retryAfter is the time that the last refusal named.
	retryAfter time.Duration
}

// loadCounts counts the answers of a load by kind.
type loadCounts struct {
	complete, notRun, unknown, failed, cut, late int
	// withoutRetryAfter counts the not_run answers that name no time to retry.
	withoutRetryAfter int
	// slowest is the longest time of a complete answer.
	slowest time.Duration
}

// load is a number of callers that send requests continuously and check every answer. They
// choose among ready instances as the platform's balancer does. After not_run or a broken
// connection, a caller retries at another instance with the same idempotency key.
type load struct {
	name            string
	call            Call
	idempotencyKeys bool
	// honoursRetryAfter makes callers wait for the time that a refusal names.
	honoursRetryAfter bool
	endpoints         []endpoint
	client            *http.Client
	stop              chan struct{}
	cancel            chan struct{}
	callers           sync.WaitGroup

	mu       sync.Mutex
	counts   loadCounts
	requests []loadRequest
	// problems counts the refusals and failures by type.
	problems    map[string]int
	wrongOutput error
	changed     chan struct{}
	ended       bool
}

// runLoad: load begin NAME PIPELINE CALLERS INSTANCE... starts a load, load whole NAME COUNT
// waits for the given number of further complete answers, load end NAME checks all answers and
// prints the counts. The pipeline "stream" is the dossier requested as a stream; PIPELINE@KEY
// uses another account.
func runLoad(ts *testscript.TestScript, tb *testbed, args []string) error {
	switch {
	case len(args) >= 5 && args[0] == "begin":
		return tb.beginLoad(args[1], args[2], args[3], args[4:])
	case len(args) == 3 && args[0] == "whole":
		return tb.loads[args[1]].awaitComplete(args[2])
	case len(args) == 2 && args[0] == "end":
		l := tb.loads[args[1]]
		l.finish()
		c := l.counts
		fmt.Fprintf(ts.Stdout(), "whole %d not_run %d unknown %d failed %d cut %d late %d\nundated %d\nslowest %v\nproblems %v\n",
			c.complete, c.notRun, c.unknown, c.failed, c.cut, c.late, c.withoutRetryAfter, c.slowest, l.problems)
		return tb.checkLoad(l)
	}
	return errors.New("usage: load begin NAME PIPELINE CALLERS INSTANCE... | whole NAME COUNT | end NAME")
}

func (tb *testbed) beginLoad(name, pipeline, callers string, instances []string) error {
	number, err := strconv.Atoi(callers)
	if err != nil {
		return err
	}
	l := &load{
		name:   name,
		call:   Call{Pipeline: pipeline, SchemaVersion: "1", Key: DefaultKey},
		client: &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: number}},
		stop:   make(chan struct{}),
		cancel: make(chan struct{}),

		problems: make(map[string]int),
		changed:  make(chan struct{}),
	}
	if name, key, ok := strings.Cut(pipeline, "@"); ok {
		pipeline, l.call.Pipeline, l.call.Key = name, name, key
		l.honoursRetryAfter = true
	}
	if pipeline == "work-order" {
		l.idempotencyKeys = true
	}
	if pipeline == "stream" {
		l.call.Pipeline, l.call.Stream, l.call.SchemaVersion = "dossier", true, "2"
	}
	for _, instance := range instances {
		callersURL, err := tb.url(instance, "callers")
		if err != nil {
			return err
		}
		adminURL, err := tb.url(instance, "admin")
		if err != nil {
			return err
		}
		l.endpoints = append(l.endpoints, endpoint{callersURL, adminURL})
	}
	tb.loads[name] = l
	for caller := range number {
		l.callers.Go(func() { l.run(caller) })
	}
	return nil
}

// run is one caller.
func (l *load) run(caller int) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n := 0; l.running(); n++ {
		request := loadRequest{input: fmt.Sprintf("%s-%d-%d", l.name, caller, n)}
		for try := caller + n; request.outcome == "" || request.outcome == callerapi.OutcomeNotRun; try++ {
			if !l.running() && request.outcome != "" {
				break
			}
			if e, ok := l.findReady(try); ok {
				l.callOnce(&request, e)
			}
			if l.honoursRetryAfter {
				l.waitRetryAfter(request.retryAfter)
			}
			select {
			case <-ticker.C:
			case <-l.cancel:
				return
			}
		}
		l.update(func() { l.requests = append(l.requests, request) })
	}
}

// waitRetryAfter waits for the time that a refusal named, or the end of the load.
func (l *load) waitRetryAfter(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.stop:
	}
}

func (l *load) running() bool {
	select {
	case <-l.stop:
		return false
	default:
		return true
	}
}

// findReady returns a ready instance, starting at one that depends on try.
func (l *load) findReady(try int) (endpoint, bool) {
	client := &http.Client{Transport: l.client.Transport, Timeout: readyTimeout}
	for i := range l.endpoints {
		e := l.endpoints[(try+i)%len(l.endpoints)]
		response, err := client.Get(e.admin + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return e, true
		}
	}
	return endpoint{}, false
}

// callOnce sends the request once and records the result.
func (l *load) callOnce(request *loadRequest, e endpoint) {
	call := l.call
	call.URL, call.Input, call.Client = e.callers, request.input, l.client
	if l.idempotencyKeys {
		call.IdempotencyKey = request.input
	}
	began := time.Now()
	reply, err := call.Do()
	elapsed := time.Since(began)
	l.update(func() {
		request.retryAfter = 0
		if reply.Problem != nil {
			request.retryAfter = time.Duration(reply.Problem.RetryAfterMS) * time.Millisecond
			l.problems[reply.Problem.Type]++
		}
		if elapsed > loadDeadline {
			l.counts.late++
		}
		switch {
		case connectFailed(err):
		case err != nil:
			l.counts.cut++
			request.outcome = "" // it may have run
		case reply.Problem == nil:
			l.counts.complete++
			l.counts.slowest = max(l.counts.slowest, elapsed)
			request.outcome = callerapi.OutcomeRan
			if want := Expected(call.Pipeline, call.SchemaVersion, call.Input); reply.Answer.Output != want {
				l.wrongOutput = errors.Newf("%s was answered %q, not %q", call.Input, reply.Answer.Output, want)
			}
		case reply.Problem.Outcome == callerapi.OutcomeNotRun:
			l.counts.notRun++
			if reply.Problem.RetryAfterMS == 0 {
				l.counts.withoutRetryAfter++
			}
			request.outcome = callerapi.OutcomeNotRun
		case reply.Problem.Outcome == callerapi.OutcomeUnknown:
			l.counts.unknown++
			request.outcome = callerapi.OutcomeUnknown
		default:
			l.counts.failed++
			request.outcome = callerapi.OutcomeUnknown
		}
	})
}

// connectFailed reports whether no byte of the request can have been sent.
func connectFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (l *load) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *load) awaitComplete(text string) error {
	further, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	for first := -1; ; {
		l.mu.Lock()
		complete, changed := l.counts.complete, l.changed
		l.mu.Unlock()
		if first < 0 {
			first = complete
		}
		if complete >= first+further {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return errors.Newf("%d of %d whole answers in time", complete-first, further)
		}
	}
}

// finish stops the load. Each caller finishes its current request, within waitTimeout.
func (l *load) finish() {
	if l.ended {
		return
	}
	l.ended = true
	close(l.stop)
	canceller := time.AfterFunc(waitTimeout, func() { close(l.cancel) })
	defer canceller.Stop()
	l.callers.Wait()
	l.client.CloseIdleConnections()
}

// checkLoad compares the outcomes that callers received with the runs at the targets.
func (tb *testbed) checkLoad(l *load) error {
	if l.wrongOutput != nil || !l.idempotencyKeys {
		return l.wrongOutput
	}
	runs := make(map[string]int)
	for _, name := range tb.targets {
		starts, err := tb.startsByInput(name)
		if err != nil {
			return err
		}
		for input, number := range starts {
			runs[input] += number
		}
	}
	bad := slices.IndexFunc(l.requests, func(o loadRequest) bool { return !o.matchesRuns(runs[o.input]) })
	if bad >= 0 {
		o := l.requests[bad]
		return errors.Newf("%s was told %q and ran %d times", o.input, o.outcome, runs[o.input])
	}
	return nil
}

// matchesRuns reports whether the outcome of a request that must not be repeated is true,
// given how often it ran.
func (o loadRequest) matchesRuns(runs int) bool {
	switch o.outcome {
	case callerapi.OutcomeRan:
		return runs == 1
	case callerapi.OutcomeNotRun:
		return runs == 0
	default:
		return runs <= 1
	}
}
