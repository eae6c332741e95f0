package execute

import (
	"context"
	"errors"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// errCrashes is the cause of a failure with ReasonCrashes.
var errCrashes = errors.New("the request crashes targets")

// admitContent refuses a job that crashes targets, before it costs a stage.
func (r *run) admitContent(ctx context.Context) *Failure {
	if r.opts.Blocklist.Empty() {
		return nil
	}
	v := r.opts.Blocklist.Admit(ctx, r.content, r.job.Deadline.Sub(r.opts.Now()))
	r.onTrial = v.State == quarantine.OnTrial
	if v.State != quarantine.Blocked {
		return nil
	}
	return r.crashes(r.job.Pipeline.Stages[0].Name, v)
}

// contentBlocked is the failure of a job that was found to crash targets since it was
// admitted; nil if it wasn't.
func (r *run) contentBlocked(step string) *Failure {
	v := r.opts.Blocklist.Judge(r.content)
	if v.State == quarantine.Allowed || v.State == quarantine.OnTrial && r.onTrial {
		return nil
	}
	return r.crashes(step, v)
}

func (r *run) crashes(step string, v quarantine.Verdict) *Failure {
	return &Failure{Reason: ReasonCrashes, Step: step, RetryAfter: v.Remaining, Cause: errCrashes}
}

// noteCrash records a target that ended under the attempt: it broke the connection, and
// nothing listens at its address.
func (a *attempt) noteCrash(ctx context.Context, err error) {
	var failed *target.AttemptError
	if !errors.As(err, &failed) || failed.Outcome != target.Unknown || a.opts.NothingListens == nil {
		return
	}
	broken := failed.Reason == target.ReasonReset || failed.Reason == target.ReasonTruncated
	if broken && a.opts.NothingListens(ctx, failed.Peer) {
		a.opts.Blocklist.RecordCrash(a.content, a.choice.Target.Incarnation)
	}
}
