package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

const (
	// drainTime is the time, with some margin, within which instances must stop sending new
	// work to a leaving target. When it has passed, the target's entry is deleted.
	drainTime = 2500 * time.Millisecond
	// resultRetention is how long a target stays up after that for readers of its results.
	resultRetention = 4500 * time.Millisecond
	// eventInterval is the pause before each event of a stream; streams are far shorter than a
	// planned stop.
	eventInterval        = 10 * time.Millisecond
	eventIntervalPlanned = 80 * time.Millisecond
	// maxStageDelay is the longest delay of a stage call in each direction. With this
	// delay a stream with two stages can still meet its deadline, but takes longer than a
	// planned stop.
	maxStageDelay = time.Second
)

func (tb *testbed) addTarget(name string) error { return tb.addTargetOf(name, firstVersion) }

// addTargetOf adds a target of a software version.
func (tb *testbed) addTargetOf(name, version string) error {
	t := standin.NewTarget(name)
	t.SetVersion(version)
	pace := eventInterval
	switch {
	case tb.options.Planned:
		pace = eventIntervalPlanned
	case tb.options.Versions:
		pace = eventIntervalVersions
		t.StateVersion()
	}
	t.SetStream(eventsPerStream, pace)
	if tb.options.Accounts {
		makeScarce(t)
	}
	t.SetFaults(func(a standin.Arrival) standin.Fault { return tb.injector.nextFaultOnConnection(name, a) })
	path, err := relay.Start("127.0.0.1:0", t.Address())
	if err != nil {
		return err
	}
	tb.mu.Lock()
	tb.targets[name], tb.relays[name] = t, path
	tb.mu.Unlock()
	if slices.Contains(crashingTargets, name) {
		tb.enableCrashes(name)
	}
	tb.writeEntry(name, "ready")
	return nil
}

// target returns a target and the relay before it.
func (tb *testbed) target(name string) (*standin.Target, *relay.Relay) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.targets[name], tb.relays[name]
}

// writeEntry writes a target's entry, with the address of the relay before it.
func (tb *testbed) writeEntry(name, state string) {
	service, _, _ := strings.Cut(name, "-")
	target, path := tb.target(name)
	entry := target.Entry(service, dataCentre(name), state)
	entry["address"] = path.Addr()
	tb.store.Put("servers", name, entry)
}

// replaceable are the targets that are replaced; other faults don't affect them.
var replaceable = []string{"plain-3", "engine-3", "stage-2"}

// runChanges writes configurations and replaces targets until the given time.
func (tb *testbed) runChanges(until time.Time, pause time.Duration, random *rand.Rand) {
	current := append([]string{}, replaceable...)
	for n := 1; time.Now().Before(until); n++ {
		time.Sleep(pause + randomDuration(random, time.Second, 2*time.Second))
		tb.reconfigure()
		slot := random.IntN(len(current))
		if random.IntN(2) == 0 {
			continue
		}
		service, _, _ := strings.Cut(current[slot], "-")
		next := fmt.Sprintf("%s-new-%d", service, n)
		tb.logf("planned: %s leaves, %s comes", current[slot], next)
		if err := tb.addTarget(next); err != nil {
			tb.violation("%s doesn't start: %v", next, err)
			return
		}
		tb.removeTarget(current[slot])
		current[slot] = next
	}
}

// slowStages delays the calls of stages for a while, as load does: streams that were admitted
// before the delay began still wait for their stages when a stop reaches its end.
func (tb *testbed) slowStages(by, span time.Duration) {
	tb.logf("planned: stages are slow by %v each way for %v", by, span)
	tb.delayStages(by)
	time.Sleep(span)
	tb.delayStages(0)
}

func (tb *testbed) delayStages(by time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for name, path := range tb.relays {
		if strings.HasPrefix(name, "stage-") {
			path.Delay(relay.Both, by)
		}
	}
}

// removeTarget removes a target: it first drains, then its entry is deleted, then it closes.
func (tb *testbed) removeTarget(name string) {
	tb.writeEntry(name, "draining")
	tb.departures.Go(func() {
		if !tb.waitUnlessOver(drainTime) {
			return
		}
		tb.store.Delete("servers", name)
		if !tb.waitUnlessOver(resultRetention) {
			return
		}
		target, path := tb.target(name)
		tb.mu.Lock()
		tb.departed[name] = true
		tb.mu.Unlock()
		path.Close()
		target.Close()
	})
}

// waitUnlessOver waits for the given time and reports whether the run is still going on.
func (tb *testbed) waitUnlessOver(span time.Duration) bool {
	select {
	case <-tb.over:
		return false
	case <-time.After(span):
		return true
	}
}
