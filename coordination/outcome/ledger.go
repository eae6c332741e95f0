// Package outcome decides what may be said about the work behind a request
// that could not be answered whole: that it did not run, that it ran, or that
// nobody can know.
package outcome

import "sync"

// Verdict says what became of the work behind a request.
type Verdict int

// The verdicts, from the strongest promise to none.
const (
	// NotRun is a promise: no stage was started, and none ever will be.
	NotRun Verdict = iota
	// Ran means that some stage is known to have started.
	Ran
	// Unknown means that some attempt left and no answer tells its fate.
	Unknown
)

// Ledger keeps the fate of every attempt of one request.
//
// It guards against a false "not run": an attempt is entered before its first
// byte may leave, and counts as unknown until an answer settles it. A crash of
// the attempt's goroutine, a timeout or a forgotten path therefore can only
// weaken the promise, never invent one. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	open    int
	unknown int
	ran     int
	sealed  bool
}

// Dispatch enters an attempt before it is sent. It returns false once the
// ledger is sealed: the request has had its final answer, so nothing may leave
// any more.
func (l *Ledger) Dispatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sealed {
		return false
	}
	l.open++
	return true
}

// Settle enters the fate of an attempt entered by Dispatch.
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

// Seal ends the request and returns what may be promised. Attempts still open
// count as unknown.
//
// Without the seal a hedge could leave after "not run" was written: the caller
// would run the work again elsewhere while this one starts.
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
