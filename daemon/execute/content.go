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
	v := r.opts.Blocklist.Admit(ctx, r.content, r.job.Deadline.Sub(r.opts.Now()))
	r.trialGranted = v.State == quarantine.OnTrial
	if v.State != quarantine.Blocked {
		return nil
	}
	return r.crashFailure(r.job.Pipeline.Stages[0].Name, v)
}

// checkContent returns a failure if the job was found to crash targets since it was admitted,
// and nil otherwise.
func (r *jobRun) checkContent(step string) *Failure {
	v := r.opts.Blocklist.Judge(r.content)
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
		a.opts.Blocklist.RecordCrash(a.content, a.choice.Target.Incarnation)
	}
}
