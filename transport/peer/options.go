// Package peer connects instances over framed TCP: one-way messages and calls
// by method name, multiplexed over persistent connections.
//
// Every wait and every table is bounded. When a connection has received nothing
// for a while, a heartbeat is sent on it. If the heartbeat gets no response, the
// connection counts as silent and is closed, and a new one is dialled before the
// other instance counts as unreachable.
package peer

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Options are the settings of a Node. Durations and counts that are zero take
// the values of DefaultOptions.
type Options struct {
	// Cluster is the name of the cluster; peers of other clusters are refused.
	Cluster string
	// Self describes this instance. An empty Address is replaced by the
	// listener's address.
	Self membership.Member
	// Listen is the IP address and port to listen on.
	Listen string
	// TLS names the files for mutual TLS. Nil means cleartext, which is only
	// accepted on loopback addresses unless Cleartext allows it everywhere.
	TLS       *TLSFiles
	Cleartext bool

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	// FrameTimeout bounds the time from the first to the last byte of a frame.
	FrameTimeout time.Duration
	WriteTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline, and the run time
	// of a handler.
	CallTimeout time.Duration
	// HeartbeatBusy is the time without received bytes after which a heartbeat
	// is sent while calls wait for a response. HeartbeatIdle is that time while
	// no call waits.
	HeartbeatBusy time.Duration
	HeartbeatIdle time.Duration
	// HeartbeatTimeout is the time after a heartbeat within which any bytes must
	// arrive.
	HeartbeatTimeout time.Duration
	// IdleTimeout is the time without calls and messages after which a
	// connection is closed.
	IdleTimeout time.Duration
	// ReloadInterval is the interval at which the TLS files are checked for
	// changes.
	ReloadInterval time.Duration

	// DialTarget opens the connection to the target of another instance's tunnel. It returns
	// ErrRefused if nothing listens at the address. Nil refuses all tunnels.
	DialTarget func(ctx context.Context, address string) (net.Conn, error)

	// MaxConns bounds the connections, dialled and accepted ones together.
	MaxConns int
	// MaxTunnels bounds the tunnels of other instances through this one.
	MaxTunnels int
	// MaxHandlers bounds the handlers that run concurrently.
	MaxHandlers int
	// MaxPendingCalls bounds the calls that wait for a response on one
	// connection.
	MaxPendingCalls int
	// MaxPendingPosts bounds the messages of Post that wait for a connection to
	// be dialled.
	MaxPendingPosts int
	// QueueLength and QueueBytes bound the write queue of one connection, in
	// frames and bytes.
	QueueLength int
	QueueBytes  int

	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// defaultMaxConns allows two connections, one dialled from either end, with each
// of 1,024 instances, since all instances of a fleet may call the same one.
const defaultMaxConns = 2 * 1024

// DefaultOptions returns the default durations, counts and scope. It leaves
// Cluster, Self, Listen and TLS empty.
func DefaultOptions() Options {
	return Options{
		DialTimeout:      time.Second,
		HandshakeTimeout: 2 * time.Second,
		FrameTimeout:     5 * time.Second,
		WriteTimeout:     2 * time.Second,
		CallTimeout:      5 * time.Second,
		HeartbeatBusy:    500 * time.Millisecond,
		HeartbeatIdle:    20 * time.Second,
		HeartbeatTimeout: 500 * time.Millisecond,
		IdleTimeout:      2 * time.Minute,
		ReloadInterval:   5 * time.Second,
		MaxConns:         defaultMaxConns,
		MaxTunnels:       512,
		MaxHandlers:      128,
		MaxPendingCalls:  256,
		MaxPendingPosts:  64,
		QueueLength:      64,
		QueueBytes:       4 * peer.MaxFrame,
		Scope:            tally.NoopScope,
	}
}

// withDefaults replaces zero values by the defaults.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.DialTimeout = cmp.Or(o.DialTimeout, d.DialTimeout)
	o.HandshakeTimeout = cmp.Or(o.HandshakeTimeout, d.HandshakeTimeout)
	o.FrameTimeout = cmp.Or(o.FrameTimeout, d.FrameTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, d.WriteTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, d.CallTimeout)
	o.HeartbeatBusy = cmp.Or(o.HeartbeatBusy, d.HeartbeatBusy)
	o.HeartbeatIdle = cmp.Or(o.HeartbeatIdle, d.HeartbeatIdle)
	o.HeartbeatTimeout = cmp.Or(o.HeartbeatTimeout, d.HeartbeatTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, d.IdleTimeout)
	o.ReloadInterval = cmp.Or(o.ReloadInterval, d.ReloadInterval)
	o.MaxConns = cmp.Or(o.MaxConns, d.MaxConns)
	o.MaxTunnels = cmp.Or(o.MaxTunnels, d.MaxTunnels)
	o.MaxHandlers = cmp.Or(o.MaxHandlers, d.MaxHandlers)
	o.MaxPendingCalls = cmp.Or(o.MaxPendingCalls, d.MaxPendingCalls)
	o.MaxPendingPosts = cmp.Or(o.MaxPendingPosts, d.MaxPendingPosts)
	o.QueueLength = cmp.Or(o.QueueLength, d.QueueLength)
	o.QueueBytes = cmp.Or(o.QueueBytes, d.QueueBytes)
	if o.Scope == nil {
		o.Scope = d.Scope
	}
	return o
}

// validate checks the options that have no default.
func (o Options) validate() error {
	if o.Cluster == "" || o.Self.Name == "" || o.Self.Incarnation == 0 {
		return errors.New("cluster, name and incarnation must be set")
	}
	if o.TLS != nil || o.Cleartext {
		return nil
	}
	return requireLoopback(o.Listen)
}

// requireLoopback returns an error for addresses beyond loopback. Without TLS,
// anyone on the path could read or forge the messages between instances.
func requireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Wrapf(ErrCleartext, "address %s", address)
	}
	return nil
}
