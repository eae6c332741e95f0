package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

const (
	// crashBody begins the bodies of the requests that crash the targets which run them. crashPart is
	// a part of the prompts of those that are not alike.
	crashBody = "crash"
	crashPart = "crash"
	// crashInterval is the time between two of these requests.
	crashInterval = 150 * time.Millisecond
	// crashDowntime is how long a target is down after a crash.
	crashDowntime = 700 * time.Millisecond
	// maxCrashes is how many targets such a request may crash before it must be blocked.
	// maxLateArrivals is how often such requests may still arrive at targets once
	// blockPropagationTime has passed after that and after the fleet's recovery.
	maxCrashes           = 3
	maxLateArrivals      = 3
	blockPropagationTime = 3 * time.Second
)

// crashingTargets are the targets that such a request crashes. All others, some of which are
// replaced during the run, refuse it.
var crashingTargets = []string{"plain-1", "plain-2", "engine-1", "engine-2"}

// enableCrashes has a target crash when it runs a crash request. The relay before it refuses
// connections until the target is back.
func (tb *testbed) enableCrashes(name string) {
	target, path := tb.target(name)
	restored := func() {}
	target.SetCrashRecovery(crashDowntime, func() {
		restored = tb.breaks.begin(name)
		path.Refuse()
		path.Reset()
	}, func() {
		if err := path.Restore(); err != nil {
			tb.violation("path %s doesn't heal after a crash: %v", name, err)
		}
		restored()
		tb.writeEntry(name, "ready")
	})
}

// crashFault returns how a target serves a crash request.
func crashFault(target string) standin.Fault {
	if slices.Contains(crashingTargets, target) {
		return standin.Crashes
	}
	return standin.Full
}

// runCrashCaller sends crash requests, at the instances in turn, until the context ends: in half of
// the seeds the same one, in the others requests that share a part of their prompts, no two alike. It
// returns the results.
func (tb *testbed) runCrashCaller(ctx context.Context) []callResult {
	c := newCaller(tb, tb.options.Callers)
	defer c.client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(tb.options.Seed, 5<<32))
	kind := requestKinds[random.IntN(len(requestKinds)-1)] // the last one has stages, which run at other targets
	alike := rand.New(rand.NewPCG(tb.options.Seed, 6<<32)).IntN(2) == 0
	tb.logf("%s with the body %q crashes targets, the same each time: %v", kind.path, crashBody, alike)
	for i := 0; ctx.Err() == nil; i++ {
		a := callResult{id: c.nextID(), path: kind.path, once: kind.once, customBody: crashBody}
		if !alike {
			a.crashPart, a.customBody = crashPart, crashBody+a.id
		}
		c.send(&a, tb.instances[i%len(tb.instances)])
		a.ended = time.Now()
		c.results = append(c.results, a)
		time.Sleep(crashInterval)
	}
	return c.results
}

// checkCrashes checks how often the crash request arrived at targets after it had to be
// blocked and the fleet had recovered from the faults.
func (tb *testbed) checkCrashes(all []callResult, log targetLog, calmFrom time.Time) {
	var crashes, arrivals []time.Time
	for _, a := range all {
		for _, arrival := range log.arrivals[a.id] {
			arrivals = append(arrivals, arrival.ReceivedAt)
			if arrival.Executed {
				crashes = append(crashes, arrival.ReceivedAt)
			}
		}
		tb.checkResult(a, log.arrivals[a.id])
	}
	slices.SortFunc(crashes, time.Time.Compare)
	tb.logf("%d targets crashed, %d arrivals of %d requests", len(crashes), len(arrivals), len(all))
	if len(crashes) < maxCrashes {
		return
	}
	from := crashes[maxCrashes-1]
	if calmFrom.After(from) {
		from = calmFrom
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(from) > blockPropagationTime {
			late++
		}
	}
	if late > maxLateArrivals {
		tb.violation("a request that crashed %d targets reached %d more", len(crashes), late)
	}
}

// isCrashRequest reports whether a request is the one that crashes targets.
func isCrashRequest(a standin.Arrival) bool { return strings.HasPrefix(a.Body, crashBody) }
