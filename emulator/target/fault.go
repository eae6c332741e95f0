package target

import (
	"math/rand/v2"
	"sync"
)

// FaultKind names one kind of fault.
type FaultKind string

// Kinds of faults. Those of the response apply to streams and to JSON unless stated
// otherwise.
const (
	// FaultStraggler multiplies the time of all work by Factor.
	FaultStraggler FaultKind = "straggler"
	// FaultGrey responds with 500 after all work is done.
	FaultGrey FaultKind = "grey"
	// FaultFailFast responds with 500 before any work, without the Not-Run header.
	FaultFailFast FaultKind = "fail_fast"
	// FaultTruncate sends half of a JSON body and closes the connection. A stream
	// ends in the middle of its last event, and its HTTP body is complete.
	FaultTruncate FaultKind = "truncate"
	// FaultGarble replaces the response's JSON with text that can't be parsed.
	FaultGarble FaultKind = "garble"
	// FaultDuplicate sends the response again in place of the response to the next
	// call on the connection; in a stream it sends each event twice.
	FaultDuplicate FaultKind = "duplicate"
	// FaultCrossed responds with the id of another attempt.
	FaultCrossed FaultKind = "crossed"
	// FaultLost runs the call and closes the connection without a response.
	FaultLost FaultKind = "lost"
	// FaultLate delays the response by DelayMS after the work.
	FaultLate FaultKind = "late"
	// FaultReset resets the connection after AfterTokens tokens of a stream, or in
	// place of a JSON response.
	FaultReset FaultKind = "reset"
	// FaultSilent accepts the call, runs nothing and never responds.
	FaultSilent FaultKind = "silent"
	// FaultCrash closes the connection in the middle of the event that follows
	// AfterTokens tokens of a stream, or in place of a JSON response.
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
	// Share is the share of calls affected, 0 to 1; 0 means all calls.
	Share float64 `json:"share,omitempty"`
	// Limit is the maximum number of calls affected; 0 means no limit.
	Limit int `json:"limit,omitempty"`
	// Factor is the factor of FaultStraggler.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is the delay of FaultLate in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// AfterTokens is the number of tokens that FaultReset and FaultCrash let pass.
	AfterTokens int `json:"after_tokens,omitempty"`
}

// faultSet holds the faults in force and the number of calls that each affected.
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

// sample returns the faults that affect the next call.
func (s *faultSet) sample() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	sampled := callFaults{}
	for i, fault := range s.faults {
		if fault.Limit > 0 && s.hits[i] >= fault.Limit {
			continue
		}
		if fault.Share > 0 && s.rng.Float64() >= fault.Share {
			continue
		}
		s.hits[i]++
		sampled[fault.Kind] = fault
	}
	return sampled
}

// callFaults holds the faults that affect one call, by kind.
type callFaults map[FaultKind]Fault

func (f callFaults) has(kind FaultKind) bool {
	_, ok := f[kind]
	return ok
}
