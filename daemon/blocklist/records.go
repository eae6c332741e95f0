package blocklist

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
)

// Records is what the senders of requests to targets use of the blocklist; *Blocklist
// implements it.
type Records interface {
	// Empty reports whether there are no records, so that no request can be blocked.
	Empty() bool
	// Admit decides whether a request with the remaining time may be sent to targets.
	Admit(ctx context.Context, s quarantine.Suspects, remaining time.Duration) quarantine.Verdict
	// Judge returns the verdict by the records of this instance, without contacting others.
	Judge(s quarantine.Suspects) quarantine.Verdict
	// RecordCrash records that a target ended while it ran a request.
	RecordCrash(s quarantine.Suspects, target string)
	// RecordCompletion records that a run of a request ended without a crash of its target.
	RecordCompletion(s quarantine.Suspects)
}

// None is a Records that keeps no records.
type None struct{}

var _ Records = None{}
var _ Records = (*Blocklist)(nil)

// Empty implements Records.
func (None) Empty() bool { return true }

// Admit implements Records.
func (None) Admit(context.Context, quarantine.Suspects, time.Duration) quarantine.Verdict {
	return quarantine.Verdict{}
}

// Judge implements Records.
func (None) Judge(quarantine.Suspects) quarantine.Verdict { return quarantine.Verdict{} }

// RecordCrash implements Records.
func (None) RecordCrash(quarantine.Suspects, string) {}

// RecordCompletion implements Records.
func (None) RecordCompletion(quarantine.Suspects) {}
