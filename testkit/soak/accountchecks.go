package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// maxAccountDeficit is by how much less often than the large account a small one may be served in overloads.
	maxAccountDeficit = 1.0 / 5
	// minAccountCalls is the number of requests of a small account from which its share is checked: one
	// request is then less than a tenth of maxAccountDeficit of them.
	minAccountCalls = 10
	// settleTime is how long after the last request everything must have been given back. Targets keep
	// results for four seconds.
	settleTime = 4 * time.Second
	// settlePoll is the time between two looks.
	settlePoll = 50 * time.Millisecond
)

// AccountCounts counts the requests of an account, with their retries.
type AccountCounts struct {
	Account, Service string
	// Sent and Served are those of overloads, Refused the ones among them whose first try was refused, Back
	// those that came back and BackServed the ones served then.
	Sent, Served, Refused, Back, BackServed int
	// QuietSent and QuietServed are those of the overload before the faults.
	QuietSent, QuietServed int
	// CalmSent and CalmServed are those after the faults.
	CalmSent, CalmServed int
}

// checkAccounts checks how often each account was served in overloads and after the faults.
func (tb *testbed) checkAccounts(calls []accountCall, calmFrom time.Time) []AccountCounts {
	var counts []AccountCounts
	for _, service := range []string{"plain", "staged"} {
		large := tb.countAccount(calls, largeAccount, service, calmFrom)
		counts = append(counts, large)
		for _, account := range smallAccounts {
			small := tb.countAccount(calls, account, service, calmFrom)
			counts = append(counts, small)
			tb.checkShare(small, small.Sent, small.Served, large.Sent, large.Served, "overloads")
			tb.checkShare(small, small.QuietSent, small.QuietServed, large.QuietSent, large.QuietServed, "an overload without faults")
		}
	}
	for _, n := range counts {
		if n.CalmSent == 0 || share(n.CalmServed, n.CalmSent) < minServedShare {
			tb.violation("%s is served %d of %d requests of service %s after the faults", n.Account, n.CalmServed, n.CalmSent, n.Service)
		}
	}
	return counts
}

// checkShare checks how often a small account was served in comparison with the large one.
func (tb *testbed) checkShare(small AccountCounts, sent, served, largeSent, largeServed int, when string) {
	if sent >= minAccountCalls && share(served, sent) < (1-maxAccountDeficit)*share(largeServed, largeSent) {
		tb.violation("%s is served %d of %d requests of service %s in %s, %s %d of %d",
			small.Account, served, sent, small.Service, when, largeAccount, largeServed, largeSent)
	}
}

func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

// countAccount counts the requests of an account to a service.
func (tb *testbed) countAccount(calls []accountCall, account, service string, calmFrom time.Time) AccountCounts {
	n := AccountCounts{Account: account, Service: service}
	for i := range calls {
		c := &calls[i]
		first := c.tries[0]
		if c.account != account || strings.HasPrefix(first.path, "/stream") != (service == "staged") {
			continue
		}
		served := 0
		if c.served() {
			served = 1
		}
		if first.began.After(calmFrom) {
			if served == 0 {
				tb.logf("not served after the faults: %s", c.describe())
			}
			n.CalmSent++
			n.CalmServed += served
		}
		if !tb.overload.at(first.began) {
			continue
		}
		n.Sent++
		n.Served += served
		if tb.overload.quiet(first.began) {
			n.QuietSent++
			n.QuietServed += served
		}
		if first.refused() {
			n.Refused++
		}
		if len(c.tries) > 1 {
			n.Back++
			n.BackServed += served
		}
	}
	return n
}

// describe lists the tries of a request.
func (c *accountCall) describe() string {
	var text []string
	for _, a := range c.tries {
		text = append(text, fmt.Sprintf("%s %s at %s, %s, status %d, complete: %v, Retry-After %v, %q", a.path, a.id, a.instance,
			a.began.UTC().Format("15:04:05.000"), a.status, a.complete, a.retryAfter, a.body))
	}
	return c.account + ": " + strings.Join(text, "; ")
}

// checkRefusals checks that each refusal names a time to come back.
func (tb *testbed) checkRefusals(all []callResult) {
	for _, a := range all {
		if a.refused() && a.retryAfter <= 0 {
			tb.violation("%s %s of %s was refused with status %d without a time to come back: %q", a.path, a.id, a.account, a.status, a.body)
		}
	}
}

// awaitNothingLeft waits until targets hold no request, and no result of those made after the faults that
// hasn't been given back.
func (tb *testbed) awaitNothingLeft(calmFrom time.Time) {
	until := time.Now().Add(settleTime)
	for {
		inFlight, kept := tb.countLeft(calmFrom)
		if inFlight == 0 && kept == 0 {
			return
		}
		if time.Now().After(until) {
			tb.violation("%v after the last request targets hold %d requests and calls, and %d results that weren't given back", settleTime, inFlight, kept)
			return
		}
		time.Sleep(settlePoll)
	}
}

// countLeft counts the requests and calls that targets hold, and the results made after the faults that
// weren't given back.
func (tb *testbed) countLeft(calmFrom time.Time) (inFlight, kept int) {
	for _, service := range []string{"plain", "engine", "stage"} {
		for _, target := range tb.targetsOf(service) {
			inFlight += target.InFlight()
			freed := map[string]bool{}
			for _, handle := range target.Freed() {
				freed[handle] = true
			}
			for handle, p := range target.Results() {
				if p.ReceivedAt.After(calmFrom) && !freed[handle] {
					kept++
				}
			}
		}
	}
	return inFlight, kept
}
