// Package membership decides which instances of a cluster are alive.
//
// It is a pure state machine in the manner of SWIM (A. Das, I. Gupta and
// A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002): one probe a period, indirect probes through
// a few other members, suspicion before death, refutation by the suspect, and
// updates piggybacked on the probes themselves. Who probes whom follows the
// K rings of Rapid (L. Suresh et al., "Stable and Consistent Membership at
// Scale with Rapid", USENIX ATC 2018), so that the number of connections of an
// instance is fixed however many instances there are.
//
// Time, randomness and messages are arguments; actions are returned. The
// package starts no goroutine, reads no clock and opens no socket. It is not
// safe for concurrent use: the driver serialises the calls.
package membership

// State is the state of a member as the cluster sees it.
type State uint8

// The states of a member, in increasing precedence within one incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	// Left is a planned departure. It is final for an incarnation.
	Left
)

// String returns the state's name as it appears in logs and status.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member describes one instance of the cluster.
type Member struct {
	Name string
	// Address is the IP address and TCP port for other instances.
	Address    string
	CallerURL  string
	DataCentre string
	// Incarnation identifies one run of the process. It increases with each run
	// under the same name.
	Incarnation uint64
	// Refutation increases each time this run refutes a suspicion. SWIM calls
	// this an incarnation number; it is separate from Incarnation because claims
	// and request ids contain the run's incarnation, which a refutation must not
	// change.
	Refutation uint32
	State      State
	// Capacity is the instance's processor share in thousandths of a core, 0 if
	// unknown.
	Capacity uint32
}

// Live reports whether the member counts as part of the cluster. A suspect
// does until the suspicion timeout.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Message is a message between two membership state machines.
type Message interface{ membershipMessage() }

// Ping requests an Ack from the receiver.
type Ping struct {
	Seq uint64
	// Digest is a hash of the sender's set of live members.
	Digest  uint64
	Updates []Member
}

// PingReq requests the receiver to ping Target and to forward its Ack.
type PingReq struct {
	Seq     uint64
	Target  string
	Address string
	Updates []Member
}

// Ack is the response to a Ping, or to a PingReq on behalf of its target. An Ack
// with Seq 0 responds to nothing and only carries updates.
type Ack struct {
	Seq     uint64
	Digest  uint64
	Updates []Member
}

// SyncRequest requests a page of the receiver's members, starting after the
// given name.
type SyncRequest struct{ After string }

// SyncResponse is one page of members sorted by name. Next is the name to
// continue after, empty on the last page.
type SyncResponse struct {
	Members []Member
	Next    string
}

func (*Ping) membershipMessage()         {}
func (*PingReq) membershipMessage()      {}
func (*Ack) membershipMessage()          {}
func (*SyncRequest) membershipMessage()  {}
func (*SyncResponse) membershipMessage() {}

// Action is something that the driver must do after a call.
type Action interface{ membershipAction() }

// Send requests that a message be sent to an address.
type Send struct {
	To      string
	Message Message
	// NewConnection requests a new connection, because an open one may be silent.
	NewConnection bool
	// Reply prefers the connection on which the message being handled arrived.
	Reply bool
}

// ViewChanged reports a new version of the view.
type ViewChanged struct{ View *View }

// Superseded reports that another run under this instance's name has a higher
// incarnation: this run is outdated, or the name is used twice.
type Superseded struct{ By Member }

func (Send) membershipAction()        {}
func (ViewChanged) membershipAction() {}
func (Superseded) membershipAction()  {}
