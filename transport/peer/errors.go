package peer

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Causes of errors, to be asked for by errors.Is.
var (
	// ErrCleartext refuses a connection without TLS beyond loopback.
	ErrCleartext = errors.New("cleartext is allowed on loopback only")
	// ErrClosed says that the node is closed.
	ErrClosed = errors.New("node is closed")
	// ErrSilent says that a heartbeat on the connection was missed.
	ErrSilent = errors.New("connection is silent")
	// ErrConnLost says that the connection ended while it was needed.
	ErrConnLost = errors.New("connection lost")
	// ErrIdle closes a connection that was not used.
	ErrIdle = errors.New("connection is idle")
	// ErrBusy says that a bound is reached, here or at the peer.
	ErrBusy = errors.New("too much in flight")
	// ErrVersion says that the peer's protocol version is not spoken here.
	ErrVersion = errors.New("protocol version not supported")
	// ErrCluster says that the peer belongs to another cluster.
	ErrCluster = errors.New("peer of another cluster")
	// ErrInvalid says that the peer's first message is no valid Hello.
	ErrInvalid = errors.New("invalid handshake")
	// ErrNoMethod says that the peer has no handler for the method.
	ErrNoMethod = errors.New("method is not registered")
	// ErrHandler says that the peer's handler failed.
	ErrHandler = errors.New("handler failed")
)

// Step names what was being done when an error arose.
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
)

// Error is an error of this package: the step, the peer and the cause.
type Error struct {
	Step Step
	// Peer is the address of the other instance.
	Peer string
	// NotRun is true only if the call is known not to have started at the
	// peer. With false it may have.
	NotRun bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// fail wraps a cause in an Error, unless it is one already.
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

// notRun marks an error of a call that certainly did not start.
func notRunError(step Step, peer string, cause error) error {
	return &Error{Step: step, Peer: peer, NotRun: true, Cause: cause}
}

// codeError translates a code into its cause.
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
	}
	return errors.Wrap(cause, reason)
}
