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
type State string

// The states of a connection.
const (
	// Idle has no request.
	Idle State = "idle"
	// Unread has bytes of a request in its socket that nobody has read.
	Unread State = "unread"
	// Busy has a request of which some bytes have been read.
	Busy State = "busy"
)

// Options bound what callers may send. Zero values are no bounds.
type Options struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

// Server is an HTTP server for callers.
type Server struct {
	http     *http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that accepts from the listener once it runs.
func New(l net.Listener, h http.Handler, o Options) *Server {
	s := &Server{listener: l, conns: map[*conn]struct{}{}}
	s.http = &http.Server{
		Handler:           h,
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

// Serve accepts and serves connections until Close.
func (s *Server) Serve() error {
	return errors.Wrap(s.http.Serve(&listener{s.listener, s}), "serve")
}

// Close closes all connections, whatever is on its way on them.
func (s *Server) Close() {
	_ = s.http.Close() // the process ends with it
}

// Retire closes the connections without a request.
func (s *Server) Retire() { s.http.SetKeepAlivesEnabled(false) }

// States counts the connections.
func (s *Server) States() map[State]int {
	counts := map[State]int{}
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// noteState takes in what net/http knows of a connection.
func noteState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.active()
	case http.StateIdle:
		c.idle()
	}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, server: l.server, awaiting: true, began: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}
