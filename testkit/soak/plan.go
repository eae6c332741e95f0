package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// plan does planned work until the time is over: stops in series that overlap,
// configuration changes, and targets that are replaced. All that is drawn is drawn
// here, from a source of its own, so that a seed gives the same series.
func (w *world) plan(until time.Time, rest time.Duration) {
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var wg sync.WaitGroup
	wg.Go(func() { w.changes(until, rest, rand.New(rand.NewPCG(w.options.Seed, 1<<32))) })
	var forms deck
	for time.Now().Before(until) {
		w.maybeSlow(random, &wg)
		var last time.Duration
		for _, s := range w.series(random, &forms) {
			w.note("planned: %+v of %s", s.times(), s.in.name)
			last = s.after
			wg.Go(func() {
				time.Sleep(s.after)
				w.stop(s)
			})
		}
		time.Sleep(last + rest + between(random, 0, time.Second))
	}
	wg.Wait()
}

// maybeSlow has stages become slow before every other series, in runs of planned work
// only: elsewhere faults harm the paths to targets.
func (w *world) maybeSlow(random *rand.Rand, wg *sync.WaitGroup) {
	by, ahead := between(random, slowest/2, slowest), between(random, 0, slowAhead)
	span := between(random, time.Second, 3*time.Second)
	if random.IntN(2) == 0 && w.options.Planned {
		wg.Go(func() { w.slowStages(by, span) })
		time.Sleep(ahead)
	}
}

// slowAhead is how long at most before a series stages become slow: streams that came
// in between were admitted on the word of faster calls.
const slowAhead = 400 * time.Millisecond

// series draws stops of half to all instances, one or two at a time.
func (w *world) series(random *rand.Rand, forms *deck) []stop {
	order := random.Perm(len(w.instances))
	least := (len(order) + 1) / 2
	order = order[:least+random.IntN(len(order)-least+1)]
	gap := between(random, 200*time.Millisecond, time.Second)
	together := 1 + random.IntN(2)
	stops := make([]stop, 0, len(order))
	for i, n := range order {
		s := drawStop(random, forms.draw(random))
		s.in, s.after = w.instances[n], time.Duration(i/together)*gap
		stops = append(stops, s)
	}
	return stops
}

// form is what comes together with a stop.
type form int

const (
	bare form = iota
	// twice has SIGTERM come again, reread SIGHUP with other settings.
	twice
	reread
	// frozen has the process paused at the end of the balancer's delay, a second and a
	// third time in each deck since what it shows needs luck.
	frozen
	frozenAgain
	frozenOnceMore
	forms
)

// deck gives out each form before any comes again, so that short runs have all.
type deck []int

func (d *deck) draw(random *rand.Rand) form {
	if len(*d) == 0 {
		*d = random.Perm(int(forms))
	}
	next := (*d)[0]
	*d = (*d)[1:]
	return form(next)
}

// drawStop draws what happens to a process around its stop.
func drawStop(random *rand.Rand, f form) stop {
	s := stop{down: between(random, 0, 300*time.Millisecond)}
	again := between(random, time.Millisecond, 2*time.Second)
	hangup := between(random, 0, time.Second)
	// The end of the delay comes while the process is paused.
	freeze := between(random, balancerDelay-250*time.Millisecond, balancerDelay-20*time.Millisecond)
	thaw := between(random, balancerDelay+20*time.Millisecond, balancerDelay+200*time.Millisecond)
	earlyAfter := between(random, 0, 250*time.Millisecond)
	switch f {
	case bare:
	case twice:
		s.again = again
	case reread:
		s.hangup, s.delay = hangup, balancerDelay+between(random, 0, 100*time.Millisecond)
	case frozen, frozenAgain, frozenOnceMore:
		s.freeze, s.thaw = freeze, thaw
	}
	s.early, s.earlyAfter = random.IntN(5) == 0, earlyAfter
	return s
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}
