package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// port is a TCP port that stays reserved while nothing listens on it. Otherwise, after refuse
// has closed the listener, another test could be given the port: the relay could not listen
// again, or a client would reach the wrong server. A second socket, bound but never listening,
// holds the port; the kernel refuses connections to a port with only such a socket.
type port struct {
	address  string
	holderFD int

	mu       sync.Mutex
	listener net.Listener
}

// reserve binds the socket that holds the port. Port 0 lets the system choose.
func reserve(address string) (*port, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(domain(addr.Addr()), unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := bind(fd, addr); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return &port{address: netip.AddrPortFrom(addr.Addr(), portOf(bound)).String(), holderFD: fd}, nil
}

func domain(ip netip.Addr) int {
	if ip.Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func bind(fd int, addr netip.AddrPort) error {
	if err := setReusePort(fd); err != nil {
		return err
	}
	if addr.Addr().Is4() {
		return unix.Bind(fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()})
	}
	return unix.Bind(fd, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()})
}

// setReusePort lets the holding socket and the listener bind the same port.
func setReusePort(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

func portOf(a unix.Sockaddr) uint16 {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return uint16(a.Port)
	case *unix.SockaddrInet6:
		return uint16(a.Port)
	default:
		return 0
	}
}

// listen returns a new listener, or nil if there is one already.
func (p *port) listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil, nil
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var shared error
		if err := c.Control(func(fd uintptr) { shared = setReusePort(int(fd)) }); err != nil {
			return err
		}
		return shared
	}}
	l, err := config.Listen(context.Background(), "tcp", p.address)
	p.listener = l
	return l, err
}

// refuse closes the listener.
func (p *port) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// release frees the port.
func (p *port) release() { _ = unix.Close(p.holderFD) }
