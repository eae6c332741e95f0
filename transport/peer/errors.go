package peer

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Causes of errors, to be tested with errors.Is.
var (
	// ErrCleartext means that a connection beyond loopback would not use TLS.
	ErrCleartext = errors.New("cleartext is allowed on loopback only")
	// ErrClosed means that the node is closed.
	ErrClosed = errors.New("node is closed")
	// ErrSilent means that a heartbeat on the connection got no response.
	ErrSilent = errors.New("connection is silent")
	// ErrConnLost means that the connection ended during a call.
	ErrConnLost = errors.New("connection lost")
	// ErrIdle is the cause of closing a connection that was not used.
	ErrIdle = errors.New("connection is idle")
	// ErrBusy means that a limit on connections, calls or queued frames is
	// reached, here or at the peer.
	ErrBusy = errors.New("too much in flight")
	// ErrVersion means that the peer's protocol version is not supported.
	ErrVersion = errors.New("protocol version not supported")
	// ErrCluster means that the peer belongs to another cluster.
	ErrCluster = errors.New("peer of another cluster")
	// ErrInvalid means that the peer broke the handshake protocol, for example
	// by a first message that is not a valid Hello.
	ErrInvalid = errors.New("invalid handshake")
	// ErrNoMethod means that the peer has no handler for the method.
	ErrNoMethod = errors.New("method is not registered")
	// ErrRefused means that nothing listens at the address of a tunnel.
	ErrRefused = errors.New("nothing listens at the target's address")
	// ErrUnreachable means that a peer doesn't reach the address of a tunnel.
	ErrUnreachable = errors.New("peer doesn't reach the target")
	// ErrHandler means that the peer's handler returned an error.
	ErrHandler = errors.New("handler failed")
)

// Step names the operation in which an error occurred.
type Step string

// The steps of a connection and of a call.
const (
	StepListen    Step = "listen"
	StepDial      Step = "dial"
	StepTLS       Step = "tls"
	StepHandshake Step = "handshake"
	StepRead      Step = "read"
	StepWrite     Step = "write"
	StepCall      Step = "call"
	StepTunnel    Step = "tunnel"
)

// Error is an error of this package with its step, peer and cause.
type Error struct {
	Step Step
	// Peer is the address of the other instance.
	Peer string
	// NotRun is true only if the method is known not to have started at the
	// peer. If it is false, the method may have run.
	NotRun bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// wrapError wraps cause in an Error, unless it contains one already.
func wrapError(step Step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	var e *Error
	if errors.As(cause, &e) {
		return cause
	}
	return &Error{Step: step, Peer: peer, Cause: cause}
}

// notRunError returns the Error of a call that did not start at the peer.
func notRunError(step Step, peer string, cause error) error {
	return &Error{Step: step, Peer: peer, NotRun: true, Cause: cause}
}

// codeError returns the error for a code of the protocol; nil for CodeOK.
func codeError(code peer.Code, reason string) error {
	cause := ErrInvalid
	switch code {
	case peer.CodeOK:
		return nil
	case peer.CodeVersion:
		cause = ErrVersion
	case peer.CodeCluster:
		cause = ErrCluster
	case peer.CodeBusy:
		cause = ErrBusy
	case peer.CodeNoMethod:
		cause = ErrNoMethod
	case peer.CodeFailed:
		cause = ErrHandler
	case peer.CodeRefused:
		cause = ErrRefused
	case peer.CodeUnreachable:
		cause = ErrUnreachable
	}
	return errors.Wrap(cause, reason)
}
