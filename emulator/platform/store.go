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

// Store is the stand-in. It is safe for concurrent use.
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

// request is one call, whichever way it came.
type request struct {
	kind     CallKind
	instance string
	object   string // the kind of objects, for the counts
}

// failed is the end of a call without success: a refusal or a broken answer.
type callFailure struct {
	refusal *refusal
	failure Failure
}

// enter counts a call, delays or fails it, and holds it against the limits.
func (s *Store) admit(ctx context.Context, r request) *callFailure {
	limiter := s.reads
	if r.kind == CallWrite {
		limiter = s.writes
	}
	return s.admitTokens(ctx, r, limiter, 1)
}

func (s *Store) admitTokens(ctx context.Context, r request, limiter *rate.Limiter, tokens int) *callFailure {
	s.countCall(r)
	if f := asCallFailure(s.injectBefore(ctx, r.instance, r.kind)); f != nil {
		return f
	}
	if !limiter.AllowN(s.options.Now(), tokens) {
		s.countLimited()
		return &callFailure{refusal: refuse(http.StatusTooManyRequests, "over the rate limit")}
	}
	return nil
}

// write carries out an effect on the table. It may lose the answer, and then
// may apply the effect late; the condition is checked when it applies.
func (s *Store) write(ctx context.Context, r request, effect func(*table) (*platformapi.Object, *refusal)) (*platformapi.Object, *callFailure) {
	r.kind = CallWrite
	if f := s.admit(ctx, r); f != nil {
		return nil, f
	}
	if r.object == platformapi.KindTargets {
		return nil, &callFailure{refusal: refuse(http.StatusForbidden, "the platform writes targets")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	how, late := s.sampleLoss(r.instance)
	if how != FailNone && late > 0 {
		s.options.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			effect(s.table)
		})
		return nil, &callFailure{failure: how}
	}
	object, bad := effect(s.table)
	if how != FailNone {
		return nil, &callFailure{failure: how}
	}
	if bad != nil {
		return nil, &callFailure{refusal: bad}
	}
	return object, nil
}

func (s *Store) get(ctx context.Context, r request, name string) (*platformapi.Object, *callFailure) {
	r.kind = CallRead
	if f := s.admit(ctx, r); f != nil {
		return nil, f
	}
	if bad := checkNames(r.object, name); bad != nil {
		return nil, &callFailure{refusal: bad}
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
	if f := s.admit(ctx, r); f != nil {
		return platformapi.List{}, f
	}
	if !kindPattern.MatchString(r.object) {
		return platformapi.List{}, &callFailure{refusal: refuse(http.StatusBadRequest, "bad kind")}
	}
	if limit <= 0 || limit > platformapi.MaxPageItems {
		limit = platformapi.MaxPageItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	back := s.staleRevisions(r.instance)
	if stale {
		back = max(back, 1)
	}
	objects, revision := s.table.objectsBefore(r.object, back)
	page := pageOf(objects, after, limit)
	page.Revision = revision
	return page, nil
}

// staleBy returns how many revisions ago reads are answered from.
func (s *Store) staleRevisions(instance string) uint64 {
	if !s.faults.affects(instance) {
		return 0
	}
	return s.faults.StaleBy
}

// watch waits for changes of the kinds. Muted, it waits to the end and keeps the
// revision, as a watch that lost its feed does.
func (s *Store) watch(ctx context.Context, r request, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, *callFailure) {
	r.kind = CallWatch
	if f := s.admit(ctx, r); f != nil {
		return platformapi.WatchResponse{}, f
	}
	defer s.countWaiting()()
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	s.options.AfterFunc(min(wait, milliseconds(platformapi.MaxWatchWaitMS)), cancel)
	for {
		watch, changed, f := s.readEvents(r, kinds, from)
		if f != nil {
			return watch, f
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

// observe looks once and returns what is closed at the next change of the table
// or of the faults. An outage breaks watches that already wait.
func (s *Store) readEvents(r request, kinds []string, from uint64) (platformapi.WatchResponse, <-chan struct{}, *callFailure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.changed
	faulty := s.faults.affects(r.instance)
	if faulty && s.faults.covers(CallWatch) && s.faults.Down != FailNone {
		return platformapi.WatchResponse{}, changed, asCallFailure(s.faults.Down)
	}
	if faulty && s.faults.MuteWatches {
		return platformapi.WatchResponse{Events: []platformapi.Event{}, Revision: from}, changed, nil
	}
	watch, bad := s.table.eventsSince(kinds, from)
	if bad != nil {
		return watch, changed, &callFailure{refusal: bad}
	}
	if faulty {
		skipped := min(s.faults.SkipEvents, len(watch.Events))
		s.faults.SkipEvents -= skipped
		watch.Events = watch.Events[skipped:]
	}
	return watch, changed, nil
}
