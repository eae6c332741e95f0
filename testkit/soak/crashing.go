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
	crashPause = 150 * time.Millisecond
	// crashedFor is how long a target is away after a crash.
	crashedFor = 700 * time.Millisecond
	// crashesAllowed is how many targets such a request may crash before it is blocked, and
	// arrivalsAfter how many more targets it may reach later than heardWithin after that.
	crashesAllowed = 3
	arrivalsAfter  = 3
	heardWithin    = 3 * time.Second
)

// crashing are the targets that such a request crashes. Others, which are also replaced,
// refuse it.
var crashing = []string{"plain-1", "plain-2", "engine-1", "engine-2"}

// canCrash has a target crash under the requests that crash targets, with the relay before
// it: nothing listens there until the target is back.
func (w *world) canCrash(name string) {
	target, path := w.target(name)
	target.SetCrashRecovery(crashedFor, func() {
		path.Refuse()
		path.Reset()
	}, func() {
		if err := path.Restore(); err != nil {
			w.breach("path %s doesn't heal after a crash: %v", name, err)
		}
		w.enter(name, "ready")
	})
}

// crashFault tells how a target serves a request that crashes targets.
func crashFault(target string) standin.Fault {
	if slices.Contains(crashing, target) {
		return standin.Crashes
	}
	return standin.Full
}

// crashCaller repeats one request that crashes targets, at instances in turn, until the
// context ends. It returns its answers.
func (w *world) crashCaller(ctx context.Context) []answer {
	c := newCaller(w, w.options.Callers)
	defer c.client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(w.options.Seed, 5<<32))
	kind := paths[random.IntN(len(paths)-1)] // the last one has stages, which targets of others make
	w.note("%s with the body %q crashes targets", kind.path, crashBody)
	for i := 0; ctx.Err() == nil; i++ {
		a := answer{id: c.nextID(), path: kind.path, once: kind.once, sent: crashBody}
		c.exchange(&a, w.instances[i%len(w.instances)])
		a.ended = time.Now()
		c.all = append(c.all, a)
		time.Sleep(crashPause)
	}
	return c.all
}

// checkCrashing looks at how many targets the request reached that crashes them, once the
// fleet was well again.
func (w *world) checkCrashing(all []answer, s seen, calmFrom time.Time) {
	var crashes, arrivals []time.Time
	for _, a := range all {
		for _, arrival := range s.arrived[a.id] {
			arrivals = append(arrivals, arrival.ReceivedAt)
			if arrival.Executed {
				crashes = append(crashes, arrival.ReceivedAt)
			}
		}
		w.checkAnswer(a, s.arrived[a.id])
	}
	slices.SortFunc(crashes, time.Time.Compare)
	w.note("%d targets crashed, %d arrivals of %d requests", len(crashes), len(arrivals), len(all))
	if len(crashes) < crashesAllowed {
		return
	}
	from := crashes[crashesAllowed-1]
	if calmFrom.After(from) {
		from = calmFrom
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(from) > heardWithin {
			late++
		}
	}
	if late > arrivalsAfter {
		w.breach("a request that crashed %d targets reached %d more", len(crashes), late)
	}
}

// isCrashing tells whether a request is the one that crashes targets.
func isCrashing(a standin.Arrival) bool { return strings.HasPrefix(a.Body, crashBody) }
