// Package peer defines the messages between instances and their framing: a
// uint32 length in network byte order, one byte for the message type, and the
// message in msgpack. The handshake is encoded as maps with field names, so that
// any two versions can read it; all other messages are encoded as arrays to save
// bytes, and a type whose fields change gets a new number. docs/api/peers.md is
// the contract.
package peer

import (
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

// Version is the protocol version of this build, and MinVersion the oldest
// version that it accepts.
const (
	Version    = 4
	MinVersion = 2
	// OffersVersion is the first version that understands spread.Offers.
	OffersVersion = 3
	// TunnelVersion is the first version that understands Hello.Tunnel.
	TunnelVersion = 4
)

// Type is the type number of a message on the wire. A number is never reused.
type Type byte

// Message types.
const (
	TypeHello        Type = 1
	TypeWelcome      Type = 2
	TypeHeartbeat    Type = 3
	TypeHeartbeatAck Type = 4
	TypePing         Type = 10
	TypePingReq      Type = 11
	TypeAck          Type = 12
	TypeSyncRequest  Type = 13
	TypeSyncResponse Type = 14
	TypePush         Type = 20
	TypePull         Type = 21
	TypePullResponse Type = 22
	TypeLoads        Type = 23
	TypeOffers       Type = 24
	TypeRequest      Type = 30
	TypeResponse     Type = 31
	TypeData         Type = 40
	TypeEnd          Type = 41
)

// Message is any message of this protocol: a pointer to a message struct of
// this package, of membership or of spread.
type Message any

// Hello opens a connection. Both ends send it, the dialing end first.
type Hello struct {
	Version     int
	Cluster     string
	Name        string
	Address     string
	CallerURL   string
	DataCentre  string
	Incarnation uint64
	Capacity    uint32
	// Tunnel is the address of the target that the connection is to be a tunnel to; empty for a
	// connection between instances.
	Tunnel string `msgpack:"Tunnel,omitempty"`
}

// Member returns the sender of the Hello as a member that is alive.
func (h Hello) Member() membership.Member {
	return membership.Member{
		Name:        h.Name,
		Address:     h.Address,
		CallerURL:   h.CallerURL,
		DataCentre:  h.DataCentre,
		Incarnation: h.Incarnation,
		Capacity:    h.Capacity,
	}
}

// Code is the result of a handshake or of a call.
type Code int

// Codes of Welcome and Response.
const (
	CodeOK Code = iota
	// CodeVersion means that the supported versions do not overlap.
	CodeVersion
	// CodeCluster means that the peer belongs to another cluster.
	CodeCluster
	// CodeBusy means that a limit of the receiver is reached and no handler ran.
	CodeBusy
	// CodeNoMethod means that the method is not registered and no handler ran.
	CodeNoMethod
	// CodeFailed means that the handler returned an error.
	CodeFailed
	// CodeInvalid means that the Hello lacks a field.
	CodeInvalid
	// CodeRefused means that nothing listens at the address of a tunnel.
	CodeRefused
	// CodeUnreachable means that the address of a tunnel can't be reached from the receiver.
	CodeUnreachable
)

// Welcome is the response to a Hello. If Code is not CodeOK, the connection is
// refused and closed, and Reason states why.
type Welcome struct {
	Code   Code
	Reason string
	Hello  Hello
}

// Heartbeat requests a HeartbeatAck, to distinguish an idle connection from an
// unresponsive one.
type Heartbeat struct{ Seq uint64 }

// HeartbeatAck acknowledges the Heartbeat with the same Seq.
type HeartbeatAck struct{ Seq uint64 }

// Request calls a method by name. ID is unique on its connection.
type Request struct {
	ID     uint64
	Method string
	// TimeoutMillis is how long the requester waits.
	TimeoutMillis uint32
	Body          []byte
}

// Response is the result of the Request with the same ID.
type Response struct {
	ID     uint64
	Code   Code
	Reason string
	Body   []byte
}

// Data carries bytes through a tunnel, in either direction.
type Data struct{ Bytes []byte }

// End ends the bytes of a tunnel's target. Without it the connection to the target broke off.
type End struct{}

// newMessage returns an empty message of type t, or nil if t is unknown.
func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeWelcome:
		return new(Welcome)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeHeartbeatAck:
		return new(HeartbeatAck)
	case TypePing:
		return new(membership.Ping)
	case TypePingReq:
		return new(membership.PingReq)
	case TypeAck:
		return new(membership.Ack)
	case TypeSyncRequest:
		return new(membership.SyncRequest)
	case TypeSyncResponse:
		return new(membership.SyncResponse)
	case TypePush:
		return new(spread.Push)
	case TypePull:
		return new(spread.Pull)
	case TypePullResponse:
		return new(spread.PullResponse)
	case TypeLoads:
		return new(spread.Loads)
	case TypeOffers:
		return new(spread.Offers)
	case TypeRequest:
		return new(Request)
	case TypeResponse:
		return new(Response)
	case TypeData:
		return new(Data)
	case TypeEnd:
		return new(End)
	}
	return nil
}

// typeOf returns the wire type of m, or 0 if m is not a message.
func typeOf(m Message) Type {
	switch m.(type) {
	case *Hello:
		return TypeHello
	case *Welcome:
		return TypeWelcome
	case *Heartbeat:
		return TypeHeartbeat
	case *HeartbeatAck:
		return TypeHeartbeatAck
	case *membership.Ping:
		return TypePing
	case *membership.PingReq:
		return TypePingReq
	case *membership.Ack:
		return TypeAck
	case *membership.SyncRequest:
		return TypeSyncRequest
	case *membership.SyncResponse:
		return TypeSyncResponse
	case *spread.Push:
		return TypePush
	case *spread.Pull:
		return TypePull
	case *spread.PullResponse:
		return TypePullResponse
	case *spread.Loads:
		return TypeLoads
	case *spread.Offers:
		return TypeOffers
	case *Request:
		return TypeRequest
	case *Response:
		return TypeResponse
	case *Data:
		return TypeData
	case *End:
		return TypeEnd
	}
	return 0
}
