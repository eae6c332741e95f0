// Package spread brings small versioned records to every instance and keeps
// the latest load digest of each.
//
// Records travel as rumours, pushed a bounded number of times to a few peers,
// and what a rumour missed is found by pull anti-entropy over a hash tree
// (A. Demers et al., "Epidemic Algorithms for Replicated Database
// Maintenance", PODC 1987). Load digests are the latest value per origin and
// expire. Bytes per second are bounded for each instance.
//
// It is a pure state machine: time, randomness and messages are arguments and
// actions are returned. It is not safe for concurrent use.
package spread

// Record is one versioned configuration record.
type Record struct {
	Kind     string
	Name     string
	Revision uint64
	Deleted  bool
	Body     []byte
}

// LoadDigest is the load that one instance reports of itself.
type LoadDigest struct {
	Origin string
	// Incarnation and Seq order the digests of one origin.
	Incarnation uint64
	Seq         uint64
	// AgeMillis is the time since the origin made it, summed hop by hop so
	// that no clocks are compared; the time on the wire is not in it.
	AgeMillis uint32
	Body      []byte
}

// Message is a message between two spread state machines.
type Message interface{ spreadMessage() }

// Push carries records to a peer.
type Push struct {
	Records []Record
	// Recovered marks records sent in answer to a Pull. They are old news to
	// most instances, so the receiver does not spread them as rumours.
	Recovered bool
}

// Pull asks a peer for what differs. With Bucket below zero it compares the
// roots; otherwise it carries the leaf sums of one bucket.
type Pull struct {
	Root uint64
	// Newest is the highest revision that the sender holds.
	NewestRevision uint64
	Bucket         int
	Leaves         []uint64
}

// PullAnswer carries the bucket sums of a peer whose root differs.
type PullResponse struct {
	InSync  bool
	Buckets []uint64
}

// Loads carries load digests to a peer.
type Loads struct{ Digests []LoadDigest }

func (*Push) spreadMessage()         {}
func (*Pull) spreadMessage()         {}
func (*PullResponse) spreadMessage() {}
func (*Loads) spreadMessage()        {}

// Action is what the driver has to do after a call.
type Action interface{ spreadAction() }

// Send asks for one message to be sent to an address.
type Send struct {
	To      string
	Message Message
}

// Accepted says that a record is newer than what was held.
type Accepted struct{ Record Record }

func (Send) spreadAction()     {}
func (Accepted) spreadAction() {}
