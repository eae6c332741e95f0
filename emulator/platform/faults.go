package platform

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// Failure is a way in which a call fails without a proper response.
type Failure string

// Kinds of failures.
const (
	FailNone Failure = ""
	// FailRefuse responds with 503 before any effect.
	FailRefuse Failure = "refuse"
	// FailReset closes the connection without a response.
	FailReset Failure = "reset"
	// FailSilence never responds.
	FailSilence Failure = "silence"
)

// Faults describes the faults in force; the zero value has none.
type Faults struct {
	// Instances limits all faults except DropHistory to calls of these instances;
	// empty means all.
	Instances []string `json:"instances,omitempty"`
	// Calls limits Down and LatencyMS to these kinds of calls; empty means all.
	Calls []CallKind `json:"calls,omitempty"`
	// LatencyMS is the delay of each call before its effect, in milliseconds.
	LatencyMS int `json:"latency_ms,omitempty"`
	// Down fails each call before any effect.
	Down Failure `json:"down,omitempty"`
	// LoseWrites loses the responses to the given number of next writes, LoseShare
	// the responses to a share of the writes after them. These writes take effect at
	// once, or after ApplyAfterMS.
	LoseWrites   int     `json:"lose_writes,omitempty"`
	LoseShare    float64 `json:"lose_share,omitempty"`
	ApplyAfterMS int     `json:"apply_after_ms,omitempty"`
	// LoseBy is FailReset, the default, or FailSilence.
	LoseBy Failure `json:"lose_by,omitempty"`
	// StaleBy makes reads stale by the given number of revisions.
	StaleBy uint64 `json:"stale_by,omitempty"`
	// MuteWatches withholds all events from watches, SkipEvents only the given number
	// of next events.
	MuteWatches bool `json:"mute_watches,omitempty"`
	SkipEvents  int  `json:"skip_events,omitempty"`
	// DropHistory drops the history of changes once, when the faults are set.
	DropHistory bool `json:"drop_history,omitempty"`
}

// affects reports whether the faults, apart from DropHistory, apply to calls of the
// instance.
func (f *Faults) affects(instance string) bool {
	return len(f.Instances) == 0 || slices.Contains(f.Instances, instance)
}

// covers reports whether Down and LatencyMS apply to the kind of call.
func (f *Faults) covers(kind CallKind) bool {
	return len(f.Calls) == 0 || slices.Contains(f.Calls, kind)
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.DropHistory {
		s.table.dropHistory()
		f.DropHistory = false
	}
	s.faults = f
	s.table.notify()
}

// Faults returns the faults in force, with the remaining numbers of LoseWrites and
// SkipEvents.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// injectBefore applies the faults before the effect of a call: it delays the call
// and returns how it fails.
func (s *Store) injectBefore(ctx context.Context, instance string, kind CallKind) Failure {
	faults := s.Faults()
	if !faults.affects(instance) || !faults.covers(kind) {
		return FailNone
	}
	if faults.LatencyMS > 0 && !s.sleep(ctx, milliseconds(faults.LatencyMS)) {
		return FailReset
	}
	return faults.Down
}

// asCallFailure returns the result of a call that fails before any effect.
func asCallFailure(failure Failure) *callFailure {
	switch failure {
	case FailNone:
		return nil
	case FailRefuse:
		return &callFailure{refusal: refuse(http.StatusServiceUnavailable, "platform is down")}
	default:
		return &callFailure{failure: failure}
	}
}

// sampleLoss returns how the response to a write is lost, if it is, and the delay of
// the write's effect. The caller must hold s.mu.
func (s *Store) sampleLoss(instance string) (Failure, time.Duration) {
	f := &s.faults
	if !f.affects(instance) {
		return FailNone, 0
	}
	switch {
	case f.LoseWrites > 0:
		f.LoseWrites--
	case f.LoseShare > 0 && s.rand.Float64() < f.LoseShare:
	default:
		return FailNone, 0
	}
	failure := f.LoseBy
	if failure == FailNone {
		failure = FailReset
	}
	return failure, milliseconds(f.ApplyAfterMS)
}

// sleep waits for d and returns false if ctx ends first.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	due := make(chan struct{})
	s.options.AfterFunc(d, func() { close(due) })
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
