package inbound

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// readable tells, without waiting, whether a socket has something that was not
// taken from it: bytes or the end of a connection, or a connection of a listener.
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

// poll asks for a descriptor, again when a signal comes between.
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
