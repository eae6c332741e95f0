package forward

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// EndedByPeer tells whether an error of an attempt is that the other end closed or reset the
// connection.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// listenTimeout bounds the question whether anything listens. A process that has ended is
// told by the reset of its machine, on the way of one packet each way.
const listenTimeout = 250 * time.Millisecond

// NothingListens tells whether an address surely has no process that listens: its machine
// refuses a connection.
func NothingListens(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: listenTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = nc.Close() // it was opened for the answer alone
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
