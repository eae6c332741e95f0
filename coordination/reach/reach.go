// Package reach decides whether an instance reaches the targets of a service directly, or has to go
// through another instance. It tells a lost path from targets that are down: what an instance alone
// observes of targets says nothing about them if other instances still reach them.
package reach

import "time"

// Parameters of a Tracker.
const (
	// silenceLimit is how long requests may wait without a byte from any target of a service before
	// the direct path is suspected; ackedSilenceLimit replaces it if the targets' hosts have
	// acknowledged the requests, so that the targets may just be slow.
	silenceLimit      = time.Second
	ackedSilenceLimit = 2 * time.Second
	// lossTolerance is by how much the last bytes from the targets of two services may differ if the
	// paths to both are lost at once.
	lossTolerance = 100 * time.Millisecond
	// brokenConfirmation is how long after connections broke a suspected path is not concluded to be
	// lost from answers that arrive through other instances: a direct attempt may succeed as well.
	brokenConfirmation = 500 * time.Millisecond
	// failedTargets and failedAttempts are the numbers of targets of a service, and of attempts, that
	// fail in a row without a byte before the direct path is suspected: one of them suffices.
	failedTargets  = 2
	failedAttempts = 3
	// minProbeInterval and maxProbeInterval bound the time between two attempts to use a path that is
	// suspected or lost. It doubles with each request that was sent in vain.
	minProbeInterval = 900 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// maxTick is the longest time between two calls of Tick on an instance that runs. After a longer
	// one, the instance was paused and what it received meanwhile has not been read.
	maxTick = 600 * time.Millisecond
	// retention is how long the path to a service without attempts is remembered.
	retention = time.Minute
)

// Way is how an attempt reaches its target.
type Way int

// The ways to a target.
const (
	// Direct opens a connection to the target itself.
	Direct Way = iota
	// Probe is Direct for an attempt that shows whether a lost path is back.
	Probe
	// Detour goes through another instance.
	Detour
)

// Cause is the observation from which a path was concluded to be lost.
type Cause string

// The causes.
const (
	// CauseSilence: requests wait and no target of the service sends a byte.
	CauseSilence Cause = "silence"
	// CauseBroken: attempts at several targets in a row broke off without a byte.
	CauseBroken Cause = "broken connections"
	// CauseConnect: targets that can't be connected to are reached by another instance.
	CauseConnect Cause = "connect"
)

// Change is a path that was lost or found.
type Change struct {
	Service string
	Lost    bool
	Cause   Cause
	// Duration is how long a path that was found had been lost.
	Duration time.Duration
}

// Tracker tracks the direct paths to the targets of each service. It isn't safe for concurrent use.
type Tracker struct {
	paths    map[string]*path
	tickedAt time.Time
	changes  []Change
}

// path is the direct path to the targets of a service.
type path struct {
	service string
	// waiting is the number of direct attempts without a byte so far, endedAt when the last one
	// ended without.
	waiting int
	endedAt time.Time
	// receivedAt is when the last byte of a target arrived. silentSince is when the first attempt
	// began that has had no byte since then.
	receivedAt, silentSince time.Time
	usedAt                  time.Time
	// failed has the addresses of targets at which attempts failed since firstFailure without a
	// byte, failures the number of these attempts.
	failed       map[string]bool
	failures     int
	firstFailure time.Time
	// avoided is true while attempts go through other instances; lost is true once that is known
	// to work where the direct path doesn't.
	avoided, lost bool
	cause         Cause
	// since is when what shows that the path is lost began.
	since     time.Time
	avoidedAt time.Time
	// probeAt is when the next attempt may use the direct path, and probeSent is true if a request
	// was sent there since the last one was allowed.
	probeAt       time.Time
	probeInterval time.Duration
	probeSent     bool
}

// NewTracker returns a tracker that considers all paths intact.
func NewTracker() *Tracker { return &Tracker{paths: map[string]*path{}} }

func (t *Tracker) path(service string) *path {
	p := t.paths[service]
	if p == nil {
		p = &path{service: service, failed: map[string]bool{}}
		t.paths[service] = p
	}
	return p
}

// Choose returns the way for an attempt at a target of a service. A request that can't be lost at
// little cost is used as a probe only if there has been no other one for long, unless targets
// refused connections or left them unanswered: then nothing is sent before the path is back.
func (t *Tracker) Choose(now time.Time, service string, mayProbe bool) Way {
	p := t.path(service)
	p.usedAt = now
	if !p.avoided {
		return Direct
	}
	due := p.probeAt
	if !mayProbe && p.cause != CauseConnect {
		due = due.Add(maxProbeInterval)
	}
	if now.Before(due) {
		return Detour
	}
	if p.probeSent {
		p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
	}
	p.probeAt, p.probeSent = now.Add(p.probeInterval), false
	return Probe
}

// Began records a request that is sent on a direct connection.
func (t *Tracker) Began(now time.Time, service string) {
	p := t.path(service)
	if p.waiting == 0 && (!p.silentSince.After(p.receivedAt) || now.Sub(p.endedAt) > ackedSilenceLimit) {
		p.silentSince = now
	}
	p.waiting++
	p.usedAt = now
	p.probeSent = p.avoided
}

// Ended records that a request that Began recorded has received its first byte or ended without one.
func (t *Tracker) Ended(now time.Time, service string) {
	p := t.path(service)
	p.waiting, p.endedAt = max(p.waiting-1, 0), now
}

// Received records bytes that arrived on a direct connection that was opened at the given time.
func (t *Tracker) Received(now time.Time, service string, opened time.Time) {
	p := t.path(service)
	p.receivedAt, p.silentSince = now, now
	if !opened.Before(p.firstFailure) {
		p.forgetFailures()
	}
	// Connections of before may live on while new ones are refused.
	if p.avoided && (p.cause == CauseSilence || !opened.Before(p.since)) {
		t.find(now, p)
	}
}

// Broke records that an attempt on a direct connection failed without a byte of its target.
func (t *Tracker) Broke(now time.Time, service, address string) {
	p := t.path(service)
	if p.fail(now, address) && !p.avoided {
		t.avoid(now, p, CauseBroken, p.firstFailure)
	}
}

// ConnectedElsewhere records that another instance reached a target that can't be connected to
// from here.
func (t *Tracker) ConnectedElsewhere(now time.Time, service, address string) {
	p := t.path(service)
	if p.fail(now, address) && !p.avoided {
		t.avoid(now, p, CauseConnect, p.firstFailure)
	}
	if p.avoided {
		t.confirm(now, p)
	}
}

// ReceivedThroughPeer records bytes of a target that arrived through another instance.
func (t *Tracker) ReceivedThroughPeer(now time.Time, service string) {
	p := t.path(service)
	if p.avoided && (p.cause != CauseBroken || now.Sub(p.avoidedAt) >= brokenConfirmation) {
		t.confirm(now, p)
	}
}

// Tick detects silent paths. It is called several times in silenceLimit. acked reports whether the
// targets' hosts have acknowledged all that waiting attempts at a service have sent.
func (t *Tracker) Tick(now time.Time, acked func(service string) bool) {
	paused := !t.tickedAt.IsZero() && now.Sub(t.tickedAt) > maxTick
	t.tickedAt = now
	for service, p := range t.paths {
		if paused {
			p.silentSince = now
		}
		if p.waiting == 0 && !p.avoided && now.Sub(p.usedAt) > retention {
			delete(t.paths, service)
		}
		if p.waiting == 0 || p.avoided || now.Sub(p.silentSince) < silenceLimit {
			continue
		}
		if now.Sub(p.silentSince) >= ackedSilenceLimit || !acked(service) {
			t.avoid(now, p, CauseSilence, p.silentSince)
		}
	}
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Lost reports whether the direct path to the targets of a service is known to be lost.
func (t *Tracker) Lost(service string) bool {
	p := t.paths[service]
	return p != nil && p.lost
}

// Suspected reports whether attempts at the targets of a service failed since a byte of one arrived.
func (t *Tracker) Suspected(service string) bool {
	p := t.paths[service]
	return p != nil && (p.avoided || p.failures > 0)
}

// Avoided reports whether attempts at the targets of a service go through other instances.
func (t *Tracker) Avoided(service string) bool {
	p := t.paths[service]
	return p != nil && p.avoided
}

// LostCount returns the number of services whose direct path is known to be lost.
func (t *Tracker) LostCount() int {
	n := 0
	for _, p := range t.paths {
		if p.lost {
			n++
		}
	}
	return n
}

// fail records a failed attempt. It reports whether there were enough to suspect the path.
func (p *path) fail(now time.Time, address string) bool {
	if p.failures == 0 {
		p.firstFailure = now
	}
	p.failures = min(p.failures+1, failedAttempts)
	if len(p.failed) < failedTargets {
		p.failed[address] = true
	}
	return p.failures >= failedAttempts || len(p.failed) >= failedTargets
}

func (p *path) forgetFailures() {
	clear(p.failed)
	p.failures = 0
}

// avoid makes new attempts go through other instances.
func (t *Tracker) avoid(now time.Time, p *path, cause Cause, since time.Time) {
	p.avoided, p.cause, p.since, p.avoidedAt = true, cause, since, now
	p.probeInterval, p.probeSent = minProbeInterval, false
	p.probeAt = now.Add(p.probeInterval)
	if cause == CauseBroken {
		p.probeAt = now
	}
}

// confirm marks an avoided path as lost. Paths to other services that have been silent since it was
// lost are lost too, until a probe gets an answer there.
func (t *Tracker) confirm(now time.Time, p *path) {
	if p.lost {
		return
	}
	p.lost = true
	t.changes = append(t.changes, Change{Service: p.service, Lost: true, Cause: p.cause})
	for _, other := range t.paths {
		if other.lost || other.receivedAt.After(p.since.Add(lossTolerance)) {
			continue
		}
		if !other.avoided {
			t.avoid(now, other, p.cause, p.since)
		}
		other.lost = true
		t.changes = append(t.changes, Change{Service: other.service, Lost: true, Cause: other.cause})
	}
}

// find makes new attempts direct again.
func (t *Tracker) find(now time.Time, p *path) {
	if p.lost {
		t.changes = append(t.changes, Change{Service: p.service, Cause: p.cause, Duration: now.Sub(p.avoidedAt)})
	}
	p.avoided, p.lost = false, false
	p.forgetFailures()
	for _, other := range t.paths {
		if other.avoided {
			other.probeAt = now.Add(-maxProbeInterval) // any request may be a probe
		}
	}
}
