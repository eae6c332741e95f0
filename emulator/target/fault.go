package target

import (
	"math/rand/v2"
	"sync"
)

// FaultKind names one way to misbehave.
type FaultKind string

// The faults. Those that concern an answer work on streams and on JSON alike
// unless said otherwise.
const (
	// FaultStraggler multiplies the time of all work by Factor.
	FaultStraggler FaultKind = "straggler"
	// FaultGrey answers 500 after the whole work.
	FaultGrey FaultKind = "grey"
	// FaultFailFast answers 500 before any work and does not say Not-Run.
	FaultFailFast FaultKind = "fail_fast"
	// FaultTruncate ends the answer in the middle and closes the connection.
	FaultTruncate FaultKind = "truncate"
	// FaultGarble answers something that can't be parsed.
	FaultGarble FaultKind = "garble"
	// FaultDuplicate gives the answer once more, in place of the answer to the
	// next call on the connection; in a stream it sends each event twice.
	FaultDuplicate FaultKind = "duplicate"
	// FaultCrossed answers with the id of another attempt.
	FaultCrossed FaultKind = "crossed"
	// FaultLost runs the call and closes the connection without an answer.
	FaultLost FaultKind = "lost"
	// FaultLate holds the answer back for DelayMS after the work.
	FaultLate FaultKind = "late"
	// FaultReset resets the connection after AfterTokens tokens of a stream,
	// or in place of an answer that is not streamed.
	FaultReset FaultKind = "reset"
	// FaultSilent accepts the call, runs nothing and never answers.
	FaultSilent FaultKind = "silent"
	// FaultCrash closes the connection in the middle of the event that follows
	// AfterTokens tokens of a stream, or in place of an answer.
	FaultCrash FaultKind = "crash"
)

func (k FaultKind) valid() bool {
	switch k {
	case FaultStraggler, FaultGrey, FaultFailFast, FaultTruncate, FaultGarble, FaultDuplicate,
		FaultCrossed, FaultLost, FaultLate, FaultReset, FaultSilent, FaultCrash:
		return true
	default:
		return false
	}
}

// Fault is one fault in force.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Share of the calls that it hits, 0 to 1; 0 means all of them.
	Share float64 `json:"share,omitempty"`
	// Limit is how many calls it hits at most; 0 means no limit.
	Limit int `json:"limit,omitempty"`
	// Factor belongs to FaultStraggler.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS belongs to FaultLate, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// AfterTokens belongs to FaultReset and FaultCrash.
	AfterTokens int `json:"after_tokens,omitempty"`
}

// faultSet holds the faults in force.
type faultSet struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults []Fault
	hits   []int
}

func newFaultSet(seed uint64) *faultSet {
	return &faultSet{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (s *faultSet) set(faults []Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append([]Fault(nil), faults...)
	s.hits = make([]int, len(faults))
}
func (s *faultSet) list() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fault{}, s.faults...)
}

// draw returns the faults that hit the next call.
func (s *faultSet) sample() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := callFaults{}
	for i, fault := range s.faults {
		if fault.Limit > 0 && s.hits[i] >= fault.Limit {
			continue
		}
		if fault.Share > 0 && s.rng.Float64() >= fault.Share {
			continue
		}
		s.hits[i]++
		drawn[fault.Kind] = fault
	}
	return drawn
}

// callFaults are the faults that hit one call.
type callFaults map[FaultKind]Fault

func (f callFaults) has(kind FaultKind) bool {
	_, ok := f[kind]
	return ok
}
