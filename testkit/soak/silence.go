package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// silenceLeast and silenceMost bound a silence of the store: shorter and longer than
	// the leases of entries.
	minSilence = 300 * time.Millisecond
	maxSilence = 6 * time.Second
	// settledAfter is the time after the store's return from which on what leaves gets
	// nothing new within its bound.
	storeSettleTime = 3 * time.Second
)

// leaveAfterSilences has the store be silent a few times, each at another point of the
// instances' watches, and a target leave after each, with a word or without one. Nothing
// new may reach it after its bound, though it would serve: instances that lost a watch in
// the silence, and don't notice, go on sending to it.
func (w *testbed) removeTargetsAfterSilences(times int) {
	random := rand.New(rand.NewPCG(w.options.Seed, 2<<32))
	services := []string{"plain", "engine", "stage"}
	for n := range times {
		name := services[random.IntN(len(services))] + "-passing-" + string(rune('a'+n))
		if err := w.addTarget(name); err != nil {
			w.violation("%s doesn't start: %v", name, err)
			return
		}
		time.Sleep(randomDuration(random, 500*time.Millisecond, 3*time.Second))
		span := randomDuration(random, minSilence, maxSilence)
		silent, reset := random.IntN(2) == 0, random.IntN(3) > 0
		w.logf("the store is silent for %v, connections reset: %v, then %s leaves, without a word: %v", span, reset, name, silent)
		w.store.SetUnresponsive(true)
		if reset {
			// What waits is sent again at once, into the silence.
			w.storeHTTP.CloseClientConnections()
		}
		time.Sleep(span)
		w.store.SetUnresponsive(false)
		time.Sleep(storeSettleTime)
		if silent {
			w.store.Delete("servers", name)
		} else {
			w.writeEntry(name, "draining")
		}
		time.Sleep(drainTime)
		before := w.arrivalsAt(name)
		time.Sleep(time.Second)
		if late := w.arrivalsAt(name) - before; late > 0 {
			w.violation("%d arrivals at %s over %v after it left", late, name, drainTime)
		}
	}
}

// reached counts the requests and the pieces that reached a target.
func (w *testbed) arrivalsAt(name string) int {
	t, _ := w.target(name)
	return len(t.Arrivals()) + len(t.Pieces())
}
