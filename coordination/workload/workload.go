// Package workload keeps the account of the work that one target has left: the requests that one
// instance sent there, with their expected remaining times, and what is known of others' requests.
//
// The package reads no clock. An Account isn't safe for concurrent use.
package workload

import (
	"math"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
)

const (
	// Expiry is the least age at which a request whose end wasn't reported counts as ended.
	Expiry = 10 * time.Second
	// expiryTotals is the number of predicted durations after which it does: durations scatter by
	// a factor of four.
	expiryTotals = 4
	// MaxRequests bounds the requests of an account. It is many times the slots and the queue of
	// a target; further requests aren't counted.
	MaxRequests = 1024
	// minRemaining is the least remaining time of a request that hasn't ended: its end is on the way.
	minRemaining = time.Millisecond
	// maxScatter is the expected number of others' requests up to which the possible numbers are
	// weighed by their probabilities. The scatter of more doesn't matter.
	maxScatter = 32
	// minProbability is the probability that is neglected.
	minProbability = 1e-4
)

// Account holds the requests of one instance at one target. The zero value is empty.
type Account struct {
	requests []request // in the order of their starts
	last     uint64
}

// request is a request that was sent and hasn't ended.
type request struct {
	id       uint64
	sent     time.Time
	began    time.Time // zero while it waits for a slot
	estimate cost.Estimate
}

// Start records a request that is sent now to a target with so many slots. It returns its number;
// 0 if the account is full.
func (a *Account) Start(now time.Time, slots int, e cost.Estimate) uint64 {
	if len(a.requests) >= MaxRequests {
		return 0
	}
	a.last++
	r := request{id: a.last, sent: now, estimate: e}
	if len(a.requests) < max(slots, 1) {
		r.began = now
	}
	a.requests = append(a.requests, r)
	return r.id
}

// Began records that a request isn't waiting any more, since something of its response has arrived.
func (a *Account) Began(now time.Time, id uint64) {
	if i := a.index(id); i >= 0 && a.requests[i].began.IsZero() {
		a.requests[i].began = now
	}
}

// End removes a request, and returns how long it waited for others of the account. It returns false
// if the request has expired.
func (a *Account) End(now time.Time, id uint64) (wait time.Duration, ok bool) {
	i := a.index(id)
	if i < 0 {
		return 0, false
	}
	if r := a.requests[i]; !r.began.IsZero() {
		wait = r.began.Sub(r.sent)
	}
	a.remove(now, i)
	return wait, true
}

func (a *Account) index(id uint64) int {
	return slices.IndexFunc(a.requests, func(r request) bool { return r.id == id })
}

// remove removes a request. The first one that waits begins.
func (a *Account) remove(now time.Time, i int) {
	running := !a.requests[i].began.IsZero()
	a.requests = slices.Delete(a.requests, i, i+1)
	if !running {
		return
	}
	for j := range a.requests {
		if a.requests[j].began.IsZero() {
			a.requests[j].began = now
			return
		}
	}
}

// Expire removes the requests whose ends are overdue, and returns how many they were.
func (a *Account) Expire(now time.Time) (expired int) {
	for i := len(a.requests) - 1; i >= 0; i-- {
		r := &a.requests[i]
		if now.Sub(r.sent) > max(Expiry, expiryTotals*r.estimate.Total) {
			a.remove(now, i)
			expired++
		}
	}
	return expired
}

// Clone returns an independent copy.
func (a *Account) Clone() Account { return Account{requests: slices.Clone(a.requests), last: a.last} }

// Len returns the number of requests.
func (a *Account) Len() int { return len(a.requests) }

// Others is what is known of the requests at the target that the account doesn't hold.
type Others struct {
	// Known is the number of those that are there, Expected the mean of those that may have come
	// since: it is taken to scatter as independent arrivals do.
	Known, Expected float64
	// Remaining and Memory are the means of one request.
	Remaining time.Duration
	Memory    float64
}

// OthersSince returns what is known from a count of so many requests at the target, of that age,
// while the mean count of all targets of its pool was mean. Those of the count end as time goes
// by, and as many come, at all targets alike.
func OthersSince(age time.Duration, count, mean float64, remaining time.Duration) Others {
	kept := math.Exp(-max(age, 0).Seconds() / max(remaining, minRemaining).Seconds())
	return Others{Known: count * kept, Expected: mean * (1 - kept), Remaining: remaining}
}

// Work is the work that a target has left.
type Work struct {
	// Running and Waiting count the account's requests.
	Running, Waiting int
	// Left is the expected remaining time of all of them on one slot, OwnMemory what they need.
	Left      time.Duration
	OwnMemory float64
	// Memory is what the requests of others need too.
	Memory float64

	rate    float64 // expected ends a second of those that run
	waiting float64 // seconds of work of those that wait
	others  Others
	slots   int
}

// Work returns the work that the target has left.
func (a *Account) Work(now time.Time, slots int, o Others) Work {
	w := Work{others: o, slots: max(slots, 1)}
	for i := range a.requests {
		r := &a.requests[i]
		w.OwnMemory += r.estimate.Memory
		if r.began.IsZero() {
			w.Waiting++
			w.waiting += r.estimate.Mean().Seconds()
			w.Left += r.estimate.Mean()
			continue
		}
		remaining := max(r.estimate.Remaining(now.Sub(r.began)), minRemaining)
		w.Running++
		w.rate += 1 / remaining.Seconds()
		w.Left += remaining
	}
	w.Memory = w.OwnMemory + (o.Known+o.Expected)*o.Memory
	return w
}

// Wait returns the expected wait of a new request for a slot: nothing while one is free.
func (w Work) Wait() time.Duration {
	if w.others.Expected > maxScatter {
		return seconds(w.waitWithKnown(w.others.Expected))
	}
	wait, left := 0.0, 1.0
	p := math.Exp(-w.others.Expected)
	for n := 0.0; left > minProbability; n++ {
		wait += p * w.waitWithKnown(n)
		left -= p
		p *= w.others.Expected / (n + 1)
	}
	return seconds(wait)
}

// waitWithKnown returns the wait in seconds if n requests have come beside those that are known,
// whose number need not be whole.
func (w *Work) waitWithKnown(n float64) float64 {
	low, share := math.Modf(w.others.Known + n)
	if share == 0 {
		return w.waitWith(low)
	}
	return (1-share)*w.waitWith(low) + share*w.waitWith(low+1)
}

// waitWith returns the wait in seconds if there are n requests of others.
func (w *Work) waitWith(n float64) float64 {
	slots := float64(w.slots)
	present := float64(w.Running+w.Waiting) + n
	if present < slots {
		return 0
	}
	// The times until the ends of those that run count as exponential: their rates add up.
	other := max(w.others.Remaining, minRemaining).Seconds()
	running := min(n, max(slots-float64(w.Running), 0))
	rate := w.rate + running/other
	if float64(w.Running) > slots {
		rate *= slots / float64(w.Running)
	}
	queued := w.waiting + (n-running)*other
	return 1/rate + queued/slots
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
