package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Store is the emulated platform. It is safe for concurrent use.
type Store struct {
	options Options

	mu             sync.Mutex
	table          *table
	faults         Faults
	rand           *rand.Rand
	calls          Calls
	pendingTargets []targetChange

	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter
}

// New returns an empty store.
func New(options Options) *Store {
	o := options.withDefaults()
	return &Store{
		options: o,
		table:   newTable(o.History),
		rand:    rand.New(rand.NewPCG(o.Seed, o.Seed)),
		calls:   Calls{Kinds: make(map[string]KindCalls)},
		writes:  newLimiter(o.WritesPerSecond, o.WritesPerSecond/10),
		reads:   newLimiter(o.ReadsPerSecond, o.ReadsPerSecond/10),
		weights: newLimiter(o.WeightBytesPerSecond, o.WeightBytesPerSecond),
	}
}

func newLimiter(perSecond, burst int) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, burst))
}

// request identifies one call, over HTTP or in process, for counts, limits and
// faults.
type request struct {
	kind     CallKind
	instance string
	object   string // the kind of objects
}

// callFailure is the result of a failed call: a refusal, or a failure without a
// proper response.
type callFailure struct {
	// refusal is nil if the call got no proper response.
	refusal *refusal
	failure Failure
}

// admit counts a call, applies the faults before its effect, and checks its rate
// limit.
func (s *Store) admit(ctx context.Context, r request) *callFailure {
	limiter := s.reads
	if r.kind == CallWrite {
		limiter = s.writes
	}
	return s.admitTokens(ctx, r, limiter, 1)
}

// admitTokens is admit with a given limiter and cost.
func (s *Store) admitTokens(ctx context.Context, r request, limiter *rate.Limiter, tokens int) *callFailure {
	s.countCall(r)
	if failed := asCallFailure(s.injectBefore(ctx, r.instance, r.kind)); failed != nil {
		return failed
	}
	if !limiter.AllowN(s.options.Now(), tokens) {
		s.countLimited()
		return &callFailure{refusal: refuse(http.StatusTooManyRequests, "over the rate limit")}
	}
	return nil
}

// write applies an effect to the table. Faults can lose the response, and can then
// delay the effect as well; the effect checks its condition when it is applied.
func (s *Store) write(ctx context.Context, r request, effect func(*table) (*platformapi.Object, *refusal)) (*platformapi.Object, *callFailure) {
	r.kind = CallWrite
	if failed := s.admit(ctx, r); failed != nil {
		return nil, failed
	}
	if r.object == platformapi.KindTargets {
		return nil, &callFailure{refusal: refuse(http.StatusForbidden, "the platform writes targets")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failure, delay := s.sampleLoss(r.instance)
	if failure != FailNone && delay > 0 {
		s.options.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			effect(s.table)
		})
		return nil, &callFailure{failure: failure}
	}
	object, refused := effect(s.table)
	if failure != FailNone {
		return nil, &callFailure{failure: failure}
	}
	if refused != nil {
		return nil, &callFailure{refusal: refused}
	}
	return object, nil
}

func (s *Store) get(ctx context.Context, r request, name string) (*platformapi.Object, *callFailure) {
	r.kind = CallRead
	if failed := s.admit(ctx, r); failed != nil {
		return nil, failed
	}
	if refused := checkNames(r.object, name); refused != nil {
		return nil, &callFailure{refusal: refused}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.table.objectsBefore(r.object, s.staleRevisions(r.instance))
	object := objects[name]
	if object == nil {
		return nil, &callFailure{refusal: refuse(http.StatusNotFound, "no such object")}
	}
	return object, nil
}

func (s *Store) list(ctx context.Context, r request, after string, limit int, stale bool) (platformapi.List, *callFailure) {
	r.kind = CallRead
	if failed := s.admit(ctx, r); failed != nil {
		return platformapi.List{}, failed
	}
	if !kindPattern.MatchString(r.object) {
		return platformapi.List{}, &callFailure{refusal: refuse(http.StatusBadRequest, "bad kind")}
	}
	if limit <= 0 || limit > platformapi.MaxPageItems {
		limit = platformapi.MaxPageItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.staleRevisions(r.instance)
	if stale {
		age = max(age, 1)
	}
	objects, revision := s.table.objectsBefore(r.object, age)
	page := pageOf(objects, after, limit)
	page.Revision = revision
	return page, nil
}

// staleRevisions returns by how many revisions reads of the instance are stale.
func (s *Store) staleRevisions(instance string) uint64 {
	if !s.faults.affects(instance) {
		return 0
	}
	return s.faults.StaleBy
}

// watch waits for changes of the kinds. With MuteWatches it waits until the timeout
// and returns the revision unchanged, like a watch whose event feed has failed.
func (s *Store) watch(ctx context.Context, r request, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, *callFailure) {
	r.kind = CallWatch
	if failed := s.admit(ctx, r); failed != nil {
		return platformapi.WatchResponse{}, failed
	}
	defer s.countWaiting()()
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	s.options.AfterFunc(min(wait, milliseconds(platformapi.MaxWatchWaitMS)), cancel)
	for {
		watch, changed, failed := s.readEvents(r, kinds, from)
		if failed != nil {
			return watch, failed
		}
		from = watch.Revision
		if len(watch.Events) > 0 || wait <= 0 || limited.Err() != nil {
			return watch, nil
		}
		select {
		case <-changed:
		case <-limited.Done():
		}
		if ctx.Err() != nil {
			return watch, &callFailure{failure: FailReset}
		}
	}
}

// readEvents returns the events since a revision, and a channel that is closed at
// the next change of the table or of the faults. An outage also fails watches that
// are already waiting.
func (s *Store) readEvents(r request, kinds []string, from uint64) (platformapi.WatchResponse, <-chan struct{}, *callFailure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.changed
	affected := s.faults.affects(r.instance)
	if affected && s.faults.covers(CallWatch) && s.faults.Down != FailNone {
		return platformapi.WatchResponse{}, changed, asCallFailure(s.faults.Down)
	}
	if affected && s.faults.MuteWatches {
		return platformapi.WatchResponse{Events: []platformapi.Event{}, Revision: from}, changed, nil
	}
	watch, refused := s.table.eventsSince(kinds, from)
	if refused != nil {
		return watch, changed, &callFailure{refusal: refused}
	}
	if affected {
		skipped := min(s.faults.SkipEvents, len(watch.Events))
		s.faults.SkipEvents -= skipped
		watch.Events = watch.Events[skipped:]
	}
	return watch, changed, nil
}
