// Package spread disseminates small versioned records to all instances by gossip
// and keeps the latest load digest of each.
//
// Records are sent as rumours, pushed a bounded number of times to a few peers.
// Instances that a rumour missed are repaired by pull anti-entropy over a hash tree
// (A. Demers et al., "Epidemic Algorithms for Replicated Database
// Maintenance", PODC 1987). Load digests are the latest value per origin and
// expire. Bytes per second are bounded for each instance.
//
// It is a pure state machine: time, randomness and messages are arguments and
// actions are returned. It is not safe for concurrent use.
package spread

// Record is a versioned configuration record.
type Record struct {
	Kind     string
	Name     string
	Revision uint64
	Deleted  bool
	Body     []byte
}

// LoadDigest is the load that an instance reports for itself.
type LoadDigest struct {
	Origin string
	// Incarnation and Seq order the digests of one origin.
	Incarnation uint64
	Seq         uint64
	// AgeMillis is the time since the origin produced the digest, summed over
	// the hops so that no clocks are compared. It excludes the network delay.
	AgeMillis uint32
	Body      []byte
}

// Message is a message between two Gossip state machines.
type Message interface{ spreadMessage() }

// Push carries records to a peer.
type Push struct {
	Records []Record
	// Recovered marks records that are sent in response to a Pull. Most
	// instances have them already, so the receiver does not gossip them further.
	Recovered bool
}

// Offer announces a record that is too large to be pushed. Its size is that of the
// body in bytes.
type Offer struct {
	Kind     string
	Name     string
	Revision uint64
	Size     uint32
}

// Offers announces records to a peer, which fetches those that it lacks.
type Offers struct{ Offers []Offer }

// Pull requests the records that differ. With a negative Bucket it compares the
// roots; otherwise it carries the leaf sums of one bucket.
type Pull struct {
	Root uint64
	// NewestRevision is the highest revision that the sender holds.
	NewestRevision uint64
	Bucket         int
	Leaves         []uint64
}

// PullResponse is the response to a comparison of roots. It carries the bucket
// sums of the sender if the roots differ.
type PullResponse struct {
	InSync  bool
	Buckets []uint64
}

// Loads carries load digests to a peer.
type Loads struct{ Digests []LoadDigest }

func (*Push) spreadMessage()         {}
func (*Offers) spreadMessage()       {}
func (*Pull) spreadMessage()         {}
func (*PullResponse) spreadMessage() {}
func (*Loads) spreadMessage()        {}

// Action is something that the driver must do after a call.
type Action interface{ spreadAction() }

// Send requests that a message be sent to an address.
type Send struct {
	To      string
	Message Message
}

// Fetch requests that the record of an offer, or a later revision of it, be fetched
// from the peer that offers it. The driver reports the result to Fetched.
type Fetch struct {
	From  string
	Offer Offer
}

// Accepted reports a record that is newer than the one held before.
type Accepted struct{ Record Record }

// Oversized reports a record that was rejected because its body is larger than
// MaxRecordBytes.
type Oversized struct{ Record Record }

func (Send) spreadAction()      {}
func (Fetch) spreadAction()     {}
func (Accepted) spreadAction()  {}
func (Oversized) spreadAction() {}
