// Package peer connects instances over framed TCP: one-way gossip and calls by
// method name, multiplexed over kept connections.
//
// Every wait and every table in it is bounded. A connection on which nothing
// arrives is probed by a heartbeat; when that is missed the connection counts
// as silent, is closed, and a new one is tried before the other instance
// counts as unreachable.
package peer

import (
	"cmp"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Options are the settings of a Node. Zero durations and counts take the
// defaults of DefaultOptions.
type Options struct {
	// Cluster names the cluster; peers of another one are refused.
	Cluster string
	// Self describes this instance. An empty Address takes the listener's.
	Self membership.Member
	// Listen is the IP address and port to listen on.
	Listen string
	// TLS names the files for mutual TLS. Nil means cleartext, which is
	// refused on addresses that are not loopback unless Cleartext allows it.
	TLS       *TLSFiles
	Cleartext bool

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	// FrameTimeout bounds the time from a frame's length to its last byte.
	FrameTimeout time.Duration
	WriteTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline, and the time a
	// handler may take.
	CallTimeout time.Duration
	// HeartbeatBusy is how long nothing may arrive before a heartbeat while a
	// call waits for its answer, HeartbeatIdle the same while none does.
	HeartbeatBusy time.Duration
	HeartbeatIdle time.Duration
	// HeartbeatTimeout is how long a heartbeat waits for any sign.
	HeartbeatTimeout time.Duration
	// IdleClose closes a connection without messages for so long.
	IdleTimeout time.Duration
	// ReloadEvery is how often the TLS files are looked at for a change.
	ReloadInterval time.Duration

	// MaxConns bounds the connections, both ways together.
	MaxConns int
	// MaxHandlers bounds the handlers that run at once.
	MaxHandlers int
	// MaxPending bounds the calls that wait on one connection.
	MaxPendingCalls int
	// MaxPosts bounds the one-way messages that wait for a connection.
	MaxPendingPosts int
	// QueueLength and QueueBytes bound what waits to be written on one
	// connection.
	QueueLength int
	QueueBytes  int

	// Scope takes the metrics; nil drops them.
	Scope tally.Scope
}

// defaultMaxConns has room for two connections, one dialled from either end, with each
// of 1,024 instances: in a fleet all of them may ask one.
const defaultMaxConns = 2 * 1024

// DefaultOptions returns the defaults, without cluster, self and addresses.
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
		MaxHandlers:      128,
		MaxPendingCalls:  256,
		MaxPendingPosts:  64,
		QueueLength:      64,
		QueueBytes:       4 * peer.MaxFrame,
		Scope:            tally.NoopScope,
	}
}

// withDefaults fills what is zero.
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

// validate checks what has no default.
func (o Options) validate() error {
	if o.Cluster == "" || o.Self.Name == "" || o.Self.Incarnation == 0 {
		return errors.New("cluster, name and incarnation must be set")
	}
	if o.TLS != nil || o.Cleartext {
		return nil
	}
	return requireLoopback(o.Listen)
}

// requireLoopback refuses addresses that a cleartext connection must not use:
// anyone on the path could read or forge what instances tell one another.
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
