package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

const (
	// cutNotice is the time from the start of a cut until the callers of the instances that are cut
	// off must be served about as often as others.
	cutNotice = 3 * time.Second
	// minCutServedShare is the least ratio of the share of requests served there to that at others,
	// if more than maxCutFailures and maxCutFailureShare of the requests there fail.
	minCutServedShare  = 2.0 / 3
	maxCutFailures     = 10
	maxCutFailureShare = 1.0 / 50
	// minCut and maxCut bound a cut, and maxOverlappingCut one beside other faults.
	minCut            = cutNotice + time.Second
	maxCut            = 8 * time.Second
	maxOverlappingCut = 3 * time.Second
	// maxFlap is the longest pause between two parts of a cut that comes and goes.
	maxFlap = time.Second
)

// targetCut is a cut of instances from all targets.
type targetCut struct {
	instances  map[string]bool
	begin, end time.Time
}

// runCuts only cuts instances from targets while callers use the fleet.
func (tb *testbed) runCuts() []callResult {
	all, calmFrom := whileInUse(tb.runCallers, func() { tb.cutInstances(time.Now().Add(tb.options.Faults), maxCut) })
	log := tb.readTargetLog()
	tb.checkResults(all, nil, log, calmFrom)
	tb.checkEndings(all, log)
	tb.checkCuts(all)
	return all
}

// cutInstances cuts instances from targets until the given time: one to all but one, from all targets or
// those of one service, for a while or coming and going. It samples from its own random source, so
// that a seed gives the same series of other faults.
func (tb *testbed) cutInstances(until time.Time, longest time.Duration) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 5<<32))
	for time.Now().Before(until) {
		order := random.Perm(len(tb.instances))
		cutOff := order[:1+random.IntN(max(len(order)-1, 1))]
		mode, modeText := relay.Hold, "held up"
		if random.IntN(2) == 0 {
			mode, modeText = relay.Break, "reset"
		}
		service := ""
		if random.IntN(4) == 0 {
			service = []string{"plain", "engine", "stage"}[random.IntN(3)]
		}
		span := randomDuration(random, min(minCut, longest/4), longest)
		flaps := random.IntN(4) == 0
		pause := randomDuration(random, 500*time.Millisecond, 2*time.Second)
		names := map[string]bool{}
		for _, n := range cutOff {
			names[tb.instances[n].name] = true
		}
		tb.logf("cut of %v from targets %q for %v, %s, coming and going: %v", names, service, span, modeText, flaps)
		begin := time.Now()
		tb.setCut(names, service, mode)
		if flaps {
			tb.flapCut(names, service, mode, begin.Add(span), random)
		}
		time.Sleep(time.Until(begin.Add(span)))
		if !flaps && service == "" {
			tb.cuts = append(tb.cuts, targetCut{names, begin, time.Now()})
		}
		tb.setCut(names, service, 0)
		time.Sleep(pause)
	}
}

// flapCut restores and renews a cut until the given time.
func (tb *testbed) flapCut(names map[string]bool, service string, mode relay.CutMode, until time.Time, random *rand.Rand) {
	for time.Now().Before(until) {
		time.Sleep(randomDuration(random, maxFlap/10, maxFlap))
		tb.setCut(names, service, 0)
		time.Sleep(randomDuration(random, maxFlap/10, maxFlap))
		tb.setCut(names, service, mode)
	}
}

// setCut cuts instances from the targets of a service, or of all if it is empty; mode 0 restores them.
func (tb *testbed) setCut(names map[string]bool, service string, mode relay.CutMode) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var affected []string
	for name := range tb.relays {
		if tb.targets[name] != nil && strings.HasPrefix(name, service) {
			affected = append(affected, name)
		}
	}
	tb.endBreakOfCut()
	tb.endBreakOfCut = func() {}
	if mode == relay.Break {
		tb.endBreakOfCut = tb.breaks.begin(affected...)
	}
	for _, name := range affected {
		path := tb.relays[name]
		for _, in := range tb.instances {
			switch {
			case !names[in.name]:
			case mode == 0:
				path.RestoreSource(in.sourceAddress)
			default:
				path.CutSource(in.sourceAddress, mode)
			}
		}
	}
}

// checkCuts checks how the callers of instances that were cut off were served, by first attempts.
func (tb *testbed) checkCuts(all []callResult) {
	for _, c := range tb.cuts {
		var sent, served [2]int
		for _, a := range all {
			if a.began.Before(c.begin.Add(cutNotice)) || a.began.After(c.end) {
				continue
			}
			group := 0
			if c.instances[a.instance] {
				group = 1
			}
			sent[group]++
			if a.status == http.StatusOK && a.complete {
				served[group]++
			}
		}
		failed := sent[1] - served[1]
		if sent[0] == 0 || float64(failed) <= maxCutFailures+maxCutFailureShare*float64(sent[1]) {
			continue
		}
		if float64(served[1])*float64(sent[0]) < minCutServedShare*float64(served[0])*float64(sent[1]) {
			tb.violation("instances that were cut off, %v, served %d of %d requests, the others %d of %d", c.instances, served[1], sent[1], served[0], sent[0])
		}
	}
}
