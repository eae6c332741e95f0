package follow

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// fleetWatchers is the number of watchers of a fleet; they are its first followers.
const fleetWatchers = 6

// fleetView is a follower's view of its fleet. It doesn't change: an instance that has failed keeps
// its rank.
type fleetView struct {
	fleet *fleet
	index int
	// allWatch is true if followers beyond the watchers watch too, with a higher rank.
	allWatch bool
}

func (s fleetView) WatcherCount() int { return min(fleetWatchers, len(s.fleet.followers)) }

func (s fleetView) Rank() int {
	if s.index < fleetWatchers || s.allWatch {
		return min(s.index, fleetWatchers)
	}
	return watching.NoRank
}

func (s fleetView) AllWatch() bool { return s.allWatch }

func (s fleetView) AwaitJoin(context.Context) {}

// joiningView is the view of an instance that considers itself alone until it has joined.
type joiningView struct {
	fleetView
	joins time.Time
}

func (n joiningView) joined() bool { return !time.Now().Before(n.joins) }

func (n joiningView) Rank() int {
	if !n.joined() {
		return 0
	}
	return n.fleetView.Rank()
}

func (n joiningView) AllWatch() bool { return !n.joined() || n.fleetView.AllWatch() }

func (n joiningView) AwaitJoin(context.Context) { time.Sleep(time.Until(n.joins)) }

func (s fleetView) PollWatcher(ctx context.Context, index int) watching.Report {
	if s.fleet.isIsolated(s.index) || s.fleet.isIsolated(index) {
		<-ctx.Done()
		return watching.Report{}
	}
	time.Sleep(time.Millisecond) // virtual
	return s.fleet.followers[index].Report()
}

// refusingStore doesn't answer the watches of one instance while refuses returns true.
type refusingStore struct {
	*timedStore
	refuses func() bool
}

func (r refusingStore) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	if r.refuses() {
		return platformapi.WatchResponse{}, errNoAnswer
	}
	return r.timedStore.Watch(ctx, kinds, from, wait)
}

var _ platform.Store = refusingStore{}

// withFleetView gives each follower of a fleet its view.
func withFleetView(all bool) func(fl *fleet, i int, o *Options) {
	return func(fl *fleet, i int, o *Options) { o.Fleet = fleetView{fl, i, all} }
}

// requireLeavingApplied has one target report that it leaves and another one's entry removed, and
// requires that no reachable follower uses them after leavingBound.
func (fl *fleet) requireLeavingApplied() {
	fl.store.put("targets", "a", "leaving")
	fl.store.put("targets", "b", "")
	fl.sleep(leavingBound)
	for i := range fl.followers {
		if !fl.isIsolated(i) {
			require.Equal(fl.t, []string{"c"}, fl.usableAt(i), "follower %d", i)
		}
	}
}

// fleets are a small fleet, in which all instances watch, and a large one.
var fleets = []struct {
	size int
	all  bool
}{{8, true}, {10, false}}

// As TestLeavingAfterSilenceTakesEffect, for a whole fleet. Each instance's watch may be lost in the
// silence, but the first watcher's watch ends after a short timeout at the latest.
func TestFleetLearnsOfLeavingAfterSilence(t *testing.T) {
	for _, c := range fleets {
		silences(coarseStep, func(begins, lasts time.Duration) {
			t.Run(fmt.Sprint(c.size, " at ", begins, " for ", lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, c.size, withFleetView(c.all))
					fl.sleep(begins)
					fl.store.silent(lasts)
					fl.sleep(lasts + settledAfter)
					require.Equal(t, 3, fl.minUsable)
					fl.requireLeavingApplied()
				})
			})
		})
	}
}

// Entries expire during a silence and reappear two seconds after it. Instances whose watch survived
// the silence without a failure learn of it only from the first watcher's report, and must keep the
// targets too.
func TestFleetKeepsExpiredEntries(t *testing.T) {
	for _, c := range fleets {
		silences(coarseStep, func(begins, lasts time.Duration) {
			t.Run(fmt.Sprint(c.size, " at ", begins, " for ", lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, c.size, withFleetView(c.all))
					fl.sleep(begins)
					fl.expireEntries(lasts)
					fl.sleep(3 * time.Second)
					require.Equal(t, 3, fl.minUsable)
					fl.requireLeavingApplied()
				})
			})
		})
	}
}

// The store loses all pending watches, for example in a failover, and answers all later calls. No
// call fails before its timeout is over.
//
// The first watcher may fail before or after it has noticed. Then the others can't tell an unavailable
// store from lost watches, and only the report of leaving, which is final, must meet the bound.
func TestStoreLosesWatches(t *testing.T) {
	const never = time.Hour
	for _, c := range fleets {
		for _, failsAfter := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 2800 * time.Millisecond, never} {
			for begins := 10 * time.Second; begins < 19*time.Second; begins += fineStep {
				t.Run(fmt.Sprint(c.size, " at ", begins, " fails ", failsAfter), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fl := newFleet(t, c.size, withFleetView(c.all))
						fl.sleep(begins)
						fl.store.loseWatches()
						time.AfterFunc(failsAfter, func() { fl.isolate(0) })
						fl.sleep(settledAfter)
						if failsAfter == never {
							fl.requireLeavingApplied()
							return
						}
						fl.store.put("targets", "a", "leaving")
						fl.sleep(leavingBound)
						for i := 1; i < c.size; i++ {
							require.Equal(t, []string{"b", "c"}, fl.usableAt(i), "follower %d", i)
						}
					})
				})
			}
		}
	}
}

// The store loses all pending watches, the first watcher fails, and a target's entry is removed
// without a report. The others must not take that for an entry that expired in an outage.
func TestRemovalAfterStoreLosesWatchesTakesEffect(t *testing.T) {
	for _, c := range fleets {
		for _, failsAfter := range []time.Duration{100 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 2800 * time.Millisecond} {
			for begins := 10 * time.Second; begins < 19*time.Second; begins += fineStep {
				t.Run(fmt.Sprint(c.size, " at ", begins, " fails ", failsAfter), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fl := newFleet(t, c.size, withFleetView(c.all))
						fl.sleep(begins)
						fl.store.loseWatches()
						time.AfterFunc(failsAfter, func() { fl.isolate(0) })
						fl.sleep(settledAfter)
						fl.requireLeavingApplied()
					})
				})
			}
		}
	}
}

// The first watcher fails around the store's recovery. No other instance's watch has a
// short timeout, and the others' watches may be lost: one of them has to take over in time.
func TestFirstWatcherFailsAtStoreRecovery(t *testing.T) {
	for _, c := range fleets {
		for _, after := range []time.Duration{-2 * time.Second, -300 * time.Millisecond, 0, 500 * time.Millisecond, 2 * time.Second} {
			silences(coarseStep, func(begins, lasts time.Duration) {
				if lasts+after < 0 {
					return
				}
				t.Run(fmt.Sprint(c.size, " at ", begins, " for ", lasts, " fails ", after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fl := newFleet(t, c.size, withFleetView(c.all))
						fl.sleep(begins)
						fl.store.silent(lasts)
						fl.sleep(lasts + after)
						fl.isolate(0)
						fl.sleep(settledAfter - after)
						fl.requireLeavingApplied()
					})
				})
			})
		}
	}
}

// The store refuses the first two watchers and serves the others. They detect that no instance has a
// short watch, and one of them takes over. A leaving target is then detected also after a silence
// that the refused watchers can't tell from their own refusal.
func TestStoreRefusesFirstWatchers(t *testing.T) {
	for _, c := range fleets {
		silences(coarseStep, func(begins, lasts time.Duration) {
			t.Run(fmt.Sprint(c.size, " at ", begins, " for ", lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var refuses atomic.Bool
					fl := newFleet(t, c.size, func(fl *fleet, i int, o *Options) {
						withFleetView(c.all)(fl, i, o)
						if i < 2 {
							o.Store = refusingStore{fl.store, refuses.Load}
						}
					})
					fl.sleep(time.Second)
					refuses.Store(true)
					fl.sleep(begins - time.Second)
					fl.store.silent(lasts)
					fl.sleep(lasts + settledAfter)
					fl.requireLeavingApplied()
				})
			})
		})
	}
}

// An instance that reaches no other one watches by itself. Otherwise an instance of a large fleet
// would have no watch at all.
func TestIsolatedInstanceWatches(t *testing.T) {
	for _, c := range fleets {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, c.size, withFleetView(c.all))
			fl.sleep(10 * time.Second)
			last := c.size - 1
			fl.isolate(last)
			fl.store.silent(300 * time.Millisecond)
			fl.sleep(settledAfter)
			fl.store.put("targets", "a", "leaving")
			fl.sleep(leavingBound)
			require.Equal(t, []string{"b", "c"}, fl.usableAt(last))
		})
	}
}

// In an idle fleet only one instance uses short watches. The number of calls grows with the fleet only
// by the long watches of the watchers.
func TestIdleFleetMakesFewCalls(t *testing.T) {
	for _, c := range fleets {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, c.size, withFleetView(c.all))
			fl.sleep(time.Second)
			before := fl.store.calls()
			fl.sleep(80 * time.Second)
			calls := fl.store.calls() - before
			watchers := fleetWatchers
			if c.all {
				watchers = c.size
			}
			// Two parts: a short timeout is 0.8 s, a long one 8 s.
			require.LessOrEqual(t, calls, 2*(100+10*(watchers-1)+watchers))
		})
	}
}

// The instances of a large fleet that starts must not all watch, each woken by every change, until
// they know that others do.
func TestStartingFleetMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, changes = 60, 10
		joins := time.Now().Add(300 * time.Millisecond)
		fl := newFleet(t, size, func(fl *fleet, i int, o *Options) { o.Fleet = joiningView{fleetView{fl, i, false}, joins} })
		for i := range changes {
			fl.store.put("targets", fmt.Sprint("new-", i), "ready")
			fl.sleep(20 * time.Millisecond)
		}
		fl.sleep(500 * time.Millisecond)
		require.LessOrEqual(t, fl.store.calls(), 2*size+2*fleetWatchers*changes)
	})
}

// A silence in front of a large fleet: instances that aren't watchers take over only if no watcher is
// up to date, and stop watching afterwards.
func TestLargeFleetStopsWatchingAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 60, withFleetView(false))
		fl.sleep(10 * time.Second)
		fl.store.silent(6 * time.Second)
		fl.sleep(30 * time.Second)
		before := fl.store.calls()
		fl.sleep(80 * time.Second)
		require.LessOrEqual(t, fl.store.calls()-before, 2*(100+10*(fleetWatchers-1)+fleetWatchers))
		require.True(t, slices.Equal([]string{"a", "b", "c"}, fl.usableAt(59)))
	})
}

// A target reports that it leaves, and restarts under its name right after. If an instance of a small
// fleet delayed its next watch after the first report, a request that may run at most once could be
// lost on a connection to the earlier process.
func TestSmallFleetLearnsOfChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 8, withFleetView(true))
		fl.sleep(10 * time.Second)
		fl.isolate(7) // so that it learns of changes by its own watch alone
		fl.store.put("targets", "a", "leaving")
		fl.sleep(3 * responseTime)
		fl.store.put("targets", "b", "leaving")
		fl.sleep(3 * responseTime)
		require.Equal(t, []string{"c"}, fl.usableAt(7))
	})
}
