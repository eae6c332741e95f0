package gateway

import (
	"math"
	"syscall"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// callerConnShare is the share of the process's file descriptors that connections of callers may
// take. Each request on one of them may need a connection to a target, too; the rest is for peers,
// the store and the admin address.
const callerConnShare = 0.4

// maxCallerConns returns the limit of connections of callers, from the process's limit of file
// descriptors. It returns 0, no limit, if that isn't known.
func maxCallerConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		telemetry.ErrorS(err, "Limit of file descriptors not known, connections of callers are not limited", telemetry.Event{})
		return 0
	}
	return connLimit(limit.Cur)
}

// connLimit returns the limit of connections of callers for a number of file descriptors.
func connLimit(descriptors uint64) int {
	return int(min(callerConnShare*float64(descriptors), math.MaxInt32))
}
