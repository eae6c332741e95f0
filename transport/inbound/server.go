package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// State is what is on its way on a connection.
type ConnState string

// The states of a connection.
const (
	// Idle has no request.
	Idle ConnState = "idle"
	// Unread has bytes of a request in its socket that nobody has read.
	Unread ConnState = "unread"
	// Busy has a request of which some bytes have been read.
	Busy ConnState = "busy"
)

// Options bound what callers may send. Zero values are no bounds.
type Options struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

// Server is an HTTP server for callers. Its stop is Retire, Finish, Close.
type Server struct {
	http     *http.Server
	listener *listener
	// accepted is closed when no more connections are accepted, closed by Close.
	acceptDone, closed chan struct{}
	closeOnce          sync.Once

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	// changed is told when a connection is gone.
	connClosed chan struct{}
}

// New returns a server that accepts from the listener once it runs.
func New(l net.Listener, h http.Handler, o Options) *Server {
	s := &Server{
		acceptDone: make(chan struct{}), closed: make(chan struct{}),
		conns: map[*conn]struct{}{}, connClosed: make(chan struct{}, 1),
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

// announce tells callers that their connection closes after the answer.
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

// Serve accepts and serves connections until Close. Finish ends the accepting alone:
// the group that runs the server must not end with it.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	close(s.acceptDone)
	if !s.listener.draining.Load() {
		return errors.Wrap(err, "serve")
	}
	<-s.closed
	return nil
}

// Retire has each connection closed as soon as no request is on its way on it, also
// those that are still to come. New ones have time for their first request.
func (s *Server) BeginDrain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	now := time.Now()
	for _, c := range s.connections() {
		s.scheduleDrain(now, c)
	}
}

// retireInTime retires a connection, a new one once its first request should be there.
func (s *Server) scheduleDrain(now time.Time, c *conn) {
	if wait := c.drainDelay(now); wait > 0 {
		time.AfterFunc(wait, c.drain)
		return
	}
	c.drain()
}

// Finish ends the accepting, and waits until all connections that were opened have
// been served and closed. It returns the context's error if that ends before.
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

// Stop finishes within a time, and closes what isn't done then.
func (s *Server) Shutdown(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = s.Drain(ctx) // what isn't done is closed
	s.Close()
}

// Close closes all connections, whatever is on its way on them: what Finish had no more
// time for.
func (s *Server) Close() {
	_ = s.http.Close() // nothing is left to do with a connection that doesn't close
	s.closeOnce.Do(func() { close(s.closed) })
}

// Open returns the number of connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// States counts the connections.
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

// adopt takes in a connection that has just been accepted.
func (s *Server) track(nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: nc, server: s, startedAt: now}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	retiring := s.draining
	s.mu.Unlock()
	if retiring {
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

// noteState takes in what net/http knows of a connection.
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
