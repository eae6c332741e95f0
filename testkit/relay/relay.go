// Package relay is a TCP relay for tests. It forwards a loopback port and, on command, makes
// the connections through it fail as in a network fault: open ones fall silent while new ones
// work, or connections are reset, refused or delayed. Commands come from the test itself or
// over HTTP, for a relay in a separate process.
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

// Direction is the direction of the bytes that a command applies to.
type Direction uint8

// The directions.
const (
	Both Direction = iota
	ToTarget
	ToClient
)

// ways is the number of single directions; a way is the index of one of them.
const ways = 2

// has reports whether the direction includes the way with index 0 (to the target) or 1 (to the
// client).
func (d Direction) has(way int) bool {
	return d == Both || int(d)-1 == way
}

// dialTimeout bounds a dial of the target.
const dialTimeout = 5 * time.Second

// Relay forwards the connections of one port to one target.
type Relay struct {
	target   string
	port     *port
	delays   [ways]atomic.Int64
	counters counters
	wg       sync.WaitGroup

	mu    sync.Mutex
	links map[*link]struct{}
	// cuts are the cuts of single sources, by IP address.
	cuts    map[string]cut
	muteNew [ways]bool
	closed  bool
}

// ErrClosed is returned by a command to a closed relay.
var ErrClosed = errors.New("relay: closed")

// Start listens on the address, such as 127.0.0.1:0, and forwards to the target.
func Start(address, target string) (*Relay, error) {
	p, err := reserve(address)
	if err != nil {
		return nil, fmt.Errorf("relay: reserve %s: %w", address, err)
	}
	r := &Relay{target: target, port: p, links: map[*link]struct{}{}, cuts: map[string]cut{}}
	r.counters.init()
	if err := r.listen(); err != nil {
		p.release()
		return nil, err
	}
	return r, nil
}

// Addr returns the IP:port of the relay. It doesn't change, and it stays reserved while new
// connections are refused.
func (r *Relay) Addr() string { return r.port.address }

// listen starts to accept connections unless the relay already does.
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

// add registers a connection before its target is dialled, so that every command applies to
// it. It returns nil if the relay is closed or resets connections of this source.
func (r *Relay) add(conn net.Conn) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	source := sourceOf(conn)
	if r.cuts[source].mode == Break {
		return nil
	}
	l := newLink(conn, &r.delays, &r.counters)
	l.source, l.held = source, r.heldUntil
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

// forEachLink calls a function for every open connection.
func (r *Relay) forEachLink(f func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		f(l)
	}
}

// Mute makes the open connections silent permanently: they stay open and both ends can write,
// but nothing arrives, not even a close. New connections work. It simulates the loss of an
// entry in a connection table, as in a firewall.
func (r *Relay) Mute(d Direction) {
	r.forEachLink(func(l *link) { l.mute(d) })
}

// MuteNew makes new connections silent from their start, until Restore.
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

// Refuse refuses new connections until Restore. Open ones continue to work.
func (r *Relay) Refuse() { r.port.refuse() }

// Delay delays the delivery of bytes, on open and on new connections, until Restore. The order
// of bytes is preserved.
func (r *Relay) Delay(d Direction, by time.Duration) {
	for way := range ways {
		if d.has(way) {
			r.delays[way].Store(int64(by))
		}
	}
}

// Restore lets new connections work, without delay. Connections that are muted or reset are
// not restored.
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

// Close resets all connections, frees the port and waits for the relay's goroutines.
func (r *Relay) Close() {
	if !r.closeListener() {
		return
	}
	r.Reset()
	r.wg.Wait()
	r.port.release()
}

// closeListener closes the listener; it returns false if the relay was already closed.
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
