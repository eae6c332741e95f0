package follow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Bounds that users require. The first two are counted from the store's acknowledgement of a
// change, the others from the store's recovery.
const (
	// leavingBound is the time after which a target that has left gets no new work.
	leavingBound = 2 * time.Second
	// configBound is the time within which a configuration is in force.
	configBound = 2 * time.Second
	// settledAfter is the time after the store's recovery from which leavingBound and
	// configBound hold.
	settledAfter = 3 * time.Second
	// returnBound is the time after the store's recovery within which expired entries
	// reappear.
	returnBound = 2 * time.Second
)

// Timing of the test store and its client.
const (
	responseTime = 4 * time.Millisecond
	watchSlack   = time.Second
	callTimeout  = 2 * time.Second
)

// silence is a period in which the store answers no call.
type silence struct{ from, to time.Time }

// timedStore is a store in virtual time. While it is silent it receives nothing: a watch that is
// sent then is lost, that is, never answered, not even after the store's recovery.
type timedStore struct {
	platform.Store

	mu       sync.Mutex
	silences []silence
	revision uint64
	history  []change
	objects  map[string]map[string]platformapi.Object
	changed  chan struct{}
	// watchesLostAt is when the store last lost all pending watches.
	watchesLostAt time.Time
	watches       int
}

type change struct {
	kind  string
	event platformapi.Event
}

func newTimedStore() *timedStore {
	return &timedStore{objects: map[string]map[string]platformapi.Object{}, changed: make(chan struct{})}
}

// silent makes the store silent from now on for a while.
func (s *timedStore) silent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences = append(s.silences, silence{time.Now(), time.Now().Add(d)})
}

func (s *timedStore) isSilent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.silences, func(x silence) bool { return !now.Before(x.from) && now.Before(x.to) })
}

// loseWatches loses all pending watches: they are never answered, and nothing else fails.
func (s *timedStore) loseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesLostAt = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// lostWatch reports whether a watch that began at a time was lost.
func (s *timedStore) lostWatch(begun time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return begun.Before(s.watchesLostAt)
}

// put writes an object; an empty spec removes it.
func (s *timedStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := platformapi.Object{Metadata: platformapi.Metadata{Name: name, Revision: s.revision}, Spec: []byte(spec)}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platformapi.Object{}
	}
	s.objects[kind][name] = o
	if spec == "" {
		delete(s.objects[kind], name)
	}
	s.history = append(s.history, change{kind, platformapi.Event{Object: o, Deleted: spec == ""}})
	close(s.changed)
	s.changed = make(chan struct{})
}

var errNoAnswer = errors.New("no answer")

// unanswered waits until the client gives up a call that is never answered.
func unanswered(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
	return errNoAnswer
}

func (s *timedStore) List(ctx context.Context, kind string) (platformapi.List, error) {
	if s.isSilent(time.Now()) {
		return platformapi.List{}, unanswered(ctx, time.Now().Add(callTimeout))
	}
	time.Sleep(responseTime) // virtual
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platformapi.List{Revision: s.revision}
	for _, o := range s.objects[kind] {
		l.Items = append(l.Items, o)
	}
	return l, nil
}

func (s *timedStore) Get(ctx context.Context, kind, name string) (*platformapi.Object, error) {
	if s.isSilent(time.Now()) {
		return nil, unanswered(ctx, time.Now().Add(callTimeout))
	}
	time.Sleep(responseTime) // virtual
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	return &o, nil
}

func (s *timedStore) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	begun := time.Now()
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	if s.isSilent(begun) {
		return platformapi.WatchResponse{}, unanswered(ctx, begun.Add(wait+watchSlack))
	}
	over := time.After(wait)
	for {
		w, changed := s.since(kinds, from)
		if s.lostWatch(begun) {
			return platformapi.WatchResponse{}, unanswered(ctx, begun.Add(wait+watchSlack))
		}
		if len(w.Events) == 0 {
			select {
			case <-changed:
				continue
			case <-over:
			case <-ctx.Done():
				return platformapi.WatchResponse{}, ctx.Err()
			}
			w, _ = s.since(kinds, from)
		}
		time.Sleep(responseTime) // virtual
		if s.isSilent(time.Now()) || s.lostWatch(begun) {
			return platformapi.WatchResponse{}, unanswered(ctx, begun.Add(wait+watchSlack))
		}
		return w, nil
	}
}

// calls returns the number of watches sent so far.
func (s *timedStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *timedStore) since(kinds []string, from uint64) (platformapi.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := platformapi.WatchResponse{Revision: s.revision}
	for _, c := range s.history {
		if c.event.Object.Metadata.Revision > from && slices.Contains(kinds, c.kind) {
			w.Events = append(w.Events, c.event)
		}
	}
	return w, s.changed
}

// fleet is a number of followers in front of one store, which gossip to one another without delay.
type fleet struct {
	t         *testing.T
	store     *timedStore
	followers []*Follower

	mu sync.Mutex
	// usable are the names of the usable targets of each follower.
	usable [][]string
	// minUsable is the lowest number of usable targets that any follower has had since newFleet
	// returned.
	minUsable int
	// isolated are the followers that the others can't reach.
	isolated map[int]bool
}

// newFleet starts followers that know the targets a, b and c and a configuration. change may modify
// the options of each.
func newFleet(t *testing.T, size int, change func(fl *fleet, i int, o *Options)) *fleet {
	fl := &fleet{t: t, store: newTimedStore(), usable: make([][]string, size), isolated: map[int]bool{}}
	fl.store.put("config", "main", "1")
	for _, name := range []string{"a", "b", "c"} {
		fl.store.put("targets", name, "ready")
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range size {
		o := fl.options(i)
		if change != nil {
			change(fl, i, &o)
		}
		fl.followers = append(fl.followers, New(o))
	}
	for _, f := range fl.followers {
		running.Go(func() { _ = f.Run(ctx) }) // Run always returns nil
	}
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	fl.sleep(100 * time.Millisecond)
	fl.mu.Lock()
	fl.minUsable = 3
	fl.mu.Unlock()
	for i := range size {
		require.Equal(t, []string{"a", "b", "c"}, fl.usableAt(i))
	}
	return fl
}

func (fl *fleet) options(i int) Options {
	return Options{
		Store: fl.store,
		Source: Source{
			ConfigKind: "config", ConfigName: "main", TargetKind: "targets",
			DecodeConfig: func(_ []byte, revision uint64) (*routes.Table, error) {
				return &routes.Table{Revision: revision}, nil
			},
			DecodeTarget: func(name string, spec []byte) (routes.Target, error) {
				return routes.Target{Name: name, Service: "s", Leaving: string(spec) == "leaving"}, nil
			},
		},
		Gossip: func(r spread.Record) {
			go fl.gossip(i, r)
		},
		OnChange: func(_ time.Time, _ *routes.Table, usable map[string][]routes.Target) {
			var names []string
			for _, t := range usable["s"] {
				names = append(names, t.Name)
			}
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.usable[i] = names
			fl.minUsable = min(fl.minUsable, len(names))
		},
		OnLeaving: func(time.Time, string) {},
		Scope:     tally.NoopScope,
	}
}

// gossip passes a record of one follower to the others.
func (fl *fleet) gossip(from int, r spread.Record) {
	for i, f := range fl.followers {
		if i != from && !fl.isIsolated(i) && !fl.isIsolated(from) {
			f.Receive(r)
		}
	}
}

// isolate ends the communication between a follower and the others.
func (fl *fleet) isolate(i int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.isolated[i] = true
}

func (fl *fleet) isIsolated(i int) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.isolated[i]
}

func (fl *fleet) usableAt(i int) []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.usable[i])
}

// expireEntries makes the store silent for a while. All entries expire 100 ms before the silence
// ends and reappear as late as allowed, returnBound after it.
func (fl *fleet) expireEntries(lasts time.Duration) {
	names := []string{"a", "b", "c"}
	fl.store.silent(lasts)
	fl.sleep(lasts - 100*time.Millisecond)
	for _, name := range names {
		fl.store.put("targets", name, "")
	}
	fl.sleep(100*time.Millisecond + returnBound)
	for _, name := range names {
		fl.store.put("targets", name, "ready")
	}
}

func (fl *fleet) sleep(d time.Duration) {
	time.Sleep(d) // virtual
	synctest.Wait()
}

// Steps between the starts of silences, for one instance and for a fleet.
const (
	fineStep   = 700 * time.Millisecond
	coarseStep = 2300 * time.Millisecond
)

// silences calls test with the start and the duration of each of a series of silences of the store.
// They start at all phases of a watch's timeout; some are shorter and some longer than the lease of
// an entry.
func silences(step time.Duration, test func(begins, lasts time.Duration)) {
	for begins := 10 * time.Second; begins < 19*time.Second; begins += step {
		for _, lasts := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second, 9600 * time.Millisecond} {
			test(begins, lasts)
		}
	}
}

// A target reports that it leaves, 3 s after the recovery of a silent store. A watch that was
// sent during the silence was never received, and can't be told from one without changes. If it
// waited for its full timeout of 9 s, long after the store's recovery, the instance would go on
// sending requests to the target.
func TestLeavingAfterSilenceTakesEffect(t *testing.T) {
	silences(fineStep, func(begins, lasts time.Duration) {
		t.Run(fmt.Sprint(begins, " for ", lasts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1, nil)
				fl.sleep(begins)
				fl.store.silent(lasts)
				fl.sleep(lasts + settledAfter)
				fl.store.put("targets", "a", "leaving")
				fl.sleep(leavingBound)
				require.Equal(t, []string{"b", "c"}, fl.usableAt(0))
			})
		})
	})
}

// The same with a target whose entry is removed without a report. Entries that vanish while the store
// is unavailable are kept for 2.2 s. If that time were counted from the failure of a watch that was
// lost before the store's recovery, the instance would go on sending work to the target.
func TestRemovalAfterSilenceTakesEffect(t *testing.T) {
	silences(fineStep, func(begins, lasts time.Duration) {
		t.Run(fmt.Sprint(begins, " for ", lasts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1, nil)
				fl.sleep(begins)
				fl.store.silent(lasts)
				fl.sleep(lasts + settledAfter)
				fl.store.put("targets", "a", "")
				fl.sleep(leavingBound)
				require.Equal(t, []string{"b", "c"}, fl.usableAt(0))
			})
		})
	})
}

// The same with a version of the configuration that is written at the store's recovery: a key that it
// removes must not be accepted for seconds.
func TestConfigurationAfterSilenceIsInForce(t *testing.T) {
	silences(fineStep, func(begins, lasts time.Duration) {
		t.Run(fmt.Sprint(begins, " for ", lasts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1, nil)
				fl.sleep(begins)
				fl.store.silent(lasts)
				fl.sleep(lasts)
				fl.store.put("config", "main", "2")
				written := fl.store.revision
				fl.sleep(max(settledAfter, configBound))
				require.Equal(t, written, fl.followers[0].Table().Revision)
			})
		})
	})
}

// Entries expire while the store is silent, though all targets live, and reappear two seconds after
// its recovery. An instance that receives the removals at once must keep the targets until then, or
// it would refuse requests.
func TestExpiredEntriesAreKeptUntilTheyReappear(t *testing.T) {
	silences(fineStep, func(begins, lasts time.Duration) {
		t.Run(fmt.Sprint(begins, " for ", lasts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1, nil)
				fl.sleep(begins)
				fl.expireEntries(lasts)
				fl.sleep(12 * time.Second)
				require.Equal(t, 3, fl.minUsable)
			})
		})
	})
}

// verboseStore answers no watch of the configuration while more than one version is new: its response
// would be too large.
type verboseStore struct{ *timedStore }

func (v verboseStore) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	w, err := v.timedStore.Watch(ctx, kinds, from, wait)
	if len(w.Events) > 1 {
		return platformapi.WatchResponse{}, platform.ErrResponseTooLarge
	}
	return w, err
}

// Guards against a follower that asks for the same changes for ever although their response is too large
// to be read.
func TestTooManyLargeChangesAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1, func(fl *fleet, _ int, o *Options) { o.Store = verboseStore{fl.store} })
		fl.store.silent(2 * time.Second)
		for version := range 3 {
			fl.store.put("config", "main", fmt.Sprint(version))
		}
		newest := fl.store.revision
		fl.sleep(2*time.Second + settledAfter)
		require.Equal(t, newest, fl.followers[0].Table().Revision)
	})
}
