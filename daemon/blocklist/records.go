package blocklist

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
)

// Records are what those need who send requests to targets. *Blocklist is one.
type Records interface {
	// Empty tells whether no request can be blocked.
	Empty() bool
	// Admit tells whether a request may be sent to targets, within left.
	Admit(ctx context.Context, digest quarantine.Digest, left time.Duration) quarantine.Verdict
	// Judge tells what is known of a request here, without a word to other instances.
	Judge(digest quarantine.Digest) quarantine.Verdict
	// Crashed records that a target ended under a request.
	RecordCrash(digest quarantine.Digest, target string)
	// EndedWell records that a target ran a request to an end of its own.
	RecordCompletion(digest quarantine.Digest)
}

// None are records without any, which keep none.
type None struct{}

var _ Records = None{}
var _ Records = (*Blocklist)(nil)

// Empty implements Records.
func (None) Empty() bool { return true }

// Admit implements Records.
func (None) Admit(context.Context, quarantine.Digest, time.Duration) quarantine.Verdict {
	return quarantine.Verdict{}
}

// Judge implements Records.
func (None) Judge(quarantine.Digest) quarantine.Verdict { return quarantine.Verdict{} }

// Crashed implements Records.
func (None) RecordCrash(quarantine.Digest, string) {}

// EndedWell implements Records.
func (None) RecordCompletion(quarantine.Digest) {}
