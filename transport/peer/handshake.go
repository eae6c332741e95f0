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

// errTLS marks the errors of failed TLS handshakes.
var errTLS = errors.New("TLS handshake failed")

// maxNameLength bounds each string of a Hello, in bytes.
const maxNameLength = 256

// localHello returns the Hello that describes this instance.
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

// acceptHandshake performs the handshake on an accepted connection. The whole
// handshake has one deadline, so that a slow or silent client occupies one of the
// MaxConns connections for a bounded time only.
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
	welcome := &peer.Welcome{Hello: n.localHello()}
	welcome.Code, welcome.Reason = n.validateHello(hello)
	if welcome.Code == peer.CodeOK && hello.Tunnel != "" {
		welcome.Code, welcome.Reason = n.openTunnel(c, hello)
	}
	if err := c.writeHandshake(welcome); err != nil {
		return err
	}
	if welcome.Code != peer.CodeOK {
		return codeError(welcome.Code, welcome.Reason)
	}
	if c.target == nil {
		c.setPeer(*hello)
	}
	return c.nc.SetDeadline(time.Time{})
}

// validateHello returns CodeOK if the Hello is acceptable, or else the code and
// the reason of the refusal.
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
	for _, s := range []string{h.Name, h.Address, h.CallerURL, h.DataCentre, h.Tunnel} {
		if len(s) > maxNameLength {
			return peer.CodeInvalid, "a field is too long"
		}
	}
	return peer.CodeOK, ""
}

// dialHandshake performs the handshake on a dialled connection, as the Hello requests it.
func (n *Node) dialHandshake(c *conn, hello peer.Hello) error {
	if err := c.nc.SetDeadline(time.Now().Add(n.opts.HandshakeTimeout)); err != nil {
		return err
	}
	if err := n.startTLS(c, n.clientTLS, tls.Client); err != nil {
		return wrapError(StepTLS, c.dialedAddress, err)
	}
	if err := c.writeHandshake(&hello); err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	m, err := c.read(peer.MaxHandshakeFrame)
	if err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	welcome, ok := m.(*peer.Welcome)
	if !ok {
		return wrapError(StepHandshake, c.dialedAddress, errors.Wrapf(ErrInvalid, "answer is %T", m))
	}
	if err := codeError(welcome.Code, welcome.Reason); err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	if err := codeError(n.validateHello(&welcome.Hello)); err != nil {
		return wrapError(StepHandshake, c.dialedAddress, err)
	}
	if hello.Tunnel == "" {
		c.setPeer(welcome.Hello)
	} else if welcome.Hello.Version < peer.TunnelVersion {
		return wrapError(StepTunnel, c.dialedAddress, errors.Wrapf(ErrVersion, "version %d opens no tunnels", welcome.Hello.Version))
	}
	return c.nc.SetDeadline(time.Time{})
}

// startTLS performs the TLS handshake, or checks that cleartext is allowed if TLS
// is not configured.
func (n *Node) startTLS(c *conn, config *tls.Config, wrap func(net.Conn, *tls.Config) *tls.Conn) error {
	if config == nil {
		if n.opts.Cleartext {
			return nil
		}
		return requireLoopback(c.nc.RemoteAddr().String())
	}
	if c.dialedAddress != "" {
		// ServerName is only used as the key of the session cache; verify
		// does not compare host names.
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

// dialAttempt is a dial in progress, shared by all callers that need a
// connection to the address. conn and err are set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// connTo returns the connection to an address. It dials if there is none, or if
// fresh is set.
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

// dial establishes a connection, makes it the connection to its address, and
// reads from it until it ends.
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

// checkCleartext returns an error if connections to an address need TLS, which isn't configured.
func (n *Node) checkCleartext(address string) error {
	if n.clientTLS != nil || n.opts.Cleartext {
		return nil
	}
	return requireLoopback(address)
}

// connect dials an address and performs the handshake.
func (n *Node) connect(address string) (*conn, error) {
	n.metrics.dials.Inc(1)
	if err := n.checkCleartext(address); err != nil {
		return nil, notRunError(StepDial, address, err)
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
	if err := n.dialHandshake(c, n.localHello()); err != nil {
		c.close(err)
		var e *Error
		if errors.As(err, &e) {
			return nil, notRunError(e.Step, address, e.Cause)
		}
		return nil, notRunError(StepHandshake, address, err)
	}
	return c, nil
}
