package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

const (
	// minTargetPause and maxTargetPause bound the pause of a target.
	minTargetPause = 900 * time.Millisecond
	maxTargetPause = 2300 * time.Millisecond
	// minPausedShare is the smallest share of the targets of a service that pause at once; the largest
	// is all of them.
	minPausedShare = 0.3
	// maxPauseOffset is the longest time by which the targets of stages pause later than the engines.
	maxPauseOffset = time.Second
	// minPauseInterval and maxPauseInterval bound the time between two pauses.
	minPauseInterval = 200 * time.Millisecond
	maxPauseInterval = 1500 * time.Millisecond
)

// pausedServices are the services whose targets pause at about the same time.
var pausedServices = [][]string{{"engine"}, {"engine", "stage"}, {"stage"}, {"plain"}}

// pauseTargets pauses targets again and again until the given time. They stop reading and writing
// while their hosts go on acknowledging. All are awake when it returns.
func (tb *testbed) pauseTargets(until time.Time) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 8<<32))
	limited := time.Now().Add(limitNotice)
	var order []int
	for time.Now().Before(until) {
		if len(order) == 0 {
			order = random.Perm(len(pausedServices)) // short runs have all of them
		}
		var wg sync.WaitGroup
		for i, service := range pausedServices[order[0]] {
			share := minPausedShare + (1-minPausedShare)*random.Float64()
			if random.IntN(2) == 0 {
				share = 1
			}
			span := randomDuration(random, minTargetPause, maxTargetPause)
			offset := time.Duration(i) * randomDuration(random, 0, maxPauseOffset)
			chosen := rand.New(rand.NewPCG(random.Uint64(), 0))
			wg.Go(func() {
				time.Sleep(offset)
				tb.pauseService(service, share, span, chosen, limited)
			})
		}
		order = order[1:]
		wg.Wait()
		time.Sleep(randomDuration(random, minPauseInterval, maxPauseInterval))
	}
}

// pauseService pauses a share of the targets of a service for the given time. In planned work it
// leaves out the target whose limit has yet to be noticed.
func (tb *testbed) pauseService(service string, share float64, span time.Duration, random *rand.Rand, limited time.Time) {
	targets := tb.targetsOf(service)
	if tb.options.Planned && time.Now().Before(limited) {
		delete(targets, limitedTarget)
	}
	names := slices.Sorted(maps.Keys(targets))
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:min(len(names), int(share*float64(len(names))+0.5))]
	tb.logf("%s: %v pause for %v", time.Now().UTC().Format("15:04:05.000"), names, span)
	end := tb.pauses.begin(names...)
	defer end()
	for _, name := range names {
		targets[name].Pause()
	}
	time.Sleep(span)
	for _, name := range names {
		targets[name].Wake()
	}
}

// targetsOf returns the targets of a service that haven't left.
func (tb *testbed) targetsOf(service string) map[string]*standin.Target {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	targets := map[string]*standin.Target{}
	for name, t := range tb.targets {
		if strings.HasPrefix(name, service+"-") && !tb.departed[name] {
			targets[name] = t
		}
	}
	return targets
}
