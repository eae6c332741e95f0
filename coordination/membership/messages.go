// Package membership decides which instances of a cluster are alive.
//
// It is a pure state machine in the manner of SWIM (A. Das, I. Gupta and
// A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002): one probe a period, indirect probes through
// a few other members, suspicion before death, refutation by the suspect, and
// updates that travel on the probes themselves. Who probes whom follows the
// K rings of Rapid (L. Suresh et al., "Stable and Consistent Membership at
// Scale with Rapid", USENIX ATC 2018), so that the number of connections of an
// instance is fixed however many instances there are.
//
// Time, randomness and messages are arguments; actions are returned. The
// package starts no goroutine, reads no clock and opens no socket. It is not
// safe for concurrent use: its driver serialises the calls.
package membership

// State is what the cluster believes of a member.
type State uint8

// The states of a member, in rising precedence for one incarnation.
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

// Member describes one instance.
type Member struct {
	Name string
	// Address is the IP address and TCP port for other instances.
	Address    string
	CallerURL  string
	DataCentre string
	// Incarnation identifies one run of the process. A later run has a higher
	// one.
	Incarnation uint64
	// Refutation rises each time this run contradicts a suspicion. It is what
	// SWIM calls an incarnation number; it is kept apart because claims and
	// request ids name the run, and the run stays the same.
	Refutation uint32
	State      State
	// Capacity is the instance's processor share, in thousandths of a core; 0 is
	// unknown.
	Capacity uint32
}

// Live tells whether the member counts as a part of the cluster. A suspect
// does until its suspicion runs out.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Message is a message between two membership state machines.
type Message interface{ membershipMessage() }

// Ping asks the receiver for an Ack.
type Ping struct {
	Seq uint64
	// Digest summarises the sender's set of live members.
	Digest  uint64
	Updates []Member
}

// PingReq asks the receiver to ping Target and to pass its Ack on.
type PingReq struct {
	Seq     uint64
	Target  string
	Address string
	Updates []Member
}

// Ack answers a Ping, or a PingReq on behalf of its target.
type Ack struct {
	Seq     uint64
	Digest  uint64
	Updates []Member
}

// SyncRequest asks for a page of all that the receiver knows, beginning after
// the given name.
type SyncRequest struct{ After string }

// SyncAnswer is one page of members in the order of their names. Next is the
// name to continue after, empty at the end.
type SyncResponse struct {
	Members []Member
	Next    string
}

func (*Ping) membershipMessage()         {}
func (*PingReq) membershipMessage()      {}
func (*Ack) membershipMessage()          {}
func (*SyncRequest) membershipMessage()  {}
func (*SyncResponse) membershipMessage() {}

// Action is what the driver has to do after a call.
type Action interface{ membershipAction() }

// Send asks for one message to be sent to an address.
type Send struct {
	To      string
	Message Message
	// Fresh asks for a new connection: an existing one may be silent.
	NewConnection bool
	// Reply prefers the connection on which the answered message came.
	Reply bool
}

// Changed says that the view has a new version.
type ViewChanged struct{ View *View }

// Superseded says that another run under this instance's name has a higher
// incarnation, so this one is outdated or the name is used twice.
type Superseded struct{ By Member }

func (Send) membershipAction()        {}
func (ViewChanged) membershipAction() {}
func (Superseded) membershipAction()  {}
