package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// blockedError refuses a request since it crashes targets.
type blockedError struct{ remaining time.Duration }

func (e *blockedError) Error() string { return "the request crashes targets" }

// digest returns the digest of what the request's repeats have in common. It must not be
// called before the body was read.
func (q *request) digest() quarantine.Digest {
	if q.contentDigest == nil {
		content := quarantine.DigestOf(q.route.Host, q.r.URL.RequestURI(), q.account, q.body)
		q.contentDigest = &content
	}
	return *q.contentDigest
}

// admitContent tells whether the request may be sent to a target: a *blockedError if not.
func (q *request) checkBlocklist(ctx context.Context) error {
	known := q.relay.options.Blocklist
	if known.Empty() {
		return nil
	}
	verdict := known.Judge(q.digest())
	if verdict.State == quarantine.OnTrial && !q.onTrial {
		verdict = known.Admit(ctx, q.digest(), time.Until(q.deadline))
		q.onTrial = verdict.State != quarantine.Blocked
	}
	if verdict.State == quarantine.Blocked {
		return &blockedError{verdict.Remaining}
	}
	return nil
}

// noteEnd records how the target did under an attempt that ended with err.
//
// A target that ends takes all its connections with it, and then nothing listens at its
// address. One that breaks a single answer off, or whose connection something on the way
// has reset, still listens. One that was to leave has ended as planned.
func (q *request) recordAttemptEnd(ctx context.Context, err error) {
	known := q.relay.options.Blocklist
	var f *failure
	switch {
	case err == nil, errors.As(err, &f) && f.reply != nil:
		known.RecordCompletion(q.digest())
	case f != nil && f.connectionBroken && forward.NothingListens(ctx, q.address):
		f.nothingListens = true
		if q.relay.options.InUse(q.targetName) {
			known.RecordCrash(q.digest(), q.target)
		}
	}
}

// noteStages records that stage targets ended under calls of the request, the last of them
// under one that had no pieces of others.
func (q *request) recordStageCrashes(err error) {
	var refused *stages.RefusedError
	if !errors.As(err, &refused) || refused.Reason != gather.ReasonCrashesStageTargets {
		return
	}
	for i := range gather.MaxCrashes {
		q.relay.options.Blocklist.RecordCrash(q.digest(), fmt.Sprintf("stages of %.32s, %d", q.call.ID, i+1))
	}
}
