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

// streamFaults are the faults that an engine may inject into a stream.
var streamFaults = []standin.Fault{
	standin.Full, standin.Fails, standin.Silent, standin.Truncates, standin.Resets, standin.Unsigned,
	standin.StrayResponse, standin.Unframed, standin.InputsMissing, standin.NoContent, standin.RestartsStream, standin.SecondResponse,
	standin.EmptyStream, standin.TruncatesEnd, standin.UnnumberedThenTruncates, standin.CommentsThenTruncates, standin.EmptyUnframedStream,
}

// breakFaults spoil a stream after its first bytes: they truncate it or append a second
// response. Half of the first faults are sampled from these: the retry budget lets few requests
// be resumed, and only these faults lead to a resume in the middle of a response.
var breakFaults = []standin.Fault{standin.Truncates, standin.TruncatesEnd, standin.CommentsThenTruncates, standin.SecondResponse}

const (
	// minEngineFaultTime and maxEngineFaultTime bound a period in which all engines inject
	// faults, and maxEngineFaultPause the time until the next period.
	minEngineFaultTime  = time.Second
	maxEngineFaultTime  = 3 * time.Second
	maxEngineFaultPause = time.Second
	// In such a period one request in N meets faults; minFaultOneIn and maxFaultOneIn bound N.
	minFaultOneIn = 2
	maxFaultOneIn = 6
	// One in recoveredOneIn targets after the first serves such a request without a fault.
	recoveredOneIn = 3
)

// faultInjector decides with which faults targets serve requests: single targets may inject
// faults, or all engines at once.
type faultInjector struct {
	seed uint64

	mu sync.Mutex
	// targetFaults holds, by target name, the function that chooses the faults of each target
	// that injectAt makes inject faults.
	targetFaults map[string]func() standin.Fault
	// oneIn is N if one in N requests meets faults at the engines; 0 for none.
	oneIn int
	// injected holds, by request id, the faults that each request met at targets, in order.
	injected map[string][]standin.Fault
	// refusedOn holds the connections that have carried a refusal that the target has not repeated.
	refusedOn map[targetConnection]bool
}

// targetConnection identifies a connection of a target.
type targetConnection struct{ target, connection string }

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{seed: seed, targetFaults: map[string]func() standin.Fault{}, injected: map[string][]standin.Fault{}, refusedOn: map[targetConnection]bool{}}
}

// nextFault returns the fault with which a target serves a request.
func (f *faultInjector) nextFault(target string, a standin.Arrival) standin.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isCrashRequest(a) {
		return crashFault(target)
	}
	fault := standin.NoFault
	if targetFault := f.targetFaults[target]; targetFault != nil {
		fault = targetFault()
	}
	if fault == standin.NoFault && f.oneIn > 0 && strings.HasPrefix(target, "engine-") {
		fault = f.sample(a, len(f.injected[a.ID]))
	}
	f.injected[a.ID] = append(f.injected[a.ID], fault)
	return fault
}

// nextFaultOnConnection returns the fault of nextFault. If there is none and the connection has carried a
// refusal, the target repeats it.
func (f *faultInjector) nextFaultOnConnection(target string, a standin.Arrival) standin.Fault {
	fault := f.nextFault(target, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := targetConnection{target, a.Connection}
	switch {
	case fault == standin.Full, fault == standin.InputsMissing:
		f.refusedOn[c] = true
	case fault == standin.NoFault && f.refusedOn[c] && !isCrashRequest(a):
		delete(f.refusedOn, c)
		fault = standin.RepeatsRefusal
		injected := f.injected[a.ID]
		injected[len(injected)-1] = fault
	}
	return fault
}

// sample chooses the fault that a request meets at its next target, after the given number of
// other targets. At a given rate the choice depends only on the seed and the request, not on
// the order in which requests arrive.
func (f *faultInjector) sample(a standin.Arrival, others int) standin.Fault {
	id := fnv.New64a()
	_, _ = id.Write([]byte(a.ID)) // hash writes never fail
	random := rand.New(rand.NewPCG(f.seed, id.Sum64()))
	if random.IntN(f.oneIn) > 0 {
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
		// After an event, EmptyStream is the valid response of a target that has no events left.
		return standin.EmptyUnframedStream
	}
	return fault
}

// injectAt makes one target inject faults until the returned function is called.
func (f *faultInjector) injectAt(target string, fault func() standin.Fault) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targetFaults[target] = fault
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.targetFaults, target)
	}
}

// setRate makes one in oneIn requests meet faults at all engines; 0 ends this.
func (f *faultInjector) setRate(oneIn int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oneIn = oneIn
}

// injectedInto returns the faults that a request met at targets, in order.
func (f *faultInjector) injectedInto(id string) []standin.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.injected[id])
}

// injectEngineFaults repeatedly makes all engines inject faults at once until the given time, so
// that a stream meets one fault at its first target and another at its second.
func (tb *testbed) injectEngineFaults(until time.Time) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 3<<32))
	for time.Now().Before(until) {
		oneIn := minFaultOneIn + random.IntN(maxFaultOneIn-minFaultOneIn+1)
		span := randomDuration(random, minEngineFaultTime, maxEngineFaultTime)
		tb.logf("engines misbehave for %v, one request in %d", span, oneIn)
		tb.injector.setRate(oneIn)
		time.Sleep(min(span, time.Until(until)))
		tb.injector.setRate(0)
		time.Sleep(randomDuration(random, 0, maxEngineFaultPause))
	}
}
