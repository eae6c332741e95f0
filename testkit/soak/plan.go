package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// plan does planned work until the time is over: stops in series that overlap,
// configuration changes, and targets that are replaced. All that is drawn is drawn
// here, from a source of its own, so that a seed gives the same series.
func (w *testbed) runPlannedWork(until time.Time, rest time.Duration) {
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var wg sync.WaitGroup
	wg.Go(func() { w.runChanges(until, rest, rand.New(rand.NewPCG(w.options.Seed, 1<<32))) })
	var forms variantDeck
	for time.Now().Before(until) {
		w.maybeSlowStages(random, &wg)
		var last time.Duration
		for _, s := range w.sampleSeries(random, &forms) {
			w.logf("planned: %+v of %s", s.times(), s.in.name)
			last = s.offset
			wg.Go(func() {
				time.Sleep(s.offset)
				w.runStop(s)
			})
		}
		time.Sleep(last + rest + randomDuration(random, 0, time.Second))
	}
	wg.Wait()
}

// maybeSlow has stages become slow before every other series, in runs of planned work
// only: elsewhere faults harm the paths to targets.
func (w *testbed) maybeSlowStages(random *rand.Rand, wg *sync.WaitGroup) {
	by, ahead := randomDuration(random, maxStageDelay/2, maxStageDelay), randomDuration(random, 0, maxSlowLead)
	span := randomDuration(random, time.Second, 3*time.Second)
	if random.IntN(2) == 0 && w.options.Planned {
		wg.Go(func() { w.slowStages(by, span) })
		time.Sleep(ahead)
	}
}

// slowAhead is how long at most before a series stages become slow: streams that came
// in between were admitted on the word of faster calls.
const maxSlowLead = 400 * time.Millisecond

// series draws stops of half to all instances, one or two at a time.
func (w *testbed) sampleSeries(random *rand.Rand, forms *variantDeck) []stop {
	order := random.Perm(len(w.instances))
	least := (len(order) + 1) / 2
	order = order[:least+random.IntN(len(order)-least+1)]
	gap := randomDuration(random, 200*time.Millisecond, time.Second)
	together := 1 + random.IntN(2)
	stops := make([]stop, 0, len(order))
	for i, n := range order {
		s := sampleStop(random, forms.next(random))
		s.in, s.offset = w.instances[n], time.Duration(i/together)*gap
		stops = append(stops, s)
	}
	return stops
}

// form is what comes together with a stop.
type stopVariant int

const (
	plainStop stopVariant = iota
	// twice has SIGTERM come again, reread SIGHUP with other settings.
	repeatedTerm
	settingsReload
	// frozen has the process paused at the end of the balancer's delay, a second and a
	// third time in each deck since what it shows needs luck.
	pausedAtDelay
	pausedAtDelay2
	pausedAtDelay3
	stopVariants
)

// deck gives out each form before any comes again, so that short runs have all.
type variantDeck []int

func (d *variantDeck) next(random *rand.Rand) stopVariant {
	if len(*d) == 0 {
		*d = random.Perm(int(stopVariants))
	}
	next := (*d)[0]
	*d = (*d)[1:]
	return stopVariant(next)
}

// drawStop draws what happens to a process around its stop.
func sampleStop(random *rand.Rand, f stopVariant) stop {
	s := stop{downtime: randomDuration(random, 0, 300*time.Millisecond)}
	again := randomDuration(random, time.Millisecond, 2*time.Second)
	hangup := randomDuration(random, 0, time.Second)
	// The end of the delay comes while the process is paused.
	freeze := randomDuration(random, balancerDelay-250*time.Millisecond, balancerDelay-20*time.Millisecond)
	thaw := randomDuration(random, balancerDelay+20*time.Millisecond, balancerDelay+200*time.Millisecond)
	earlyAfter := randomDuration(random, 0, 250*time.Millisecond)
	switch f {
	case plainStop:
	case repeatedTerm:
		s.secondTermAt = again
	case settingsReload:
		s.reloadAt, s.newDelay = hangup, balancerDelay+randomDuration(random, 0, 100*time.Millisecond)
	case pausedAtDelay, pausedAtDelay2, pausedAtDelay3:
		s.pauseAt, s.resumeAt = freeze, thaw
	}
	s.stopNextEarly, s.earlyOffset = random.IntN(5) == 0, earlyAfter
	return s
}

// between draws a time.
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}
