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
	accepted, closed chan struct{}
	closeOnce        sync.Once

	mu       sync.Mutex
	conns    map[*conn]struct{}
	retiring bool
	// changed is told when a connection is gone.
	changed chan struct{}
}

// New returns a server that accepts from the listener once it runs.
func New(l net.Listener, h http.Handler, o Options) *Server {
	s := &Server{
		accepted: make(chan struct{}), closed: make(chan struct{}),
		conns: map[*conn]struct{}{}, changed: make(chan struct{}, 1),
	}
	s.listener = &listener{Listener: l, server: s}
	s.http = &http.Server{
		Handler:           s.announce(h),
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ConnState:         noteState,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	return s
}

// announce tells callers that their connection closes after the answer.
func (s *Server) announce(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isRetiring() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) isRetiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retiring
}

// Serve accepts and serves connections until Close. Finish ends the accepting alone:
// the group that runs the server must not end with it.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	close(s.accepted)
	if !s.listener.ending.Load() {
		return errors.Wrap(err, "serve")
	}
	<-s.closed
	return nil
}

// Retire has each connection closed as soon as no request is on its way on it, also
// those that are still to come. New ones have time for their first request.
func (s *Server) BeginDrain() {
	s.mu.Lock()
	s.retiring = true
	s.mu.Unlock()
	now := time.Now()
	for _, c := range s.all() {
		s.retireInTime(now, c)
	}
}

// retireInTime retires a connection, a new one once its first request should be there.
func (s *Server) retireInTime(now time.Time, c *conn) {
	if wait := c.patience(now); wait > 0 {
		time.AfterFunc(wait, c.retire)
		return
	}
	c.retire()
}

// Finish ends the accepting, and waits until all connections that were opened have
// been served and closed. It returns the context's error if that ends before.
func (s *Server) Drain(ctx context.Context) error {
	s.BeginDrain()
	s.listener.end()
	select {
	case <-s.accepted:
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "accept what waits")
	}
	for s.OpenConns() > 0 {
		select {
		case <-s.changed:
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
	for _, c := range s.all() {
		counts[c.state()]++
	}
	return counts
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// adopt takes in a connection that has just been accepted.
func (s *Server) adopt(nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: nc, server: s, began: now}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	retiring := s.retiring
	s.mu.Unlock()
	if retiring {
		s.retireInTime(now, c)
	}
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// noteState takes in what net/http knows of a connection.
func noteState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.headRead()
	case http.StateIdle:
		c.idle()
	}
}
