// Package accountlimit decides which requests an instance refuses while the targets of a service
// reject work, so that client accounts share what the targets accept.
//
// It uses only what the instance sees itself: the requests of each account, its sends, and the
// rejections of targets. While targets reject, the instance limits what it sends to a multiple of
// what they accepted lately; the multiple rises while they reject nothing. Within a priority, accounts divide that by weighted max-min fairness; what is left after
// the more urgent priorities goes to the others. Nothing is limited while targets accept all.
//
// Limiter is a pure state machine: time is an argument. It is not safe for concurrent use.
package accountlimit

import (
	"math"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/fairshare"
)

const (
	// halfLife is the half-life of the rates. The half of a request that a small account sends in
	// it shows that the account is small; with a longer one the limit would follow the capacity
	// of targets too late.
	halfLife = 1500 * time.Millisecond
	// acceptMultiple is what is sent just after a rejection, as a multiple of what targets accept.
	// Below 1 the queues of targets become shorter, which leaves room for the accounts within
	// their shares. With 1.05, targets reject twice as many of their requests.
	acceptMultiple = 0.90
	// quietSends is the number of sends without a rejection after which the multiple rises, and
	// doublingSends that in which it then doubles, so that capacity which has risen again is found.
	// A rejection ends the rise. About one in twenty sends is rejected in a lasting overload.
	quietSends, doublingSends = 20, 80
	// The times that these sends take count as at least and at most so long: longer ones would
	// leave capacity unused after an outage. Where hardly anything was accepted, there is nothing
	// to protect, and the least times apply.
	minQuiet, maxQuiet       = 500 * time.Millisecond, 2 * time.Second
	minDoubling, maxDoubling = time.Second, 4 * time.Second
	// probeRate is sent in any case, in requests a second. It finds targets again that rejected
	// everything.
	probeRate = 0.5
	// fallenDemand is the part of the demand at the latest rejection below which the overload is over.
	// What was accepted of the greater demand then doesn't show what there is room for, least of all
	// if targets were out of service for a part of it. The multiple rises from minQuiet on and doubles
	// in fallenDoubling: the few sends that the limit leaves would find the room after seconds.
	fallenDemand   = 0.5
	fallenDoubling = 500 * time.Millisecond
	// priorAsked and priorAccepted are what counts as asked and accepted before the first
	// rejection. What was sent until then has filled the queues of targets, and doesn't show
	// what they work; without a prior, the first responses alone would decide.
	priorAsked, priorAccepted = 15, 7.5
	// forgetTime is the time without a rejection after which nothing is limited. While targets
	// are full, instances hear of it more often; a longer time would refuse requests that targets
	// have room for after an overload.
	forgetTime = 5 * time.Second
	// cutTime is how long the less urgent priorities must have been left nothing before a priority is
	// limited itself. Targets need it to work off what waits there, and other instances to notice.
	cutTime = 2 * time.Second
	// cutRejections is the share of sends that targets must reject in that time. Other instances may still
	// send less urgent requests, which this one can't see. In plays these have a tenth of the sends
	// rejected. A priority that asks for a third more than the targets work has a quarter rejected.
	cutRejections = 0.25
	// minCutSends is the number of sends that it is a share of at least. With 20, bursts had a priority
	// that fits limited in 4 of 500 plays.
	minCutSends = 30
	// minRejections is the decaying number of rejections at which the limit begins. Single ones
	// come from a burst that has filled the queues for a moment.
	minRejections = 3
	// beginShare is the share of sends that must be rejected for the limit to begin. Where it is
	// less, single targets reject, such as one that stops, and another one takes the requests.
	// keepShare is the share below which a rejection doesn't keep the limit from rising: less than
	// the limit itself leaves in a lasting overload.
	beginShare, keepShare = 0.05, 0.02
	// levelInterval is the interval at which the shares are computed again. The rates change
	// little in it, and a computation takes the time of many requests if there are many accounts.
	levelInterval = 20 * time.Millisecond
	// maxRetryAfter limits the retry delay. The rates that it follows from have changed by then.
	maxRetryAfter = 5 * time.Second
	// heldTime is how long after its last refusal an account counts as held to its share.
	heldTime = 2 * time.Second
	// priorities is the number of priorities that are kept apart. Less urgent ones count as the
	// last of them.
	priorities = 10
	// maxServices and maxAccounts (of one service and priority) limit what is kept. Both are far
	// above what configurations have.
	maxServices, maxAccounts = 256, 1024
)

// Request is a request that is about to be sent for the first time.
type Request struct {
	Service, Account string
	Priority         int
}

// Verdict says whether a request may be sent.
type Verdict struct {
	Refused bool
	// RetryAfter is the delay until the account's share has room, for a refused request.
	RetryAfter time.Duration
}

// Limiter limits what one instance sends.
type Limiter struct {
	weights  map[string]float64
	services map[string]*service
}

// New returns a limiter. Accounts without a weight have the weight 1.
func New(weights map[string]float64) *Limiter {
	return &Limiter{weights: weights, services: map[string]*service{}}
}

// service is what is known of one service.
type service struct {
	// demands are the rates at which accounts ask, by priority; nil if none did.
	demands [priorities]*fairshare.Rates
	// asked are all requests and accepted what was sent less what was rejected, both since the
	// limit began. The ratio of two rates of the same age is right also
	// while both are far from settled.
	asked, accepted meter
	// sent and rejections are all sends and rejections.
	sent, rejections meter
	lastRejection    time.Time
	// accepts is what targets accepted, in requests a second, at the last rejection. rejected is
	// true if there was one since it was computed.
	accepts  float64
	rejected bool
	// demand is what all accounts asked for at that rejection, in requests a second.
	demand   float64
	lastUsed time.Time
	// levels are the rates per weight up to which accounts are served, by priority.
	levels  [priorities]float64
	leveled time.Time
	// cuts has, by priority, what targets did since nothing is left for the less urgent ones.
	cuts [priorities]cut
	held map[heldKey]*heldAccount
}

// cut is what targets did with the sends of a priority since the less urgent ones are refused.
type cut struct {
	since          time.Time // zero if less urgent requests are sent
	sent, rejected meter
	// scarce is true if targets rejected too much of it. It stays true while the priority asks
	// for more than there is: once it is limited, targets reject less.
	scarce bool
}

type heldKey struct {
	priority int
	account  string
}

// heldAccount is an account that asks for more than its share.
type heldAccount struct {
	// credit is the part of a request that the share allows beyond those that were sent.
	credit float64
	// toldUntil is the latest time that a refused caller was told.
	toldUntil   time.Time
	lastRefused time.Time
}

func (l *Limiter) weight(account string) float64 {
	if w, ok := l.weights[account]; ok {
		return w
	}
	return 1
}

// Ask records that a request is about to be sent, and decides whether it may be.
func (l *Limiter) Ask(now time.Time, r Request) Verdict {
	s := l.service(now, r.Service)
	p := min(max(r.Priority, 0), priorities-1)
	if s.demands[p] == nil {
		s.demands[p] = fairshare.NewRates(halfLife, maxAccounts)
	}
	s.demands[p].Add(now, r.Account, 1)
	s.asked.add(now, 1)
	if !s.isLimited(now) {
		clear(s.held)
		return Verdict{}
	}
	s.updateLevels(now, l.weight)
	share, rate := s.levels[p]*l.weight(r.Account), s.demands[p].Rate(now, r.Account)
	if rate <= share {
		return Verdict{}
	}
	h := s.holdAccount(heldKey{p, r.Account})
	if h.credit += share / rate; h.credit >= 1 {
		h.credit--
		return Verdict{}
	}
	h.lastRefused = now
	return Verdict{Refused: true, RetryAfter: h.tell(now, share)}
}

// Sent records a send to a target. It counts as accepted until Rejected or NotSent takes it back:
// a rejection arrives at once, a response only when the work is done.
func (l *Limiter) Sent(now time.Time, name string) {
	s := l.service(now, name)
	s.accepted.add(now, 1)
	s.sent.add(now, 1)
	for p := range s.cuts {
		s.cuts[p].sent.add(now, 1)
	}
}

// NotSent records that a send has not reached its target.
func (l *Limiter) NotSent(now time.Time, name string) {
	l.service(now, name).accepted.add(now, -1)
}

// Rejected records that a target has rejected a send.
func (l *Limiter) Rejected(now time.Time, name string) {
	s := l.service(now, name)
	s.accepted.add(now, -1)
	s.rejections.add(now, 1)
	for p := range s.cuts {
		s.cuts[p].rejected.add(now, 1)
	}
	rejections, limited := s.rejections.sum(now), s.isLimited(now)
	share := rejections / max(s.sent.sum(now), 1)
	if limited && share < keepShare || !limited && (rejections < minRejections || share < beginShare) {
		return
	}
	if !limited {
		s.asked, s.accepted = meter{priorAsked, now}, meter{priorAccepted, now}
		s.accepts = 0
	}
	s.lastRejection, s.rejected = now, true
}

// service returns what is known of a service, and forgets the least recently used one if there
// are too many.
func (l *Limiter) service(now time.Time, name string) *service {
	s := l.services[name]
	if s == nil {
		if len(l.services) >= maxServices {
			oldest := ""
			for other, known := range l.services {
				if oldest == "" || known.lastUsed.Before(l.services[oldest].lastUsed) {
					oldest = other
				}
			}
			delete(l.services, oldest)
		}
		s = &service{held: map[heldKey]*heldAccount{}}
		l.services[name] = s
	}
	s.lastUsed = now
	return s
}

// isLimited reports whether targets have rejected anything lately.
func (s *service) isLimited(now time.Time) bool {
	return !s.lastRejection.IsZero() && now.Sub(s.lastRejection) < forgetTime
}

// estimate returns what targets accept of a demand, in requests a second.
func (s *service) estimate(now time.Time, demand float64) float64 {
	accepted := max(s.accepted.rate(now), 0)
	if asked := s.asked.rate(now); asked > 0 {
		// Early, the accepted share of the demand says more. After the demand has fallen, the rate does.
		accepted = max(accepted, demand*accepted/asked)
	}
	return accepted
}

// capacity returns what may be sent of a demand, in requests a second. What is accepted shows the
// capacity only while targets reject: without rejections, it falls with what is sent.
func (s *service) capacity(now time.Time, demand float64) float64 {
	if s.rejected {
		s.accepts, s.demand, s.rejected = s.estimate(now, demand), demand, false
	}
	accepts := max(s.accepts, s.estimate(now, demand))
	pause, doubling := minQuiet, minDoubling
	if accepts > probeRate {
		pause = min(max(timeOf(quietSends, accepts), minQuiet), maxQuiet)
		doubling = min(max(timeOf(doublingSends, accepts), minDoubling), maxDoubling)
	}
	if demand < fallenDemand*s.demand {
		pause, doubling = minQuiet, fallenDoubling
	}
	multiple := acceptMultiple
	if quiet := now.Sub(s.lastRejection) - pause; quiet > 0 {
		multiple *= math.Exp2(float64(quiet) / float64(doubling))
	}
	return max(multiple*accepts, probeRate)
}

// timeOf returns the time that a number of sends takes at a rate a second.
func timeOf(sends, rate float64) time.Duration {
	return time.Duration(sends / rate * float64(time.Second))
}

// updateLevels computes the shares. What is left after the more urgent priorities is shared.
func (s *service) updateLevels(now time.Time, weight func(string) float64) {
	if elapsed := now.Sub(s.leveled); elapsed >= 0 && elapsed < levelInterval {
		return
	}
	s.leveled = now
	var demands [priorities][]fairshare.Demand
	var asked [priorities]float64
	total := 0.0 // of all priorities, then of those that are less urgent
	for p, rates := range s.demands {
		if rates == nil {
			continue
		}
		rates.Prune(now)
		demands[p] = rates.Demands(now, weight)
		for _, d := range demands[p] {
			asked[p] += d.Rate
		}
		total += asked[p]
	}
	left := s.capacity(now, total)
	for p := range demands {
		s.levels[p] = fairshare.Level(left, demands[p])
		left = max(left-asked[p], 0)
	}
	s.spareMoreUrgent(now, asked)
	for key, h := range s.held {
		if now.Sub(h.lastRefused) >= forgetTime {
			delete(s.held, key)
		}
	}
}

// spareMoreUrgent lifts the levels of priorities while less urgent requests are sent, or may be sent by
// other instances.
func (s *service) spareMoreUrgent(now time.Time, asked [priorities]float64) {
	lessUrgent, sent := false, false // whether less urgent requests are asked for, and sent
	for p := priorities - 1; p >= 0; p-- {
		scarce := !math.IsInf(s.levels[p], 1)
		switch {
		case asked[p] <= 0:
			continue
		case !scarce || sent:
			s.cuts[p] = cut{}
		case lessUrgent:
			scarce = s.cuts[p].provesScarcity(now)
		}
		if !scarce || sent {
			s.levels[p], sent = math.Inf(1), true
		}
		lessUrgent = true
	}
}

// provesScarcity reports whether targets reject so much, although the less urgent priorities were left
// nothing, that the priority itself asks for more than they work.
func (c *cut) provesScarcity(now time.Time) bool {
	if c.since.IsZero() {
		*c = cut{since: now}
	}
	c.scarce = c.scarce || now.Sub(c.since) >= cutTime && c.rejected.sum(now) >= cutRejections*max(c.sent.sum(now), minCutSends)
	return c.scarce
}

// holdAccount returns the record of an account that asks for more than its share.
func (s *service) holdAccount(key heldKey) *heldAccount {
	h := s.held[key]
	if h == nil {
		if len(s.held) >= maxAccounts {
			for other := range s.held {
				delete(s.held, other) // any of them: it begins again without credit
				break
			}
		}
		h = &heldAccount{}
		s.held[key] = h
	}
	return h
}

// tell returns the delay after which a refused caller is to retry. Callers are told times at the
// rate of the account's share, so that they don't all return at the same time.
func (h *heldAccount) tell(now time.Time, share float64) time.Duration {
	delay := maxRetryAfter
	if interval := 1 / share; interval < maxRetryAfter.Seconds() {
		delay = max(h.toldUntil.Sub(now), 0) + time.Duration(interval*float64(time.Second))
	}
	delay = min(delay, maxRetryAfter)
	h.toldUntil = now.Add(delay)
	return delay
}
