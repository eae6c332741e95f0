package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// minSilence and maxSilence bound a silence of the store. One is shorter and the other
	// longer than the leases of entries.
	minSilence = 300 * time.Millisecond
	maxSilence = 6 * time.Second
	// storeSettleTime is the time between the store's return and the removal of a target.
	// Instances must then stop sending to the target within drainTime.
	storeSettleTime = 3 * time.Second
)

// removeTargetsAfterSilences silences the store a few times, each at another point of the
// instances' watches, and removes a target after each, with or without a draining state.
// After drainTime nothing new may reach the target, which still serves: an instance that lost
// a watch in the silence without noticing would continue to send to the target.
func (tb *testbed) removeTargetsAfterSilences(times int) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 2<<32))
	services := []string{"plain", "engine", "stage"}
	for n := range times {
		name := services[random.IntN(len(services))] + "-passing-" + string(rune('a'+n))
		if err := tb.addTarget(name); err != nil {
			tb.violation("%s doesn't start: %v", name, err)
			return
		}
		time.Sleep(randomDuration(random, 500*time.Millisecond, 3*time.Second))
		span := randomDuration(random, minSilence, maxSilence)
		silent, reset := random.IntN(2) == 0, random.IntN(3) > 0
		tb.logf("the store is silent for %v, connections reset: %v, then %s leaves, without a word: %v", span, reset, name, silent)
		tb.store.SetUnresponsive(true)
		if reset {
			// Waiting calls are sent again at once, while the store is still silent.
			tb.storeHTTP.CloseClientConnections()
		}
		time.Sleep(span)
		tb.store.SetUnresponsive(false)
		time.Sleep(storeSettleTime)
		if silent {
			tb.store.Delete("servers", name)
		} else {
			tb.writeEntry(name, "draining")
		}
		time.Sleep(drainTime)
		before := tb.arrivalsAt(name)
		time.Sleep(time.Second)
		if late := tb.arrivalsAt(name) - before; late > 0 {
			tb.violation("%d arrivals at %s over %v after it left", late, name, drainTime)
		}
	}
}

// arrivalsAt counts the requests and pieces that reached a target.
func (tb *testbed) arrivalsAt(name string) int {
	t, _ := tb.target(name)
	return len(t.Arrivals()) + len(t.Pieces())
}
