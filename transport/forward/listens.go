package forward

import (
	"context"
	"io"
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
func (c *Client) NothingListens(ctx context.Context, address string) bool {
	return nothingListens(ctx, c.options.Dial, address)
}

// NothingListens is Client.NothingListens for those that have no client.
func NothingListens(ctx context.Context, address string) bool {
	return nothingListens(ctx, Dial, address)
}

func nothingListens(ctx context.Context, dial DialFunc, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	nc, err := dial(ctx, address)
	if err == nil {
		_ = nc.Close() // it was opened only for the check
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
