package platform

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// Failure is the way in which a call gets no proper answer.
type Failure string

// Ways to fail.
const (
	FailNone Failure = ""
	// FailRefuse answers 503 before any effect.
	FailRefuse Failure = "refuse"
	// FailReset closes the connection without an answer.
	FailReset Failure = "reset"
	// FailSilence never answers.
	FailSilence Failure = "silence"
)

// Faults are the faults in force; the zero value has none.
type Faults struct {
	// Instances limits the faults below to these callers; empty means all.
	Instances []string `json:"instances,omitempty"`
	// Calls limits Down and Latency to these calls; empty means all.
	Calls []CallKind `json:"calls,omitempty"`
	// LatencyMS delays each call before its effect, in milliseconds.
	LatencyMS int `json:"latency_ms,omitempty"`
	// Down fails each call before any effect.
	Down Failure `json:"down,omitempty"`
	// LoseWrites loses the answers of that many next writes, LoseShare that of
	// a share of the others. The effect comes before, or after ApplyAfterMS.
	LoseWrites   int     `json:"lose_writes,omitempty"`
	LoseShare    float64 `json:"lose_share,omitempty"`
	ApplyAfterMS int     `json:"apply_after_ms,omitempty"`
	// LoseBy is FailReset, the default, or FailSilence.
	LoseBy Failure `json:"lose_by,omitempty"`
	// StaleBy answers reads from that many revisions ago.
	StaleBy uint64 `json:"stale_by,omitempty"`
	// MuteWatches answers watches without their events, SkipEvents leaves out
	// that many next events.
	MuteWatches bool `json:"mute_watches,omitempty"`
	SkipEvents  int  `json:"skip_events,omitempty"`
	// DropHistory forgets the changes once, when the faults are set.
	DropHistory bool `json:"drop_history,omitempty"`
}

func (f *Faults) affects(instance string) bool {
	return len(f.Instances) == 0 || slices.Contains(f.Instances, instance)
}

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

// Faults returns the faults in force; counted ones show what is left.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// gate delays or fails a call before its effect.
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

// down turns a way to fail before any effect into the end of the call.
func asCallFailure(how Failure) *callFailure {
	switch how {
	case FailNone:
		return nil
	case FailRefuse:
		return &callFailure{refusal: refuse(http.StatusServiceUnavailable, "platform is down")}
	default:
		return &callFailure{failure: how}
	}
}

// loss says whether the answer of a write gets lost and how late its effect is.
// The caller holds s.mu.
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
	how := f.LoseBy
	if how == FailNone {
		how = FailReset
	}
	return how, milliseconds(f.ApplyAfterMS)
}

// sleep returns false when ctx ends first.
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
