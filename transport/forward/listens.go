package forward

import (
	"context"
	"io"
	"net"
	"os"
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

// NothingListens reports whether certainly no process listens at an address, because its host
// refuses the connection. If there are other instances, one of them has to confirm it: a path that
// was cut may refuse connections too.
func (c *Client) NothingListens(ctx context.Context, address string) bool {
	opens, refused := tryConnect(ctx, c.options.Dial, address)
	return !opens && c.confirmsNothingListens(ctx, address, refused)
}

// confirmsNothingListens reports whether certainly no process listens at an address to which this
// instance couldn't connect; refused is true if the connection was refused.
func (c *Client) confirmsNothingListens(ctx context.Context, address string, refused bool) bool {
	if c.options.Detour == nil {
		return refused
	}
	nc, _, err := c.options.Detour.Dial(ctx, address)
	if err == nil {
		_ = nc.Close() // it was opened only for the check
	}
	return errors.Is(err, ErrNothingListens) || refused && errors.Is(err, ErrNoDetour)
}

// exitLag is how long a process that ends may take from closing its first connection to closing its
// listener.
const exitLag = 10 * time.Millisecond

// mayHaveEnded reports whether no process listens at an address, or none will within exitLag: the host then resets
// connections that the process hadn't accepted yet. It is true also if nobody can tell: the host refuses this instance's
// connections, and no other instance reaches the target either.
func (c *Client) mayHaveEnded(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	nc, err := c.options.Dial(dialCtx, address)
	if err == nil {
		if staysOpen(nc) {
			return false
		}
		opens, refused := tryConnect(ctx, c.options.Dial, address)
		return !opens && c.othersDontReach(ctx, address, refused)
	}
	return c.othersDontReach(ctx, address, errors.Is(err, syscall.ECONNREFUSED))
}

// othersDontReach reports whether no other instance reaches a target, to which this one couldn't connect; refused is
// true if the connection was refused. It is false if this instance alone may not reach the target.
func (c *Client) othersDontReach(ctx context.Context, address string, refused bool) bool {
	if c.options.Detour == nil {
		return refused
	}
	nc, _, err := c.options.Detour.Dial(ctx, address)
	if err == nil {
		_ = nc.Close() // it was opened only for the check
		return false
	}
	return errors.Is(err, ErrNothingListens) || refused && !errors.Is(err, ErrNoPeerKnown)
}

// staysOpen reports whether the other end keeps a connection open for exitLag, and closes it then.
func staysOpen(nc net.Conn) bool {
	defer nc.Close() // it was opened only for the check
	if err := nc.SetReadDeadline(time.Now().Add(exitLag)); err != nil {
		return false
	}
	_, err := nc.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// NothingListens is Client.NothingListens for those that have no client.
func NothingListens(ctx context.Context, address string) bool {
	_, refused := tryConnect(ctx, Dial, address)
	return refused
}

// tryConnect reports whether a connection to an address opens, and whether it is refused.
func tryConnect(ctx context.Context, dial DialFunc, address string) (opens, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	nc, err := dial(ctx, address)
	if err == nil {
		_ = nc.Close() // it was opened only for the check
	}
	return err == nil, errors.Is(err, syscall.ECONNREFUSED)
}
