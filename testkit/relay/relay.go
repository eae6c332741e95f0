// Package relay is a TCP relay for tests. It forwards a loopback port and, on
// command, makes the connections through it fail as a network does: they go
// silent while new ones work, they are reset, refused or slow. Commands come
// from the test itself or over HTTP, for a relay in a process of its own.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the way of the bytes that a command concerns.
type Direction uint8

// The directions.
const (
	Both Direction = iota
	ToTarget
	ToClient
)

// ways is the number of single directions; way turns one into an index.
const ways = 2

// has tells whether the direction includes the way with index 0 (to the
// target) or 1 (to the client).
func (d Direction) has(way int) bool {
	return d == Both || int(d)-1 == way
}

// dialTimeout bounds the wait for the target.
const dialTimeout = 5 * time.Second

// Relay forwards the connections of one port to one target.
type Relay struct {
	target   string
	port     *port
	delays   [ways]atomic.Int64
	counters counters
	wg       sync.WaitGroup

	mu      sync.Mutex
	links   map[*link]struct{}
	muteNew [ways]bool
	closed  bool
}

// ErrClosed is returned by a command to a relay that is closed.
var ErrClosed = errors.New("relay: closed")

// Start listens on the address, such as 127.0.0.1:0, and forwards to the target.
func Start(address, target string) (*Relay, error) {
	p, err := reserve(address)
	if err != nil {
		return nil, fmt.Errorf("relay: reserve %s: %w", address, err)
	}
	r := &Relay{target: target, port: p, links: map[*link]struct{}{}}
	r.counters.init()
	if err := r.listen(); err != nil {
		p.release()
		return nil, err
	}
	return r, nil
}

// Addr is the IP:port that the relay listens on. It stays the same, and stays
// reserved, also while new connections are refused.
func (r *Relay) Addr() string { return r.port.address }

// listen starts to accept connections, if the relay doesn't yet.
func (r *Relay) listen() error {
	l, err := r.port.listen()
	if err != nil {
		return fmt.Errorf("relay: listen on %s: %w", r.port.address, err)
	}
	if l != nil {
		r.wg.Go(func() { r.accept(l) })
	}
	return nil
}

func (r *Relay) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		link := r.add(conn)
		if link == nil {
			reset(conn)
			continue
		}
		r.wg.Go(func() { r.serve(link) })
	}
}

// add registers a connection before its target is dialled, so that no command
// misses it. It returns nil when the relay is closed.
func (r *Relay) add(conn net.Conn) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	l := newLink(conn, &r.delays, &r.counters)
	for way := range ways {
		l.muted[way].Store(r.muteNew[way])
	}
	r.links[l] = struct{}{}
	r.counters.update(func(s *Stats) { s.Accepted++; s.Open++ })
	return l
}

func (r *Relay) serve(l *link) {
	defer r.remove(l)
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	target, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		l.reset()
		return
	}
	l.run(target)
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
	r.counters.update(func(s *Stats) { s.Open-- })
}

// each calls a function for every open connection.
func (r *Relay) forEachLink(f func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		f(l)
	}
}

// Mute makes the open connections silent for good: they stay open, both ends
// can write, and nothing arrives, an end's close included. New connections
// work. It is what a lost entry in a connection table does.
func (r *Relay) Mute(d Direction) {
	r.forEachLink(func(l *link) { l.mute(d) })
}

// MuteNew makes connections silent from their start, until Restore.
func (r *Relay) MuteNew(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for way := range ways {
		r.muteNew[way] = r.muteNew[way] || d.has(way)
	}
}

// Reset resets the open connections at both ends. New connections work.
func (r *Relay) Reset() {
	r.forEachLink((*link).reset)
}

// Refuse refuses new connections until Restore. Open ones work.
func (r *Relay) Refuse() { r.port.refuse() }

// Delay delivers bytes this much later, on open and on new connections, until
// Restore. The order of bytes stays.
func (r *Relay) Delay(d Direction, by time.Duration) {
	for way := range ways {
		if d.has(way) {
			r.delays[way].Store(int64(by))
		}
	}
}

// Restore lets new connections work, without delay. Connections that are
// muted or reset stay so.
func (r *Relay) Restore() error {
	r.Delay(Both, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	r.muteNew = [ways]bool{}
	return r.listen()
}

// Close resets all connections, frees the port and waits for the relay's
// goroutines.
func (r *Relay) Close() {
	if !r.closeListener() {
		return
	}
	r.Reset()
	r.wg.Wait()
	r.port.release()
}

// close ends the listener; it is false when that was done before.
func (r *Relay) closeListener() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.closed = true
	r.port.refuse()
	return true
}
