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
	troubleLeast = time.Second
	troubleMost  = 3 * time.Second
	troubleRest  = time.Second
	// faultyLeast and faultyMost bound one in how many requests meets faults then.
	faultyLeast = 2
	faultyMost  = 6
	// wellAgain is one in how many targets after the first serve such a request well.
	wellAgain = 3
)

// conduct is how targets serve: single ones badly, or all engines at once.
type conduct struct {
	seed uint64

	mu sync.Mutex
	// alone are the faults of targets that misbehave by themselves, by name.
	alone map[string]func() standin.Fault
	// every is one in how many requests meets faults at the engines; 0 for none.
	every int
	// met are the faults that each request met at engines, in turn.
	met map[string][]standin.Fault
}

func newConduct(seed uint64) *conduct {
	return &conduct{seed: seed, alone: map[string]func() standin.Fault{}, met: map[string][]standin.Fault{}}
}

// fault tells how a target serves a request.
func (c *conduct) fault(target string, a standin.Arrival) standin.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isCrashing(a) {
		return crashFault(target)
	}
	fault := standin.NoFault
	if alone := c.alone[target]; alone != nil {
		fault = alone()
	}
	if !strings.HasPrefix(target, "engine-") {
		return fault
	}
	if fault == standin.NoFault && c.every > 0 {
		fault = c.draw(a, len(c.met[a.ID]))
	}
	c.met[a.ID] = append(c.met[a.ID], fault)
	return fault
}

// draw chooses the fault that a request meets at the target after so many others. It
// depends on the seed and the request alone, not on the order in which requests come.
func (c *conduct) draw(a standin.Arrival, others int) standin.Fault {
	id := fnv.New64a()
	_, _ = id.Write([]byte(a.ID)) // a hash takes all
	random := rand.New(rand.NewPCG(c.seed, id.Sum64()))
	if random.IntN(c.every) > 0 {
		return standin.NoFault
	}
	faults := streamFaults
	if random.IntN(2) == 0 {
		faults = breakFaults
	}
	fault := faults[random.IntN(len(faults))]
	for range others {
		fault = streamFaults[random.IntN(len(streamFaults))]
		if random.IntN(wellAgain) == 0 {
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
func (c *conduct) misbehave(target string, fault func() standin.Fault) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alone[target] = fault
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.alone, target)
	}
}

// trouble has one in so many requests meet faults at all engines; 0 ends it.
func (c *conduct) trouble(every int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.every = every
}

// faults returns what a request met at engines, in turn.
func (c *conduct) faults(id string) []standin.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.met[id])
}

// troubleEngines has all engines misbehave at once, again and again until the time is
// over, so that a stream meets one fault at its first target and another at its second.
func (w *world) troubleEngines(until time.Time) {
	random := rand.New(rand.NewPCG(w.options.Seed, 3<<32))
	for time.Now().Before(until) {
		every := faultyLeast + random.IntN(faultyMost-faultyLeast+1)
		span := between(random, troubleLeast, troubleMost)
		w.note("engines misbehave for %v, one request in %d", span, every)
		w.conduct.trouble(every)
		time.Sleep(min(span, time.Until(until)))
		w.conduct.trouble(0)
		time.Sleep(between(random, 0, troubleRest))
	}
}
