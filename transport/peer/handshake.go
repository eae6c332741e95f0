package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// errTLS marks a failed TLS handshake.
var errTLS = errors.New("TLS handshake failed")

// maxNameLength bounds each text of a Hello, in bytes.
const maxNameLength = 256

// hello describes this instance.
func (n *Node) localHello() peer.Hello {
	self := n.opts.Self
	return peer.Hello{
		Version:     peer.Version,
		Cluster:     n.opts.Cluster,
		Name:        self.Name,
		Address:     self.Address,
		CallerURL:   self.CallerURL,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
		Capacity:    self.Capacity,
	}
}

// welcome does the accepting end's handshake. All of it shares one deadline,
// so that a slow or mute client holds its place for a bounded time only.
func (n *Node) acceptHandshake(c *conn) error {
	if err := c.nc.SetDeadline(time.Now().Add(n.opts.HandshakeTimeout)); err != nil {
		return err
	}
	if err := n.startTLS(c, n.serverTLS, tls.Server); err != nil {
		return err
	}
	m, err := c.read(peer.MaxHandshakeFrame)
	if err != nil {
		return err
	}
	hello, ok := m.(*peer.Hello)
	if !ok {
		return errors.Wrapf(ErrInvalid, "first message is %T", m)
	}
	answer := &peer.Welcome{Hello: n.localHello()}
	answer.Code, answer.Reason = n.validateHello(hello)
	if err := c.writeHandshake(answer); err != nil {
		return err
	}
	if answer.Code != peer.CodeOK {
		return codeError(answer.Code, answer.Reason)
	}
	c.setPeer(*hello)
	return c.nc.SetDeadline(time.Time{})
}

// judge says whether a Hello is accepted.
func (n *Node) validateHello(h *peer.Hello) (peer.Code, string) {
	if h.Version < peer.MinVersion {
		return peer.CodeVersion, fmt.Sprintf("version %d is older than %d, the oldest spoken here", h.Version, peer.MinVersion)
	}
	if h.Cluster != n.opts.Cluster {
		return peer.CodeCluster, "this instance belongs to another cluster"
	}
	if h.Name == "" || h.Address == "" || h.Incarnation == 0 {
		return peer.CodeInvalid, "name, address and incarnation must be set"
	}
	for _, s := range []string{h.Name, h.Address, h.CallerURL, h.DataCentre} {
		if len(s) > maxNameLength {
			return peer.CodeInvalid, "a field is too long"
		}
	}
	return peer.CodeOK, ""
}

// greet does the dialling end's handshake.
func (n *Node) dialHandshake(c *conn) error {
	if err := c.nc.SetDeadline(time.Now().Add(n.opts.HandshakeTimeout)); err != nil {
		return err
	}
	if err := n.startTLS(c, n.clientTLS, tls.Client); err != nil {
		return wrapError(StepTLS, c.dialedAddress, err)
	}
	hello := n.localHello()
	if err := c.writeHandshake(&hello); err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	m, err := c.read(peer.MaxHandshakeFrame)
	if err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	answer, ok := m.(*peer.Welcome)
	if !ok {
		return wrapError(StepHandshake, c.dialedAddress, errors.Wrapf(ErrInvalid, "answer is %T", m))
	}
	if err := codeError(answer.Code, answer.Reason); err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	if err := codeError(n.validateHello(&answer.Hello)); err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	c.setPeer(answer.Hello)
	return c.nc.SetDeadline(time.Time{})
}

// startTLS wraps a connection in TLS, or checks that cleartext may be used.
func (n *Node) startTLS(c *conn, config *tls.Config, wrap func(net.Conn, *tls.Config) *tls.Conn) error {
	if config == nil {
		if n.opts.Cleartext {
			return nil
		}
		return requireLoopback(c.nc.RemoteAddr().String())
	}
	if c.dialedAddress != "" {
		// The name is only the key of the session cache.
		config = config.Clone()
		config.ServerName = c.dialedAddress
	}
	t := wrap(c.nc, config)
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.HandshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		return errors.Mark(err, errTLS)
	}
	c.useTLS(t)
	return nil
}

// dialAttempt is one dial that all who need the address wait for.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// link returns the connection to an address and dials if there is none, or if
// a fresh one is asked for.
func (n *Node) connTo(ctx context.Context, address string, fresh bool) (*conn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, notRunError(StepDial, address, ErrClosed)
	}
	if c := n.connByAddress[address]; c != nil && !fresh && !c.isClosed() {
		n.mu.Unlock()
		return c, nil
	}
	attempt := n.dialing[address]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		n.dialing[address] = attempt
		n.wg.Go(func() { n.dial(address, attempt) })
	}
	n.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, notRunError(StepDial, address, ctx.Err())
	}
}

// dial makes a connection, becomes the address's link and reads from it.
func (n *Node) dial(address string, attempt *dialAttempt) {
	c, err := n.connect(address)
	n.mu.Lock()
	delete(n.dialing, address)
	if err == nil {
		n.connByAddress[address] = c
	}
	n.mu.Unlock()
	attempt.conn, attempt.err = c, err
	close(attempt.done)
	if err == nil {
		c.run()
	}
}

// connect dials an address and does the handshake.
func (n *Node) connect(address string) (*conn, error) {
	n.metrics.dials.Inc(1)
	if n.clientTLS == nil && !n.opts.Cleartext {
		if err := requireLoopback(address); err != nil {
			return nil, notRunError(StepDial, address, err)
		}
	}
	dialer := net.Dialer{Timeout: n.opts.DialTimeout}
	nc, err := dialer.DialContext(n.ctx, "tcp", address)
	if err != nil {
		return nil, notRunError(StepDial, address, err)
	}
	c, err := n.addConn(nc, address)
	if err != nil {
		_ = nc.Close()
		return nil, notRunError(StepDial, address, err)
	}
	if err := n.dialHandshake(c); err != nil {
		c.close(err)
		var e *Error
		if errors.As(err, &e) {
			return nil, notRunError(e.Step, address, e.Cause)
		}
		return nil, notRunError(StepHandshake, address, err)
	}
	return c, nil
}
