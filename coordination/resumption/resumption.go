// Package resumption decides at which software version of its targets a stream may go on that its caller
// takes up again.
//
// What targets of two software versions write doesn't fit together, so a stream may go on only at the
// version that began it. The caller names its earlier attempt; which version that one began at is known
// from a record (Table), or because the service has had only one version for as long as a stream may
// last (History). What is known in neither way is not guessed.
//
// The package is pure: time is an argument. Its types are not safe for concurrent use.
package resumption

import "time"

// Lifetime is the time in which a caller may take a stream up again, from its first event. It is
// longer than the deadlines of callers.
const Lifetime = time.Minute

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the targets.
	Version string
}
