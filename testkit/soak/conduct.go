package soak

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// streamFaults are what a stream may meet at an engine.
var streamFaults = []standin.Fault{
	standin.Full, standin.Fails, standin.Silent, standin.Truncates, standin.Resets, standin.Unsigned,
	standin.StrayResponse, standin.Unframed, standin.InputsMissing, standin.NoContent, standin.RestartsStream, standin.SecondResponse,
	standin.EmptyStream, standin.TruncatesEnd, standin.UnnumberedThenTruncates, standin.CommentsThenTruncates, standin.EmptyUnframedStream,
}

// breakFaults break a stream off whose caller has a part of it. Half of the first faults are
// of these: the budget of repeats lets few requests go on, and only these go on in the
// middle of an answer.
var breakFaults = []standin.Fault{standin.Truncates, standin.TruncatesEnd, standin.CommentsThenTruncates, standin.SecondResponse}

const (
	// troubleLeast and troubleMost bound a span in which all engines misbehave, and
	// troubleRest the time to the next.
	minEngineFaultTime  = time.Second
	maxEngineFaultTime  = 3 * time.Second
	maxEngineFaultPause = time.Second
	// faultyLeast and faultyMost bound one in how many requests meets faults then.
	minFaultOneIn = 2
	maxFaultOneIn = 6
	// wellAgain is one in how many targets after the first serve such a request well.
	recoveredOneIn = 3
)

// conduct is how targets serve: single ones badly, or all engines at once.
type faultInjector struct {
	seed uint64

	mu sync.Mutex
	// alone are the faults of targets that misbehave by themselves, by name.
	targetFaults map[string]func() standin.Fault
	// every is one in how many requests meets faults at the engines; 0 for none.
	oneIn int
	// met are the faults that each request met at engines, in turn.
	injected map[string][]standin.Fault
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{seed: seed, targetFaults: map[string]func() standin.Fault{}, injected: map[string][]standin.Fault{}}
}

// fault tells how a target serves a request.
func (c *faultInjector) nextFault(target string, a standin.Arrival) standin.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isCrashRequest(a) {
		return crashFault(target)
	}
	fault := standin.NoFault
	if alone := c.targetFaults[target]; alone != nil {
		fault = alone()
	}
	if !strings.HasPrefix(target, "engine-") {
		return fault
	}
	if fault == standin.NoFault && c.oneIn > 0 {
		fault = c.sample(a, len(c.injected[a.ID]))
	}
	c.injected[a.ID] = append(c.injected[a.ID], fault)
	return fault
}

// draw chooses the fault that a request meets at the target after so many others. It
// depends on the seed and the request alone, not on the order in which requests come.
func (c *faultInjector) sample(a standin.Arrival, others int) standin.Fault {
	id := fnv.New64a()
	_, _ = id.Write([]byte(a.ID)) // a hash takes all
	random := rand.New(rand.NewPCG(c.seed, id.Sum64()))
	if random.IntN(c.oneIn) > 0 {
		return standin.NoFault
	}
	faults := streamFaults
	if random.IntN(2) == 0 {
		faults = breakFaults
	}
	fault := faults[random.IntN(len(faults))]
	for range others {
		fault = streamFaults[random.IntN(len(streamFaults))]
		if random.IntN(recoveredOneIn) == 0 {
			fault = standin.NoFault
		}
	}
	if fault == standin.EmptyStream && a.ResumesAfter() != "" {
		// Behind an event this is the whole answer of a target that has nothing left.
		return standin.EmptyUnframedStream
	}
	return fault
}

// misbehave has one target misbehave until the function that it returns is called.
func (c *faultInjector) injectAt(target string, fault func() standin.Fault) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetFaults[target] = fault
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.targetFaults, target)
	}
}

// trouble has one in so many requests meet faults at all engines; 0 ends it.
func (c *faultInjector) setRate(every int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oneIn = every
}

// faults returns what a request met at engines, in turn.
func (c *faultInjector) injectedInto(id string) []standin.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.injected[id])
}

// troubleEngines has all engines misbehave at once, again and again until the time is
// over, so that a stream meets one fault at its first target and another at its second.
func (w *testbed) injectEngineFaults(until time.Time) {
	random := rand.New(rand.NewPCG(w.options.Seed, 3<<32))
	for time.Now().Before(until) {
		every := minFaultOneIn + random.IntN(maxFaultOneIn-minFaultOneIn+1)
		span := randomDuration(random, minEngineFaultTime, maxEngineFaultTime)
		w.logf("engines misbehave for %v, one request in %d", span, every)
		w.injector.setRate(every)
		time.Sleep(min(span, time.Until(until)))
		w.injector.setRate(0)
		time.Sleep(randomDuration(random, 0, maxEngineFaultPause))
	}
}
