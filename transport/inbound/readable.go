package inbound

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// readable reports without blocking whether a socket is ready to read: it has bytes or
// the end of the stream, or a listener has a connection to accept.
func readable(socket any) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // closed
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		ready = poll(int32(fd))
	})
	return err == nil && ready
}

// poll reports whether a descriptor is readable. It repeats the call if a signal
// interrupts it.
func poll(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0
		}
	}
}

var _ syscall.Conn = (*net.TCPConn)(nil)
