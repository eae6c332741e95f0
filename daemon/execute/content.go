package execute

import (
	"context"
	"errors"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// errCrashesTargets is the cause of a failure with ReasonCrashes.
var errCrashesTargets = errors.New("the request crashes targets")

// admitContent refuses a job that crashes targets before any stage runs.
func (r *jobRun) admitContent(ctx context.Context) *Failure {
	if r.opts.Blocklist.Empty() {
		return nil
	}
	v := r.opts.Blocklist.Admit(ctx, r.suspects, r.job.Deadline.Sub(r.opts.Now()))
	r.trialGranted = v.State == quarantine.OnTrial
	if v.State != quarantine.Blocked {
		return nil
	}
	return r.crashFailure(r.job.Pipeline.Stages[0].Name, v)
}

// suspectsOf returns what of a job may be the cause if a target crashes: the whole job, and the shared
// parts of its prompt at each pool that reads them.
func suspectsOf(job *Job) quarantine.Suspects {
	s := quarantine.Suspects{Request: quarantine.DigestOf("", job.Pipeline.Key.Name, job.Account, []byte(job.Input))}
	for i := range job.Pipeline.Stages {
		if stage := &job.Pipeline.Stages[i]; stage.MaxTokens > 0 {
			s.Parts = append(s.Parts, partDigests(stage.Pool, job.Prefix)...)
		}
	}
	return s
}

// partDigests returns the digests of a prompt's shared parts, as a pool reads them.
func partDigests(pool string, prefix []Part) []quarantine.Digest {
	var digests []quarantine.Digest
	for _, part := range prefix {
		digests = append(digests, quarantine.DigestOfPart(pool, part.ID))
	}
	return digests
}

// crashSuspects returns what may have crashed the target of the attempt.
func (a *attempt) crashSuspects() quarantine.Suspects {
	return quarantine.Suspects{Request: a.suspects.Request, Parts: partDigests(a.stage.Pool, a.prefix())}
}

// checkContent returns a failure if the job was found to crash targets since it was admitted,
// and nil otherwise.
func (r *jobRun) checkContent(step string) *Failure {
	v := r.opts.Blocklist.Judge(r.suspects)
	if v.State == quarantine.Allowed || v.State == quarantine.OnTrial && r.trialGranted {
		return nil
	}
	return r.crashFailure(step, v)
}

func (r *jobRun) crashFailure(step string, v quarantine.Verdict) *Failure {
	return &Failure{Reason: ReasonCrashes, Step: step, RetryAfter: v.Remaining, Cause: errCrashesTargets}
}

// recordCrash records that the target crashed during the attempt, if it broke the connection
// and nothing listens at its address any more.
func (a *attempt) recordCrash(ctx context.Context, err error) {
	var failed *target.AttemptError
	if !errors.As(err, &failed) || failed.Outcome != target.Unknown || a.opts.NothingListens == nil {
		return
	}
	broken := failed.Reason == target.ReasonReset || failed.Reason == target.ReasonTruncated
	if broken && a.opts.NothingListens(ctx, failed.Peer) {
		a.opts.Blocklist.RecordCrash(a.crashSuspects(), a.choice.Target.Incarnation)
	}
}
