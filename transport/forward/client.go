// Package forward sends requests to targets as they are, one attempt at a time,
// over HTTP/1.1 connections that it drives itself.
//
// net/http's client sends a request once more, unasked, when a kept connection
// breaks, and an attempt that may run once at most would run twice. Here nothing
// is ever sent a second time, and each failure tells whether any byte may have
// left.
package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	// connectTimeout bounds a connect. Connects within a region take
	// milliseconds; a lost opening packet is sent again after a second.
	connectTimeout = 1500 * time.Millisecond
	// silentAfter is how long the other end's kernel may be silent: probes are
	// sent each second, and data that isn't acknowledged counts the same. It
	// finds connections that something on the way has lost track of.
	silentAfter = 3 * time.Second
	// idleMax is how long a connection is kept that the target didn't bound.
	idleMax = 15 * time.Second
	// idleMargin is taken off a target's own bound: the target must not close
	// while a request is on its way.
	idleMargin = time.Second
	// FreshIdle is how long a connection may have been idle that carries what
	// may not be repeated. A connection that the target closes just then leaves
	// it unknown whether the request ran.
	NonRepeatableMaxIdle = time.Second
	// maxIdlePerTarget bounds the kept connections to one target.
	maxIdlePerTarget = 32
)

// Client sends requests. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer

	mu sync.Mutex
	// idle are the kept connections.
	idle map[peerKey][]*conn
}

// peerKey tells the processes apart that have an address in turn. A process that
// dies behind a cut link leaves connections that look whole: the first bytes on one
// are answered by a reset from the process that has its address now, and what may run
// once at most would then count as one that may have run. So a connection carries
// only what is for the process that it was opened for.
type peerKey struct{ address, process, use string }

// conn is a connection to a target.
type conn struct {
	net.Conn
	peerKey
	reader *bufio.Reader
	since  time.Time
	keep   time.Duration
	writes int
	// writeErr is the first error of a write.
	writeErr error
}

// Write counts the bytes that left, and keeps an error: net/http wraps those of a body's
// writes so that they can't be told apart.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writes += n
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// New returns a client without connections.
func New() *Client {
	return &Client{
		dialer: net.Dialer{Timeout: connectTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout},
		idle:   map[peerKey][]*conn{},
	}
}

// KeepAlive finds connections whose other end is gone within about three
// seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// BoundSilence sets how long sent data may stay without an acknowledgement.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Step is where an attempt failed.
type Step string

// The steps of an attempt.
const (
	StepConnect Step = "connect"
	StepSend    Step = "send"
	StepReply   Step = "read reply"
	StepBody    Step = "read body"
)

// Error is a failed attempt.
type Error struct {
	Step Step
	Peer string
	// Sent tells that bytes of the request may have left: it may have run.
	Sent bool
	// Refused tells that nothing listens at the address.
	Refused bool
	Err     error
}

func (e *Error) Error() string { return string(e.Step) + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// take returns a kept connection that nothing was received on, or nil.
func (c *Client) take(peer peerKey, maxIdle time.Duration) *conn {
	for {
		k := c.pop(peer)
		if k == nil {
			return nil
		}
		idle := time.Since(k.since)
		if idle < min(k.keep, maxIdle) && quiet(k.Conn) {
			return k
		}
		_ = k.Close() // it was of no use any more
	}
}

func (c *Client) pop(peer peerKey) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[peer]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(c.idle, peer)
	} else {
		c.idle[peer] = list[:len(list)-1]
	}
	return k
}

// keep puts a connection back.
func (c *Client) keep(k *conn) {
	k.since = time.Now()
	k.writes = 0
	if k.SetDeadline(time.Time{}) != nil {
		_ = k.Close() // it is closed already
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.peerKey]) >= maxIdlePerTarget {
		_ = k.Close() // one too many
		return
	}
	c.idle[k.peerKey] = append(c.idle[k.peerKey], k)
}

// CloseIdle closes connections that have been idle too long, and all those to
// processes that are not in use any more.
func (c *Client) CloseIdle(inUse func(process string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for peer, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if inUse(peer.process) && now.Sub(k.since) < k.keep {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // nobody waits on it
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, peer)
		} else {
			c.idle[peer] = kept
		}
	}
}

// quiet tells whether nothing has arrived on an idle connection: neither its end
// nor bytes that belong to no request.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, peer peerKey) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp", peer.address)
	if err != nil {
		return nil, &Error{Step: StepConnect, Peer: peer.address, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	return &conn{Conn: nc, peerKey: peer, reader: bufio.NewReader(nc), keep: idleMax}, nil
}

// Options of one attempt.
type Options struct {
	// Process names the incarnation that the attempt is for. Kept connections of
	// others at the address are not used.
	Incarnation string
	// Use keeps connections apart: one carries only requests of one use.
	ConnGroup string
	// MaxIdle bounds how long a kept connection may have been idle; 0 is no
	// bound of its own.
	MaxIdle time.Duration
	// Belongs tells whether a reply is the one to this request. A target may
	// send a second answer to an earlier one first; such are passed over.
	Matches func(status int, h http.Header) bool
	// KeepIdle reads how long the target keeps an idle connection; 0 if it
	// doesn't say.
	KeepIdle func(h http.Header) time.Duration
}

// maxForeignReplies bounds the replies that are passed over.
const maxForeignReplies = 4

// maxForeignBytes bounds the body of a reply that is passed over.
const maxForeignBytes = 1 << 20
