package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Node manages this instance's connections to other instances.
type Node struct {
	opts      Options
	creds     *credentials
	serverTLS *tls.Config
	clientTLS *tls.Config
	metrics   metrics

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	listener net.Listener
	// handlerSlots holds a token for each running handler.
	handlerSlots chan struct{}
	// postSlots holds a token for each message of Post that waits for a
	// connection.
	postSlots chan struct{}

	mu     sync.Mutex
	closed bool
	// conns holds all connections, those in the handshake included.
	conns map[*conn]struct{}
	// connByAddress holds the connection to use for each peer address.
	connByAddress map[string]*conn
	dialing       map[string]*dialAttempt
	methods       map[string]method
	onMessage     func(from Peer, m peer.Message)

	bytesIn  atomic.Int64
	bytesOut atomic.Int64

	// tunnels is the number of tunnels of other instances through this one.
	tunnels atomic.Int64
	// noTunnels is true once this instance accepts no new ones.
	noTunnels atomic.Bool
}

// Stats are counts since the start of a Node.
type Stats struct {
	// BytesIn and BytesOut are the bytes received and sent on the connections,
	// with the overhead of TLS but without TCP and IP headers.
	BytesIn  int64
	BytesOut int64
	// Conns is the current number of connections.
	Conns int
}

// New checks the options, reads the TLS files and returns a Node that does not
// listen yet.
func New(opts Options) (*Node, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, wrapError(StepListen, opts.Listen, err)
	}
	n := &Node{
		opts:          opts,
		metrics:       newMetrics(opts.Scope),
		handlerSlots:  make(chan struct{}, opts.MaxHandlers),
		postSlots:     make(chan struct{}, opts.MaxPendingPosts),
		conns:         make(map[*conn]struct{}),
		connByAddress: make(map[string]*conn),
		dialing:       make(map[string]*dialAttempt),
		methods:       make(map[string]method),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if opts.TLS != nil {
		creds, err := loadCredentials(*opts.TLS)
		if err != nil {
			return nil, wrapError(StepTLS, opts.Listen, err)
		}
		n.creds = creds
		n.serverTLS = creds.serverConfig()
		n.clientTLS = creds.clientConfig()
	}
	return n, nil
}

// Listen binds the address of Options.Listen. Start accepts the connections.
func (n *Node) Listen() error {
	listener, err := net.Listen("tcp", n.opts.Listen)
	if err != nil {
		return wrapError(StepListen, n.opts.Listen, err)
	}
	n.listener = listener
	if n.opts.Self.Address == "" {
		n.opts.Self.Address = listener.Addr().String()
	}
	return nil
}

// Start begins to accept connections. Handle and OnMessage must be called before.
func (n *Node) Start() {
	n.wg.Go(n.acceptLoop)
	n.wg.Go(n.monitor)
	if n.creds != nil {
		n.wg.Go(func() { n.creds.watch(n.ctx, n.opts.ReloadInterval) })
	}
}

// Addr returns the address that peers dial.
func (n *Node) Addr() string { return n.opts.Self.Address }

// ListenAddr returns the bound address, which differs from Addr behind network
// address translation.
func (n *Node) ListenAddr() string { return n.listener.Addr().String() }

// OnMessage sets the receiver of one-way messages. fn is called from the readers
// of the connections and must not block.
func (n *Node) OnMessage(fn func(from Peer, m peer.Message)) { n.onMessage = fn }

// Stats returns the counts.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Stats{BytesIn: n.bytesIn.Load(), BytesOut: n.bytesOut.Load(), Conns: len(n.conns)}
}

// Close closes the listener and all connections, and waits for all goroutines.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	open := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		open = append(open, c)
	}
	n.mu.Unlock()
	n.cancel()
	var err error
	if n.listener != nil {
		err = n.listener.Close()
	}
	for _, c := range open {
		c.close(ErrClosed)
	}
	n.wg.Wait()
	return err
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 500 * time.Millisecond

// acceptLoop accepts connections until the listener is closed.
func (n *Node) acceptLoop() {
	for {
		nc, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			// The process may be out of file descriptors: without a delay this
			// loop would use a whole core until some are free again.
			klog.ErrorS(err, "Accepting a peer connection failed")
			sleep(n.ctx, acceptRetryDelay)
			continue
		}
		c, err := n.addConn(nc, "")
		if err != nil {
			n.metrics.refused(StepHandshake, err)
			_ = nc.Close()
			continue
		}
		n.wg.Go(func() { n.serveAccepted(c) })
	}
}

// sleep waits for a duration or for the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// serveAccepted performs the handshake of an accepted connection and reads from
// it until it ends.
func (n *Node) serveAccepted(c *conn) {
	if err := n.acceptHandshake(c); err != nil {
		n.metrics.refused(StepHandshake, err)
		klog.V(2).InfoS("Peer connection refused", "peer", c.remoteAddress, "err", err)
		n.closeTunnel(c, err)
		return
	}
	if c.target != nil {
		n.serveTunnel(c)
		return
	}
	n.setAddress(c)
	c.run()
}

// addConn adds a connection over a new socket, or returns ErrBusy if there are
// MaxConns already. dialedAddress is empty for an accepted connection.
func (n *Node) addConn(nc net.Conn, dialedAddress string) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	if len(n.conns) >= n.opts.MaxConns {
		return nil, errors.Wrapf(ErrBusy, "%d connections", len(n.conns))
	}
	c := newConn(n, nc, dialedAddress)
	n.conns[c] = struct{}{}
	return c, nil
}

// setAddress makes an accepted connection the one to use for its peer's address
// if there is none. A connection to an earlier incarnation at the same address is
// replaced and closed.
func (n *Node) setAddress(c *conn) {
	address := c.peer.Address
	n.mu.Lock()
	old := n.connByAddress[address]
	if old == nil || old.peer.Incarnation < c.peer.Incarnation {
		n.connByAddress[address] = c
	}
	n.mu.Unlock()
	if old != nil && old.peer.Incarnation < c.peer.Incarnation {
		old.close(errors.Wrap(ErrConnLost, "a newer run has the address"))
	}
}

// removeConn removes a connection that is being closed from all tables.
func (n *Node) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	n.removeAddress(c.dialedAddress, c)
	if c.ready.Load() {
		n.removeAddress(c.peer.Address, c)
	}
}

// removeAddress removes c as the connection to an address; n.mu must be held.
func (n *Node) removeAddress(address string, c *conn) {
	if n.connByAddress[address] == c {
		delete(n.connByAddress, address)
	}
}

// metrics holds the counters of a Node.
type metrics struct {
	scope    tally.Scope
	dials    tally.Counter
	silent   tally.Counter
	dropped  tally.Counter
	unknown  tally.Counter
	bytesIn  tally.Counter
	bytesOut tally.Counter
	tunnels  tally.Gauge
}

// newMetrics creates the counters.
func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("peer")
	return metrics{
		scope:    s,
		dials:    s.Counter("dials"),
		silent:   s.Counter("silent_connections"),
		dropped:  s.Counter("gossip_dropped"),
		unknown:  s.Counter("unknown_messages"),
		bytesIn:  s.Counter("bytes_in"),
		bytesOut: s.Counter("bytes_out"),
		tunnels:  s.Gauge("tunnels"),
	}
}

// refused counts a connection that was refused or ended by invalid input.
func (m metrics) refused(step Step, err error) {
	m.scope.Tagged(map[string]string{"step": string(step), "reason": refusalReason(err)}).Counter("refused").Inc(1)
}

// refusalReason returns the tag value of an error. The set of values is fixed, so
// that invalid input cannot add time series to the metrics.
func refusalReason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, peer.ErrFrameSize):
		return "frame_size"
	case errors.Is(err, peer.ErrMalformed):
		return "malformed"
	case errors.Is(err, ErrVersion):
		return "version"
	case errors.Is(err, ErrCluster):
		return "cluster"
	case errors.Is(err, ErrInvalid):
		return "invalid"
	case errors.Is(err, ErrBusy):
		return "busy"
	case errors.Is(err, ErrCleartext):
		return "cleartext"
	case errors.Is(err, errTLS):
		return "tls"
	case errors.Is(err, ErrRefused), errors.Is(err, ErrUnreachable):
		return "tunnel"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	return "cut_short"
}
