package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Accounts shares what targets accept between client accounts, and counts what became of their
// requests. *accountshares.Shares implements it.
type Accounts interface {
	// Ask decides whether a request without stages may be sent for the first time.
	Ask(r accountlimit.Request) accountlimit.Verdict
	// Peek returns what Ask would decide, and records nothing.
	Peek(r accountlimit.Request) accountlimit.Verdict
	// Sent records a send of such a request, Rejected that its target rejected it, and NotSent
	// that it came to nothing for another reason.
	Sent(service string)
	Rejected(service string)
	NotSent(service string)
	// Ended records the end of any request.
	Ended(o accountstats.Outcome)
}

// reasonAccountShare is the reason for refusing a request beyond the share of its account.
const reasonAccountShare = "account_share"

// sharesTargets reports whether the request takes part in the sharing of what targets accept.
func (q *request) sharesTargets() bool {
	return q.relay.options.Accounts != nil && q.route != nil && len(q.route.Stages) == 0
}

// checkShare refuses a request beyond the share of its account. It returns false if it has sent that
// response. A stream of which the caller has a part is not refused.
func (q *request) checkShare() bool {
	verdict := q.judgeShare()
	if verdict.Refused {
		q.refuse(reasonAccountShare, verdict.RetryAfter)
	}
	return !verdict.Refused
}

func (q *request) judgeShare() accountlimit.Verdict {
	if !q.sharesTargets() || q.call.ResumeAfter != "" {
		return accountlimit.Verdict{}
	}
	judge := q.relay.options.Accounts.Ask
	if q.hypothetical {
		judge = q.relay.options.Accounts.Peek
	}
	return judge(accountlimit.Request{Service: q.service, Account: q.account, Priority: q.priority})
}

// recordSend records the start of an attempt.
func (q *request) recordSend() {
	if q.sharesTargets() {
		q.relay.options.Accounts.Sent(q.service)
	}
}

// recordSendEnd records the end of an attempt. An attempt that may have run counts as accepted, and a
// process that has another target's address rejects nothing.
func (q *request) recordSendEnd(a *attempt, outcome routing.Outcome, err error) {
	var f *failure
	switch {
	case !q.sharesTargets() || !errors.As(err, &f) || !f.notRun:
	case outcome == routing.OutcomeNotRun && !a.head.parsed.WrongTarget:
		q.relay.options.Accounts.Rejected(q.service)
	default:
		q.relay.options.Accounts.NotSent(q.service)
	}
}

// recordOutcome records the end of the request for its account.
func (q *request) recordOutcome(status int) {
	if q.relay.options.Accounts == nil || q.service == "" {
		return
	}
	o := accountstats.Outcome{Service: q.service, Account: q.account, Served: status != 0 && q.reason == "", Waited: q.timings.stagesWait + q.timings.grantWait}
	responded := time.Now()
	if status == http.StatusServiceUnavailable && q.reason != "" {
		o.Refused, o.Waited = q.reason, responded.Sub(q.arrived)
	} else {
		if !q.timings.firstEventAt.IsZero() {
			responded = q.timings.firstEventAt
		}
		o.Late = q.route.LatencyObjective > 0 && responded.After(q.objective)
	}
	q.relay.options.Accounts.Ended(o)
}

// loggedAccount returns the account for the log; empty if accounts don't share.
func (q *request) loggedAccount() string {
	if q.relay.options.Accounts == nil {
		return ""
	}
	return q.account
}
