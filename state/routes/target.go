package routes

import (
	"strconv"
	"time"
)

// Target is one incarnation of a process that runs requests or pieces of a
// service.
type Target struct {
	// Name is the name of the process at the platform, which the process also
	// reports itself. A restarted process may keep it.
	Name string
	// StartedMillis is the start time that the process reports, in Unix
	// milliseconds; 0 if it reports none. Of two incarnations with one name the
	// later has the larger value.
	StartedMillis int64
	Service       string
	Address       string
	DataCentre    string
	// Version is the version of the process's software. Nothing orders versions.
	Version string
	Slots   int
	// Leaving targets finish their requests and accept no new ones.
	Leaving bool
	// Ended is true if the process is known to have ended. Another one may run at its address under its name before its
	// entry is replaced, and have other software.
	Ended bool
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
}

// unknownVersion begins the version of the software at the address of a target that has ended.
const unknownVersion = "unknown/"

// RunningVersion returns the version of the software that runs at the target's address. It is that of no other target if
// it isn't known.
func (t Target) RunningVersion() string {
	if t.Ended {
		return unknownVersion + t.Incarnation()
	}
	return t.Version
}

// incarnationSeparator separates the name from the start time in an incarnation
// identifier.
const incarnationSeparator = "@"

// Incarnation identifies one run of the process: state learned about one run, such
// as its health or the results it stores, does not apply to the next. All
// instances use the same identifier. Without a start time it is only the name.
func (t Target) Incarnation() string {
	if t.StartedMillis == 0 {
		return t.Name
	}
	return t.Name + incarnationSeparator + strconv.FormatInt(t.StartedMillis, 10)
}
