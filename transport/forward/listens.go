package forward

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClosedByPeer reports whether an attempt failed because the other end closed or reset the
// connection.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// listenTimeout bounds the check whether a process listens. If none does, the host resets
// the connection within one round trip.
const listenTimeout = 250 * time.Millisecond

// NothingListens reports whether certainly no process listens at an address, because its
// host refuses the connection.
func NothingListens(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: listenTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = nc.Close() // it was opened only for the check
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
