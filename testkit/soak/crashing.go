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
	// crashBody is the body of the requests that crash the targets which run them.
	crashBody = "crash"
	// crashPause is the time between two of them.
	crashInterval = 150 * time.Millisecond
	// crashedFor is how long a target is away after a crash.
	crashDowntime = 700 * time.Millisecond
	// crashesAllowed is how many targets such a request may crash before it is blocked, and
	// arrivalsAfter how many more targets it may reach later than heardWithin after that.
	maxCrashes           = 3
	maxLateArrivals      = 3
	blockPropagationTime = 3 * time.Second
)

// crashing are the targets that such a request crashes. Others, which are also replaced,
// refuse it.
var crashingTargets = []string{"plain-1", "plain-2", "engine-1", "engine-2"}

// canCrash has a target crash under the requests that crash targets, with the relay before
// it: nothing listens there until the target is back.
func (w *testbed) enableCrashes(name string) {
	target, path := w.target(name)
	target.SetCrashRecovery(crashDowntime, func() {
		path.Refuse()
		path.Reset()
	}, func() {
		if err := path.Restore(); err != nil {
			w.violation("path %s doesn't heal after a crash: %v", name, err)
		}
		w.writeEntry(name, "ready")
	})
}

// crashFault tells how a target serves a request that crashes targets.
func crashFault(target string) standin.Fault {
	if slices.Contains(crashingTargets, target) {
		return standin.Crashes
	}
	return standin.Full
}

// crashCaller repeats one request that crashes targets, at instances in turn, until the
// context ends. It returns its answers.
func (w *testbed) runCrashCaller(ctx context.Context) []callResult {
	c := newCaller(w, w.options.Callers)
	defer c.client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(w.options.Seed, 5<<32))
	kind := requestKinds[random.IntN(len(requestKinds)-1)] // the last one has stages, which targets of others make
	w.logf("%s with the body %q crashes targets", kind.path, crashBody)
	for i := 0; ctx.Err() == nil; i++ {
		a := callResult{id: c.nextID(), path: kind.path, once: kind.once, customBody: crashBody}
		c.send(&a, w.instances[i%len(w.instances)])
		a.ended = time.Now()
		c.results = append(c.results, a)
		time.Sleep(crashInterval)
	}
	return c.results
}

// checkCrashing looks at how many targets the request reached that crashes them, once the
// fleet was well again.
func (w *testbed) checkCrashes(all []callResult, s targetLog, calmFrom time.Time) {
	var crashes, arrivals []time.Time
	for _, a := range all {
		for _, arrival := range s.arrivals[a.id] {
			arrivals = append(arrivals, arrival.ReceivedAt)
			if arrival.Executed {
				crashes = append(crashes, arrival.ReceivedAt)
			}
		}
		w.checkResult(a, s.arrivals[a.id])
	}
	slices.SortFunc(crashes, time.Time.Compare)
	w.logf("%d targets crashed, %d arrivals of %d requests", len(crashes), len(arrivals), len(all))
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
		w.violation("a request that crashed %d targets reached %d more", len(crashes), late)
	}
}

// isCrashing tells whether a request is the one that crashes targets.
func isCrashRequest(a standin.Arrival) bool { return strings.HasPrefix(a.Body, crashBody) }
