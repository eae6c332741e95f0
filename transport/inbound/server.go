package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ConnState reports whether a request is in progress on a connection.
type ConnState string

// The states of a connection.
const (
	// Idle connections have no request.
	Idle ConnState = "idle"
	// Unread connections have bytes in the socket that have not been read.
	Unread ConnState = "unread"
	// Busy connections have a request of which at least a byte has been read.
	Busy ConnState = "busy"
)

// Options are limits of callers' requests. Zero values mean no limit.
type Options struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// MaxConns limits the open connections. Beyond it a new connection takes the place of one that
	// waits for a request, or is closed unread.
	MaxConns int
	// OnRefuse is called for each connection that is closed unread; nil if nobody needs it.
	OnRefuse func()
}

// Server is an HTTP server for callers. To stop it, call BeginDrain, Drain and Close.
type Server struct {
	http     *http.Server
	listener *listener
	// acceptDone is closed when no more connections are accepted; closed is closed
	// by Close.
	acceptDone, closed chan struct{}
	closeOnce          sync.Once

	maxConns int
	onRefuse func()

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	// connClosed receives a value when a connection is closed.
	connClosed chan struct{}
}

// New returns a server that accepts connections from l when Serve is called.
func New(l net.Listener, h http.Handler, o Options) *Server {
	s := &Server{
		acceptDone: make(chan struct{}), closed: make(chan struct{}),
		conns: map[*conn]struct{}{}, connClosed: make(chan struct{}, 1),
		maxConns: o.MaxConns, onRefuse: o.OnRefuse,
	}
	s.listener = &listener{Listener: l, server: s}
	s.http = &http.Server{
		Handler:           s.closeWhenDraining(h),
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ConnState:         onConnState,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	return s
}

// closeWhenDraining wraps a handler. While the server is draining, it sends callers the
// Connection: close header.
func (s *Server) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Serve accepts and serves connections until Close. Drain stops accepting, but Serve
// doesn't return then, since that would end the goroutine group that runs the server.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	close(s.acceptDone)
	if !s.listener.draining.Load() {
		return errors.Wrap(err, "serve")
	}
	<-s.closed
	return nil
}

// BeginDrain closes each connection as soon as no request is in progress on it, including
// connections accepted later. New connections get time for their first request.
func (s *Server) BeginDrain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	now := time.Now()
	for _, c := range s.connections() {
		s.scheduleDrain(now, c)
	}
}

// scheduleDrain drains a connection; a new one after the time for its first request.
func (s *Server) scheduleDrain(now time.Time, c *conn) {
	if wait := c.drainDelay(now); wait > 0 {
		time.AfterFunc(wait, c.drain)
		return
	}
	c.drain()
}

// Drain stops accepting connections and waits until all open ones have been served and
// closed. It returns the context's error if the context ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.BeginDrain()
	s.listener.drain()
	select {
	case <-s.acceptDone:
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "accept what waits")
	}
	for s.OpenConns() > 0 {
		select {
		case <-s.connClosed:
		case <-ctx.Done():
			return errors.Wrap(context.Cause(ctx), "finish requests")
		}
	}
	return nil
}

// Shutdown drains the server for at most the given time and then closes the remaining
// connections.
func (s *Server) Shutdown(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = s.Drain(ctx) // Close ends what isn't done
	s.Close()
}

// Close closes all connections, including those with requests in progress.
func (s *Server) Close() {
	_ = s.http.Close() // a failed close can't be handled
	s.closeOnce.Do(func() { close(s.closed) })
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CountByState returns the number of open connections in each state.
func (s *Server) CountByState() map[ConnState]int {
	counts := map[ConnState]int{}
	for _, c := range s.connections() {
		counts[c.state()]++
	}
	return counts
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// evictionSample is how many connections are looked at to find one that waits for a request.
const evictionSample = 16

// admit reports whether one more connection may be served. If there are too many, it has one that
// waits for a request closed, if it finds any.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConns <= 0 || len(s.conns) < s.maxConns {
		return true
	}
	looked := 0
	for c := range s.conns {
		if c.drainIfIdle() {
			return true
		}
		if looked++; looked == evictionSample {
			break
		}
	}
	return false
}

// refuse closes a connection of which nothing has been read: its caller may safely send the request
// again elsewhere.
func (s *Server) refuse(nc net.Conn) {
	if s.onRefuse != nil {
		s.onRefuse()
	}
	_ = nc.Close() // it is given up either way
}

// track adds an accepted connection to the server.
func (s *Server) track(nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: nc, server: s, startedAt: now}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	if draining {
		s.scheduleDrain(now, c)
	}
	return c
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.connClosed <- struct{}{}:
	default:
	}
}

// onConnState updates a connection from the state that net/http reports.
func onConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.onHeadRead()
	case http.StateIdle:
		c.onIdle()
	}
}
