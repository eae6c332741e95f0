package follow

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// Bounds of the lines about entries that name no target. Who writes such an entry
// may write it again with each heartbeat, and any number of them.
const (
	// maxRefusals is the number of lines in a refusalPeriod.
	maxRefusals   = 64
	refusalPeriod = time.Hour
)

// refusals remembers what was logged of entries that name no target, so that each
// fault is told once in a period. Its zero value has logged nothing.
type refusals struct {
	since time.Time
	told  map[string]struct{}
}

// tell tells whether a fault is to be logged, and whether it is the last one of this
// period.
func (r *refusals) tell(now time.Time, fault string) (tell, last bool) {
	if r.told == nil || now.Sub(r.since) >= refusalPeriod {
		r.since, r.told = now, map[string]struct{}{}
	}
	if _, known := r.told[fault]; known || len(r.told) >= maxRefusals {
		return false, false
	}
	r.told[fault] = struct{}{}
	return true, len(r.told) == maxRefusals
}

// noteRefusal logs that an entry names no target.
func (f *Follower) noteRefusal(err error) {
	f.scope.Counter("refused_entries").Inc(1)
	f.logRefusal(err.Error(), func() { klog.ErrorS(err, "Entry of a target refused") })
}

// noteUnreadable logs that objects of a kind couldn't be read.
func (f *Follower) noteUnreadable(kind string, count int) {
	if count == 0 {
		return
	}
	f.scope.Counter("refused_entries").Inc(int64(count))
	f.logRefusal("kind "+kind, func() {
		telemetry.InfoS("Objects can't be read", telemetry.Event{Record: kind, Count: count})
	})
}

// logRefusal writes a line unless the same was told, or the bound is reached.
func (f *Follower) logRefusal(fault string, write func()) {
	f.mu.Lock()
	tell, last := f.refusals.tell(time.Now(), fault)
	f.mu.Unlock()
	if !tell {
		return
	}
	write()
	if last {
		telemetry.InfoS("Refused entries are only counted from now on", telemetry.Event{Count: maxRefusals, Elapsed: refusalPeriod})
	}
}
