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

import (
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Lifetime is the time in which a caller may take a stream up again, from its first event. It is
// longer than the deadlines of callers.
const Lifetime = time.Minute

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the targets.
	Version string
}

// KeyCount is the number of keys over which the records of streams are spread. It bounds the instances that one
// instance sends records to, whatever the size of the fleet.
const KeyCount = 32

// Key returns the key whose owners keep the record of a stream, and its number from 0. It must not change:
// instances of two releases would look for a record at different ones.
func Key(id string) (key string, number int) {
	number = int(rendezvous.Score("stream", id) % KeyCount)
	return "streams/" + strconv.Itoa(number), number
}
