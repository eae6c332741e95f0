package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// drainedDataCentre is the data centre that is drained. Of each service it has one target,
	// which other faults don't affect.
	drainedDataCentre = "y"
	// drainBound is the time from the request of a drain until nothing may reach the data centre.
	drainBound = 5 * time.Second
	// minDrain and maxDrain bound the time of a drain beside other work, and maxDrainPause the
	// time until the next one.
	minDrain, maxDrain = 200 * time.Millisecond, 2500 * time.Millisecond
	maxDrainPause      = 2 * time.Second
)

// Rates of requests a second that engines bear when they are cold, and the limit that follows
// from them with the instances' settings. Planned work has many callers.
const (
	coldRate        = 60
	coldRatePlanned = 200
	coldOverage     = 1.5
	coldSlack       = 5
)

func (tb *testbed) coldRate() float64 {
	if tb.options.Planned {
		return coldRatePlanned
	}
	return coldRate
}

// dataCentre returns the data centre of a target.
func dataCentre(name string) string {
	if slices.Contains(replaceable, name) || strings.Contains(name, "-new-") {
		return drainedDataCentre
	}
	return "x"
}

// runDrains drains the data centre again and again until the given time.
func (tb *testbed) runDrains(until time.Time) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 6<<32))
	for time.Now().Before(until) {
		time.Sleep(randomDuration(random, 0, maxDrainPause))
		span := randomDuration(random, minDrain, maxDrain)
		tb.logf("planned: a data centre is drained for %v", span)
		tb.store.Put("evacuations", drainedDataCentre, map[string]any{})
		time.Sleep(span)
		tb.store.Delete("evacuations", drainedDataCentre)
	}
}

// checkDrain drains the data centre when nothing else is disturbed. Once drainBound has passed
// nothing may reach its targets.
func (tb *testbed) checkDrain() {
	tb.store.Put("evacuations", drainedDataCentre, map[string]any{})
	time.Sleep(drainBound)
	before := tb.arrivalsInDrained()
	time.Sleep(time.Second)
	if late := tb.arrivalsInDrained() - before; late > 0 {
		tb.violation("%d arrivals in a data centre over %v after its drain", late, drainBound)
	}
	tb.store.Delete("evacuations", drainedDataCentre)
}

func (tb *testbed) arrivalsInDrained() int {
	tb.mu.Lock()
	var names []string
	for name := range tb.targets {
		if dataCentre(name) == drainedDataCentre {
			names = append(names, name)
		}
	}
	tb.mu.Unlock()
	total := 0
	for _, name := range names {
		total += tb.arrivalsAt(name)
	}
	return total
}

// checkColdLimit checks that no engine got more requests in any second than it bears when cold.
// It leaves out the engines whose paths are disturbed: what is held up there arrives together.
func (tb *testbed) checkColdLimit() {
	limit := tb.coldRate()*coldOverage + coldSlack
	for name, target := range tb.targets {
		if name != "engine-3" && !strings.HasPrefix(name, "engine-new-") {
			continue
		}
		var times []time.Time
		for _, a := range target.Arrivals() {
			times = append(times, a.HostReceivedAt)
		}
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > limit {
				tb.violation("%s got %d requests in a second, %v allowed", name, n, limit)
				break
			}
		}
	}
}
