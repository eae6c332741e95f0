// Package outcome decides what may be promised about the work of a request that got no complete
// response: that it did not run, that it ran, or that neither is known.
package outcome

import "sync"

// Verdict states what is known about the work of a request.
type Verdict int

// The verdicts, from the strongest promise to none.
const (
	// NotRun promises that no stage was started and none ever will be.
	NotRun Verdict = iota
	// Ran means that some stage is known to have started.
	Ran
	// Unknown means that the result of at least one attempt that was sent is not known.
	Unknown
)

// Ledger records the attempts of one request and their results.
//
// It prevents a false NotRun: an attempt is recorded before its first byte is sent, and counts
// as Unknown until a response settles it. A crash of the attempt's goroutine, a timeout or a
// code path that doesn't call Settle can therefore only weaken the promise, never create a
// false one. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	open    int
	unknown int
	ran     int
	sealed  bool
}

// Dispatch records an attempt before it is sent. It returns false if the ledger is sealed: the
// request has its final response, so no further attempt may be sent.
func (l *Ledger) Dispatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sealed {
		return false
	}
	l.open++
	return true
}

// Settle records the result of an attempt that was recorded by Dispatch.
func (l *Ledger) Settle(v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	switch v {
	case Ran:
		l.ran++
	case Unknown:
		l.unknown++
	}
}

// Seal ends the request and returns what may be promised. Attempts without a result count as
// Unknown.
//
// Without the seal a hedge could be sent after NotRun was returned to the caller, who would
// then run the work again elsewhere while the hedge starts it.
func (l *Ledger) Seal() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sealed = true
	return l.verdict()
}

func (l *Ledger) verdict() Verdict {
	if l.open > 0 || l.unknown > 0 {
		return Unknown
	}
	if l.ran > 0 {
		return Ran
	}
	return NotRun
}
