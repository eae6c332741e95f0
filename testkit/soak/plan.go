package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// runPlannedWork does planned work until the given time: overlapping series of stops,
// configuration changes and replaced targets. It samples everything itself, from its own
// random sources, so that a seed gives the same series.
func (tb *testbed) runPlannedWork(until time.Time, pause time.Duration) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 0))
	var wg sync.WaitGroup
	wg.Go(func() { tb.runChanges(until, pause, rand.New(rand.NewPCG(tb.options.Seed, 1<<32))) })
	var variants variantDeck
	for time.Now().Before(until) {
		tb.maybeSlowStages(random, &wg)
		var last time.Duration
		for _, s := range tb.sampleSeries(random, &variants) {
			tb.logf("planned: %+v of %s", s.times(), s.in.name)
			last = s.offset
			wg.Go(func() {
				time.Sleep(s.offset)
				tb.runStop(s)
			})
		}
		time.Sleep(last + pause + randomDuration(random, 0, time.Second))
	}
	wg.Wait()
}

// maybeSlowStages slows down stages before about every second series, in runs of planned work
// only: otherwise the faults already disturb the paths to targets.
func (tb *testbed) maybeSlowStages(random *rand.Rand, wg *sync.WaitGroup) {
	by, ahead := randomDuration(random, maxStageDelay/2, maxStageDelay), randomDuration(random, 0, maxSlowLead)
	span := randomDuration(random, time.Second, 3*time.Second)
	if random.IntN(2) == 0 && tb.options.Planned {
		wg.Go(func() { tb.slowStages(by, span) })
		time.Sleep(ahead)
	}
}

// maxSlowLead is the longest time before a series at which stages become slow. Streams that
// arrive in between are admitted on predictions from the earlier, faster calls.
const maxSlowLead = 400 * time.Millisecond

// sampleSeries samples stops of half to all instances, one or two at a time.
func (tb *testbed) sampleSeries(random *rand.Rand, variants *variantDeck) []stop {
	order := random.Perm(len(tb.instances))
	minStops := (len(order) + 1) / 2
	order = order[:minStops+random.IntN(len(order)-minStops+1)]
	gap := randomDuration(random, 200*time.Millisecond, time.Second)
	together := 1 + random.IntN(2)
	stops := make([]stop, 0, len(order))
	for i, n := range order {
		s := sampleStop(random, variants.next(random))
		s.in, s.offset = tb.instances[n], time.Duration(i/together)*gap
		stops = append(stops, s)
	}
	return stops
}

// stopVariant is what happens together with a stop.
type stopVariant int

const (
	plainStop stopVariant = iota
	// repeatedTerm sends SIGTERM twice, settingsReload sends SIGHUP after a change of the
	// settings.
	repeatedTerm
	settingsReload
	// pausedAtDelay pauses the process at the end of the balancer delay. Each deck has
	// it three times, since whether it reveals a fault depends on chance.
	pausedAtDelay
	pausedAtDelay2
	pausedAtDelay3
	stopVariants
)

// variantDeck returns each variant before any repeats, so that short runs have all of them.
type variantDeck []int

func (d *variantDeck) next(random *rand.Rand) stopVariant {
	if len(*d) == 0 {
		*d = random.Perm(int(stopVariants))
	}
	next := (*d)[0]
	*d = (*d)[1:]
	return stopVariant(next)
}

// sampleStop samples what happens to a process around its stop.
func sampleStop(random *rand.Rand, variant stopVariant) stop {
	s := stop{downtime: randomDuration(random, 0, 300*time.Millisecond)}
	secondTermAt := randomDuration(random, time.Millisecond, 2*time.Second)
	reloadAt := randomDuration(random, 0, time.Second)
	// The balancer delay ends while the process is paused.
	pauseAt := randomDuration(random, balancerDelay-250*time.Millisecond, balancerDelay-20*time.Millisecond)
	resumeAt := randomDuration(random, balancerDelay+20*time.Millisecond, balancerDelay+200*time.Millisecond)
	earlyOffset := randomDuration(random, 0, 250*time.Millisecond)
	switch variant {
	case plainStop:
	case repeatedTerm:
		s.secondTermAt = secondTermAt
	case settingsReload:
		s.reloadAt, s.newDelay = reloadAt, balancerDelay+randomDuration(random, 0, 100*time.Millisecond)
	case pausedAtDelay, pausedAtDelay2, pausedAtDelay3:
		s.pauseAt, s.resumeAt = pauseAt, resumeAt
	}
	s.stopNextEarly, s.earlyOffset = random.IntN(5) == 0, earlyOffset
	return s
}

// randomDuration samples a duration between the bounds.
func randomDuration(random *rand.Rand, minStops, most time.Duration) time.Duration {
	return minStops + time.Duration(random.Int64N(int64(most-minStops)+1))
}
