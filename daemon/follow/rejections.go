package follow

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// Limits of the logs of entries that name no target. A writer may write any number of such
// entries, and each of them again with every heartbeat.
const (
	// maxRejectionLogs is the maximum number of logs in a rejectionLogPeriod.
	maxRejectionLogs   = 64
	rejectionLogPeriod = time.Hour
)

// rejectionLog remembers which faults of entries were logged, so that each is logged once in a
// period. The zero value is empty.
type rejectionLog struct {
	periodStart time.Time
	logged      map[string]struct{}
}

// shouldLog reports whether a fault is to be logged, and whether it is the last one that may be
// logged in this period.
func (r *rejectionLog) shouldLog(now time.Time, fault string) (log, last bool) {
	if r.logged == nil || now.Sub(r.periodStart) >= rejectionLogPeriod {
		r.periodStart, r.logged = now, map[string]struct{}{}
	}
	if _, known := r.logged[fault]; known || len(r.logged) >= maxRejectionLogs {
		return false, false
	}
	r.logged[fault] = struct{}{}
	return true, len(r.logged) == maxRejectionLogs
}

// logRejection logs that an entry names no target.
func (f *Follower) logRejection(err error) {
	f.scope.Counter("refused_entries").Inc(1)
	f.logOnce(err.Error(), func() { klog.ErrorS(err, "Entry of a target refused") })
}

// logUnreadable logs that objects of a kind couldn't be read.
func (f *Follower) logUnreadable(kind string, count int) {
	if count == 0 {
		return
	}
	f.scope.Counter("refused_entries").Inc(int64(count))
	f.logOnce("kind "+kind, func() {
		telemetry.InfoS("Objects can't be read", telemetry.Event{Record: kind, Count: count})
	})
}

// logOnce calls write unless the fault was logged in this period or the limit is reached.
func (f *Follower) logOnce(fault string, write func()) {
	f.mu.Lock()
	log, last := f.rejectionLog.shouldLog(time.Now(), fault)
	f.mu.Unlock()
	if !log {
		return
	}
	write()
	if last {
		telemetry.InfoS("Refused entries are only counted from now on", telemetry.Event{Count: maxRejectionLogs, Elapsed: rejectionLogPeriod})
	}
}
