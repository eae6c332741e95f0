package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
)

// blockedError refuses a request because it, or a part of its prompt, crashes targets.
type blockedError struct{ verdict quarantine.Verdict }

func (e *blockedError) Error() string {
	if e.verdict.Part {
		return "the prompt's part " + e.verdict.Digest.String() + " crashes targets"
	}
	return "the request crashes targets"
}

// digest returns the digest of what the retries of the request have in common. It must not
// be called before the body has been read.
func (q *request) digest() quarantine.Digest {
	if q.contentDigest == nil {
		content := quarantine.DigestOf(q.route.Host, q.r.URL.RequestURI(), q.account, q.body)
		q.contentDigest = &content
	}
	return *q.contentDigest
}

// sharedParts returns the digests of the parts of the prompt that other requests may have too:
// all but the last, which belongs to the request itself or to its session.
func (q *request) sharedParts() []quarantine.Digest {
	var digests []quarantine.Digest
	for _, part := range q.call.Prefix[:max(len(q.call.Prefix)-1, 0)] {
		if digest := quarantine.DigestOfPart(q.service, part.ID); !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// suspects returns what may be the cause if a target crashes under the request. It must not be called
// before the body has been read and the service is known.
func (q *request) suspects() quarantine.Suspects {
	if q.knownSuspects == nil {
		q.knownSuspects = &quarantine.Suspects{Request: q.digest(), Parts: q.sharedParts()}
	}
	return *q.knownSuspects
}

// checkBlocklist returns a *blockedError if the request must not be sent to a target.
func (q *request) checkBlocklist(ctx context.Context) error {
	records := q.relay.options.Blocklist
	if records.Empty() {
		return nil
	}
	verdict := records.Judge(q.suspects())
	if verdict.State == quarantine.OnTrial && !q.onTrial {
		verdict = records.Admit(ctx, q.suspects(), time.Until(q.deadline))
		q.onTrial = verdict.State != quarantine.Blocked
	}
	if verdict.State == quarantine.Blocked {
		return &blockedError{verdict}
	}
	return nil
}

// blocked reports whether a request with these suspects must not be sent, by the records of this
// instance. onTrial is true if the request is the one run that is allowed.
func (s *Relay) blocked(suspects quarantine.Suspects, onTrial bool) bool {
	state := s.options.Blocklist.Judge(suspects).State
	return state == quarantine.Blocked || state == quarantine.OnTrial && !onTrial
}

// recordAttemptEnd records in the blocklist whether the target survived an attempt that ended
// with err.
//
// A target that crashes closes all its connections, and then nothing listens at its address.
// A target still listens if it breaks off a single response or if a connection to it was
// reset on the way. The end of a target that was leaving was planned, so it isn't a crash.
func (q *request) recordAttemptEnd(ctx context.Context, a *attempt, err error) {
	records := q.relay.options.Blocklist
	var f *failure
	switch {
	case err == nil, errors.As(err, &f) && f.reply != nil:
		records.RecordCompletion(q.clearedBy(a))
	case f != nil && f.connectionBroken && len(q.open) > 0:
		suspects, holder := q.suspects(), cmp.Or(q.owner, a.grantedBy)
		go func() {
			// The check takes longer than the caller may wait for the events of another attempt.
			if q.relay.options.Client.NothingListens(context.WithoutCancel(ctx), a.target.Address) {
				q.relay.recordCrash(suspects, a.target)
				q.relay.reportUnreachable(holder, a.target)
			}
		}()
	case f != nil && f.connectionBroken && q.relay.options.Client.NothingListens(ctx, a.target.Address):
		f.nothingListens = true
		q.relay.recordCrash(q.suspects(), a.target)
	}
}

// clearedBy returns the suspects that an attempt shows not to crash targets. A target that reports an
// error may not have come to the prompt.
func (q *request) clearedBy(a *attempt) quarantine.Suspects {
	if a.head.status/100 != http.StatusOK/100 {
		return quarantine.Suspects{Request: q.digest()}
	}
	return q.suspects()
}

// recordCrash records that a target at whose address nothing listens ended under a request, unless
// it was leaving.
func (s *Relay) recordCrash(suspects quarantine.Suspects, t routing.Target) {
	if s.options.OnEnded != nil {
		s.options.OnEnded(t.Incarnation)
	}
	if s.options.InUse(t.Name) {
		s.options.Blocklist.RecordCrash(suspects, t.Incarnation)
	}
}

// recordStageCrashes records that stage targets crashed under calls of the request. The last
// of those calls had no pieces of other requests.
func (q *request) recordStageCrashes(err error) {
	var refused *stages.RefusedError
	if !errors.As(err, &refused) || refused.Reason != gather.ReasonCrashesStageTargets {
		return
	}
	for i := range gather.MaxCrashes {
		q.relay.options.Blocklist.RecordCrash(quarantine.Suspects{Request: q.digest()}, fmt.Sprintf("stages of %.32s, %d", q.call.ID, i+1))
	}
}
