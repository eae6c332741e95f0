// Package forward sends requests to targets unchanged, in single attempts, over
// HTTP/1.1 connections that it manages itself.
//
// net/http's client resends a request on its own when an idle connection fails, so
// an attempt that may run at most once could run twice. This package never resends
// a request, and each error reports whether any byte may have been sent.
package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/ivyhollow/ivyhollow/coordination/reach"
)

// Timeouts and limits of connections.
const (
	// connectTimeout bounds the opening of a connection. Within a region it takes
	// milliseconds; a lost SYN is retransmitted after a second.
	connectTimeout = 1500 * time.Millisecond
	// silenceTimeout is how long the other end's kernel may be silent: probes are
	// sent each second, and unacknowledged data counts the same. It detects
	// connections whose state a device on the path has lost.
	silenceTimeout = 3 * time.Second
	// maxIdleTime is how long an idle connection is kept if the target doesn't
	// announce a shorter time.
	maxIdleTime = 15 * time.Second
	// idleMargin is subtracted from the idle timeout that a target announces, so
	// that the target doesn't close the connection while a request is in transit.
	idleMargin = time.Second
	// NonRepeatableMaxIdle is how long a connection may have been idle if it is
	// used for a request that must not be repeated. If the target closes the
	// connection at that moment, it is unknown whether the request ran.
	NonRepeatableMaxIdle = time.Second
	// maxIdleThrough is how long a connection through another instance is kept idle.
	maxIdleThrough = 3 * time.Second
	// maxIdlePerTarget bounds the idle connections of one idleKey.
	maxIdlePerTarget = 32
	// maxRequestIDs bounds the requests with an ID that a connection carries.
	maxRequestIDs = 1024
)

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	mu sync.Mutex
	// idle holds the idle connections.
	idle map[idleKey][]*conn
	// waiting has the direct connections on which a request was sent and no response header arrived,
	// and when it was sent.
	waiting map[*conn]time.Time
	// lost has the direct paths that are lost, by service.
	lost map[string]lostPath

	// pathMu protects paths and verdicts. It may be locked while mu is held, but not vice versa.
	pathMu   sync.Mutex
	paths    *reach.Tracker
	verdicts map[string]verdict
}

// idleKey identifies the idle connections that may carry the same requests. It
// distinguishes processes that have the same address one after the other. If a process
// crashes behind a failed link, the connections to it still look healthy. The host of the
// process that has the address now would reset such a connection on its first bytes, and
// a request that may run at most once would count as one that may have run. So a
// connection carries only requests for the process that it was opened for.
type idleKey struct{ address, incarnation, connGroup string }

// conn is a connection to a target.
type conn struct {
	net.Conn
	idleKey
	client  *Client
	service string
	// through is the instance that the connection goes through; empty for a direct one.
	through  string
	openedAt time.Time
	// endIfLost is true if the attempt ends when the path is lost.
	endIfLost bool
	// pathLost is true once an attempt was ended since the path is lost.
	pathLost atomic.Bool
	// waits is true while a request waits for the first byte on a direct connection. It is
	// protected by pathMu.
	waits        bool
	reader       *bufio.Reader
	idleSince    time.Time
	idleTimeout  time.Duration
	bytesWritten int
	// requestIDs are hashes of the IDs of the requests that the connection has carried.
	requestIDs []uint64
	// headLeft is how many more bytes may be read for the head of a response; nil while none is read.
	headLeft *int
	// writeErr is the first error of Write.
	writeErr error
}

// Write counts the bytes sent and stores the first error: net/http wraps the errors of
// body writes so that they can't be distinguished.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += n
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// ClientOptions are the options of a Client.
type ClientOptions struct {
	// Dial opens the connections to targets; nil means Dial of this package.
	Dial DialFunc
	// Detour opens connections to targets that this instance alone doesn't reach. It is nil if
	// there are no other instances; Run isn't needed then.
	Detour Detour
	// OnPathChange is called when a direct path was lost or found, with the number of services
	// whose path is lost.
	OnPathChange func(change reach.Change, lost int)
}

// New returns a client.
func New(o ClientOptions) *Client {
	if o.Dial == nil {
		o.Dial = Dial
	}
	return &Client{
		options: o, idle: map[idleKey][]*conn{}, waiting: map[*conn]time.Time{}, lost: map[string]lostPath{},
		paths: reach.NewTracker(), verdicts: map[string]verdict{},
	}
}

// Dial opens a TCP connection that detects an unreachable other end.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialFrom(nil)(ctx, address)
}

// DialFrom returns Dial for connections from an IP address; nil lets the system choose one.
func DialFrom(source net.IP) DialFunc {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// KeepAlive detects connections whose other end is unreachable within about three
// seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// SetUserTimeout bounds the time that sent data may stay unacknowledged. It is a
// net.Dialer.Control function.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// ErrWithdrawn reports that the target stopped accepting work before the request was sent.
var ErrWithdrawn = errors.New("the target may receive no new work")

// ErrPathLost reports that an attempt was ended since the direct path to its target is lost.
var ErrPathLost = errors.New("the path to the target is lost")

// Step is the step in which an attempt failed.
type Step string

// The steps of an attempt.
const (
	StepConnect Step = "connect"
	StepSend    Step = "send"
	StepReply   Step = "read reply"
	StepBody    Step = "read body"
)

// Error is the error of a failed attempt.
type Error struct {
	Step Step
	Peer string
	// Sent reports whether bytes of the request may have been sent, so that it may
	// have run.
	Sent bool
	// Refused reports that no process listens at the address, which other instances confirm if
	// there are any.
	Refused bool
	Err     error
}

func (e *Error) Error() string { return string(e.Step) + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// takeIdle removes and returns an idle connection that takes the given way, on which nothing was
// received and which has not carried the request before, or returns nil.
func (c *Client) takeIdle(peer idleKey, maxIdle time.Duration, way reach.Way, requestID string) *conn {
	if way == reach.Probe {
		return nil // a new connection shows more
	}
	for {
		k := c.popIdle(peer, way, requestID)
		if k == nil {
			return nil
		}
		idle := time.Since(k.idleSince)
		if idle < min(k.idleTimeout, maxIdle) && c.throughUsable(k) && nothingReceived(k.Conn) {
			return k
		}
		_ = k.Close() // it is not reusable
	}
}

// throughUsable reports whether the instance that a connection goes through, if any, serves on.
func (c *Client) throughUsable(k *conn) bool {
	return k.through == "" || c.options.Detour.Usable(k.through)
}

func (c *Client) popIdle(peer idleKey, way reach.Way, requestID string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[peer]
	for i, k := range slices.Backward(list) {
		if (k.through != "") == (way == reach.Detour) && !k.hasCarried(requestID) {
			c.setIdle(peer, list, slices.Delete(list, i, i+1))
			return k
		}
	}
	return nil
}

// hasCarried reports whether a request with the ID was sent on the connection.
func (k *conn) hasCarried(requestID string) bool {
	return requestID != "" && slices.Contains(k.requestIDs, xxhash.Sum64String(requestID))
}

// recordRequest records that a request is sent on the connection; the ID is empty if it has none.
func (k *conn) recordRequest(requestID string) {
	if requestID != "" {
		k.requestIDs = append(k.requestIDs, xxhash.Sum64String(requestID))
	}
}

// setIdle replaces the list of idle connections of a key by a part of it; mu is held.
func (c *Client) setIdle(key idleKey, list, kept []*conn) {
	clear(list[len(kept):])
	if len(kept) == 0 {
		delete(c.idle, key)
	} else {
		c.idle[key] = kept
	}
}

// putIdle adds a connection to the idle ones, or closes it if there are too many or it doesn't take
// the present way.
func (c *Client) putIdle(k *conn) {
	k.idleSince = time.Now()
	k.bytesWritten = 0
	if k.through != "" {
		k.idleTimeout = min(k.idleTimeout, maxIdleThrough)
	}
	if k.SetDeadline(time.Time{}) != nil || !c.addIdle(k) {
		_ = k.Close() // it is closed already, or no request would use it
	}
}

// addIdle adds a connection to the idle ones. It reports whether there is room for it and it takes the
// present way. That is decided with mu held: a change of the way between the decision and the addition
// would close the other idle connections and leave this one, which no request uses.
func (c *Client) addIdle(k *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pathAvoided(k.service) != (k.through != "") || len(c.idle[k.idleKey]) >= maxIdlePerTarget {
		return false
	}
	c.idle[k.idleKey] = append(c.idle[k.idleKey], k)
	return true
}

// CloseIdle closes connections that have been idle too long, and all idle connections to
// incarnations that are no longer in use.
func (c *Client) CloseIdle(inUse func(incarnation string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for peer, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if inUse(peer.incarnation) && now.Sub(k.idleSince) < k.idleTimeout && c.throughUsable(k) {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // no request uses it
		}
		c.setIdle(peer, list, kept)
	}
	c.forgetVerdicts(now)
}

// nothingReceived reports whether nothing has arrived on an idle connection, neither its
// end nor bytes that belong to no request.
func nothingReceived(nc net.Conn) bool {
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

// Options are the options of one attempt.
type Options struct {
	// Service is the service of the target: the paths to its targets are judged together.
	Service string
	// MayProbe is true if the request can be sent again at little cost, so that it may show whether
	// a lost path is back.
	MayProbe bool
	// EndIfLost ends the attempt with ErrPathLost soon after the direct path to the service is found
	// silent, and after probeTimeout without a response if it is lost already.
	EndIfLost bool
	// RequestID is the ID that the response echoes; empty if it echoes none. A connection carries an ID
	// only once: a target may send a duplicate of an earlier response at any later one, and a duplicate
	// with the expected ID can't be recognized.
	RequestID string
	// Incarnation is the process that the attempt is for. Idle connections to other
	// processes at the address are not used.
	Incarnation string
	// ConnGroup separates connections: each carries only requests of one group.
	ConnGroup string
	// MaxIdle bounds how long a reused connection may have been idle; 0 means
	// maxIdleTime.
	MaxIdle time.Duration
	// Allowed reports, with the connection ready, whether the request may still be sent. If not,
	// the attempt ends with ErrWithdrawn and nothing sent: a connection may take more than a
	// second to open. nil allows all.
	Allowed func() bool
	// EndsWithTarget makes a response whose end is that of its connection count as broken off if the target may have
	// ended. One that leaves serves on until it ends, so its end says nothing of the response either.
	EndsWithTarget bool
	// Matches reports whether a response belongs to this request; nil means that all
	// do. A target may first send a second response to an earlier request, which is
	// skipped.
	Matches func(status int, h http.Header) bool
	// KeepIdle returns how long the target keeps an idle connection, read from the
	// response headers; 0 if they don't say.
	KeepIdle func(h http.Header) time.Duration
}

// maxUnmatchedReplies bounds the responses read for a request until one matches.
const maxUnmatchedReplies = 4

// maxHeadBytes bounds the heads of the responses to a request, in bytes.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong means that the head of a response doesn't end within maxHeadBytes.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// maxUnmatchedBytes bounds the body of a response that is skipped.
const maxUnmatchedBytes = 1 << 20
