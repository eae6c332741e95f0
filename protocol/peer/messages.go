// Package peer holds the messages between instances and their framing: a
// uint32 length in network order, one byte that names the type, and the
// message in msgpack. The handshake is sent as maps with field names, so that
// any two versions can read it; all else as arrays to save bytes, and a type
// whose fields change gets a new number. docs/api/peers.md is the contract.
package peer

import (
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

// Version is the protocol version this code speaks, and MinVersion the oldest
// it accepts.
const (
	Version    = 2
	MinVersion = 2
)

// Type names the type of a message on the wire. A number is never reused.
type Type byte

// The types of messages.
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
	TypeRequest      Type = 30
	TypeResponse     Type = 31
)

// Message is any message of this protocol: a pointer to one of the structs of
// this package, of membership or of spread.
type Message any

// Hello opens a connection. Both ends send it; the dialling end first.
type Hello struct {
	Version     int
	Cluster     string
	Name        string
	Address     string
	CallerURL   string
	DataCentre  string
	Incarnation uint64
	Capacity    uint32
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

// Code says how a handshake or a call ended.
type Code int

// The codes of Welcome and Answer.
const (
	CodeOK Code = iota
	// CodeVersion: the versions have no overlap.
	CodeVersion
	// CodeCluster: the peer belongs to another cluster.
	CodeCluster
	// CodeBusy: a bound of the receiver is reached; nothing was run.
	CodeBusy
	// CodeNoMethod: the method is not registered; nothing was run.
	CodeNoMethod
	// CodeFailed: the handler returned an error.
	CodeFailed
	// CodeInvalid: the Hello lacks a field.
	CodeInvalid
)

// Welcome answers a Hello. With another code than CodeOK, Reason says why the
// connection is refused, and the connection is closed.
type Welcome struct {
	Code   Code
	Reason string
	Hello  Hello
}

// Heartbeat asks for a HeartbeatAck, to tell an idle connection from a silent
// one.
type Heartbeat struct{ Seq uint64 }

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct{ Seq uint64 }

// Ask is a request by method name. ID is unique on its connection.
type Request struct {
	ID     uint64
	Method string
	// TimeoutMillis is how long the asker waits.
	TimeoutMillis uint32
	Body          []byte
}

// Answer answers the Ask with the same ID.
type Response struct {
	ID     uint64
	Code   Code
	Reason string
	Body   []byte
}

// newMessage returns an empty message of a type, nil for an unknown type.
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
	case TypeRequest:
		return new(Request)
	case TypeResponse:
		return new(Response)
	}
	return nil
}

// typeOf returns the wire type of a message, 0 for anything else.
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
	case *Request:
		return TypeRequest
	case *Response:
		return TypeResponse
	}
	return 0
}
