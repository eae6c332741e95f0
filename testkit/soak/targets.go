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
	// drainTime is what instances have to send a leaving target nothing new, with
	// some room; its entry goes then.
	drainTime = 2500 * time.Millisecond
	// holdTime is how long a target lives on for the readers of its results.
	resultRetention = 4500 * time.Millisecond
	// streamPace is the pause before each event of a stream; streams are far
	// shorter than a planned stop.
	eventInterval        = 10 * time.Millisecond
	eventIntervalPlanned = 80 * time.Millisecond
	// slowest is the delay of a stage's call each way that leaves a stream with two
	// stages time within its wait, if not within a planned stop.
	maxStageDelay = time.Second
)

func (w *testbed) addTarget(name string) error {
	t := standin.NewTarget(name)
	pace := eventInterval
	if w.options.Planned {
		pace = eventIntervalPlanned
	}
	t.SetStream(eventsPerStream, pace)
	t.SetFaults(func(a standin.Arrival) standin.Fault { return w.injector.nextFault(name, a) })
	path, err := relay.Start("127.0.0.1:0", t.Address())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.targets[name], w.relays[name] = t, path
	w.mu.Unlock()
	if slices.Contains(crashingTargets, name) {
		w.enableCrashes(name)
	}
	w.writeEntry(name, "ready")
	return nil
}

// target returns a target and the relay before it.
func (w *testbed) target(name string) (*standin.Target, *relay.Relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[name], w.relays[name]
}

// enter writes a target's entry, under the address of the relay before it.
func (w *testbed) writeEntry(name, state string) {
	service, _, _ := strings.Cut(name, "-")
	target, path := w.target(name)
	entry := target.Entry(service, "x", state)
	entry["address"] = path.Addr()
	w.store.Put("servers", name, entry)
}

// replaceable are the targets that are replaced; other faults leave them alone.
var replaceable = []string{"plain-3", "engine-3", "stage-2"}

// changes writes configurations and replaces targets until the time is over.
func (w *testbed) runChanges(until time.Time, rest time.Duration, random *rand.Rand) {
	current := append([]string{}, replaceable...)
	for n := 1; time.Now().Before(until); n++ {
		time.Sleep(rest + randomDuration(random, time.Second, 2*time.Second))
		w.reconfigure()
		slot := random.IntN(len(current))
		if random.IntN(2) == 0 {
			continue
		}
		service, _, _ := strings.Cut(current[slot], "-")
		next := fmt.Sprintf("%s-new-%d", service, n)
		w.logf("planned: %s leaves, %s comes", current[slot], next)
		if err := w.addTarget(next); err != nil {
			w.violation("%s doesn't start: %v", next, err)
			return
		}
		w.removeTarget(current[slot])
		current[slot] = next
	}
}

// slowStages has the calls of stages take longer for a while, as under a load: streams
// that were admitted before then wait for their stages when a stop comes to its end.
func (w *testbed) slowStages(by, span time.Duration) {
	w.logf("planned: stages are slow by %v each way for %v", by, span)
	w.delayStages(by)
	time.Sleep(span)
	w.delayStages(0)
}

func (w *testbed) delayStages(by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, path := range w.relays {
		if strings.HasPrefix(name, "stage-") {
			path.Delay(relay.Both, by)
		}
	}
}

// leave has a target leave: it says so, its entry goes, then the target itself.
func (w *testbed) removeTarget(name string) {
	w.writeEntry(name, "draining")
	w.departures.Go(func() {
		if !w.waitUnlessOver(drainTime) {
			return
		}
		w.store.Delete("servers", name)
		if !w.waitUnlessOver(resultRetention) {
			return
		}
		target, path := w.target(name)
		path.Close()
		target.Close()
	})
}

// waits waits, and tells whether the run goes on.
func (w *testbed) waitUnlessOver(span time.Duration) bool {
	select {
	case <-w.over:
		return false
	case <-time.After(span):
		return true
	}
}
