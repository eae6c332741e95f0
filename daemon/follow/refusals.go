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
	maxRejectionLogs   = 64
	rejectionLogPeriod = time.Hour
)

// refusals remembers what was logged of entries that name no target, so that each
// fault is told once in a period. Its zero value has logged nothing.
type rejectionLog struct {
	periodStart time.Time
	logged      map[string]struct{}
}

// tell tells whether a fault is to be logged, and whether it is the last one of this
// period.
func (r *rejectionLog) shouldLog(now time.Time, fault string) (tell, last bool) {
	if r.logged == nil || now.Sub(r.periodStart) >= rejectionLogPeriod {
		r.periodStart, r.logged = now, map[string]struct{}{}
	}
	if _, known := r.logged[fault]; known || len(r.logged) >= maxRejectionLogs {
		return false, false
	}
	r.logged[fault] = struct{}{}
	return true, len(r.logged) == maxRejectionLogs
}

// noteRefusal logs that an entry names no target.
func (f *Follower) logRejection(err error) {
	f.scope.Counter("refused_entries").Inc(1)
	f.logOnce(err.Error(), func() { klog.ErrorS(err, "Entry of a target refused") })
}

// noteUnreadable logs that objects of a kind couldn't be read.
func (f *Follower) logUnreadable(kind string, count int) {
	if count == 0 {
		return
	}
	f.scope.Counter("refused_entries").Inc(int64(count))
	f.logOnce("kind "+kind, func() {
		telemetry.InfoS("Objects can't be read", telemetry.Event{Record: kind, Count: count})
	})
}

// logRefusal writes a line unless the same was told, or the bound is reached.
func (f *Follower) logOnce(fault string, write func()) {
	f.mu.Lock()
	tell, last := f.rejectionLog.shouldLog(time.Now(), fault)
	f.mu.Unlock()
	if !tell {
		return
	}
	write()
	if last {
		telemetry.InfoS("Refused entries are only counted from now on", telemetry.Event{Count: maxRejectionLogs, Elapsed: rejectionLogPeriod})
	}
}
