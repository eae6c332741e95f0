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

	mu      sync.Mutex
	table   *table
	faults  Faults
	rand    *rand.Rand
	calls   Calls
	pending []targetChange

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
type failed struct {
	refusal *refusal
	how     Failure
}

// enter counts a call, delays or fails it, and holds it against the limits.
func (s *Store) enter(ctx context.Context, r request) *failed {
	limiter := s.reads
	if r.kind == CallWrite {
		limiter = s.writes
	}
	return s.enterLimited(ctx, r, limiter, 1)
}

func (s *Store) enterLimited(ctx context.Context, r request, limiter *rate.Limiter, tokens int) *failed {
	s.count(r)
	if f := down(s.gate(ctx, r.instance, r.kind)); f != nil {
		return f
	}
	if !limiter.AllowN(s.options.Now(), tokens) {
		s.countLimited()
		return &failed{refusal: refuse(http.StatusTooManyRequests, "over the rate limit")}
	}
	return nil
}

// write carries out an effect on the table. It may lose the answer, and then
// may apply the effect late; the condition is checked when it applies.
func (s *Store) write(ctx context.Context, r request, effect func(*table) (*platformapi.Object, *refusal)) (*platformapi.Object, *failed) {
	r.kind = CallWrite
	if f := s.enter(ctx, r); f != nil {
		return nil, f
	}
	if r.object == platformapi.KindTargets {
		return nil, &failed{refusal: refuse(http.StatusForbidden, "the platform writes targets")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	how, late := s.loss(r.instance)
	if how != FailNot && late > 0 {
		s.options.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			effect(s.table)
		})
		return nil, &failed{how: how}
	}
	object, bad := effect(s.table)
	if how != FailNot {
		return nil, &failed{how: how}
	}
	if bad != nil {
		return nil, &failed{refusal: bad}
	}
	return object, nil
}

func (s *Store) get(ctx context.Context, r request, name string) (*platformapi.Object, *failed) {
	r.kind = CallRead
	if f := s.enter(ctx, r); f != nil {
		return nil, f
	}
	if bad := checkNames(r.object, name); bad != nil {
		return nil, &failed{refusal: bad}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.table.past(r.object, s.staleBy(r.instance))
	object := objects[name]
	if object == nil {
		return nil, &failed{refusal: refuse(http.StatusNotFound, "no such object")}
	}
	return object, nil
}

func (s *Store) list(ctx context.Context, r request, after string, limit int, stale bool) (platformapi.List, *failed) {
	r.kind = CallRead
	if f := s.enter(ctx, r); f != nil {
		return platformapi.List{}, f
	}
	if !kindPattern.MatchString(r.object) {
		return platformapi.List{}, &failed{refusal: refuse(http.StatusBadRequest, "bad kind")}
	}
	if limit <= 0 || limit > platformapi.MaxPageItems {
		limit = platformapi.MaxPageItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	back := s.staleBy(r.instance)
	if stale {
		back = max(back, 1)
	}
	objects, revision := s.table.past(r.object, back)
	page := list(objects, after, limit)
	page.Revision = revision
	return page, nil
}

// staleBy returns how many revisions ago reads are answered from.
func (s *Store) staleBy(instance string) uint64 {
	if !s.faults.hits(instance) {
		return 0
	}
	return s.faults.StaleBy
}

// watch waits for changes of the kinds. Muted, it waits to the end and keeps the
// revision, as a watch that lost its feed does.
func (s *Store) watch(ctx context.Context, r request, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, *failed) {
	r.kind = CallWatch
	if f := s.enter(ctx, r); f != nil {
		return platformapi.WatchResponse{}, f
	}
	defer s.waiting()()
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	s.options.AfterFunc(min(wait, milliseconds(platformapi.MaxWatchWaitMS)), cancel)
	for {
		watch, changed, f := s.observe(r, kinds, from)
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
			return watch, &failed{how: FailReset}
		}
	}
}

// observe looks once and returns what is closed at the next change of the table
// or of the faults. An outage breaks watches that already wait.
func (s *Store) observe(r request, kinds []string, from uint64) (platformapi.WatchResponse, <-chan struct{}, *failed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.changed
	faulty := s.faults.hits(r.instance)
	if faulty && s.faults.covers(CallWatch) && s.faults.Down != FailNot {
		return platformapi.WatchResponse{}, changed, down(s.faults.Down)
	}
	if faulty && s.faults.MuteWatches {
		return platformapi.WatchResponse{Events: []platformapi.Event{}, Revision: from}, changed, nil
	}
	watch, bad := s.table.since(kinds, from)
	if bad != nil {
		return watch, changed, &failed{refusal: bad}
	}
	if faulty {
		skipped := min(s.faults.SkipEvents, len(watch.Events))
		s.faults.SkipEvents -= skipped
		watch.Events = watch.Events[skipped:]
	}
	return watch, changed, nil
}
