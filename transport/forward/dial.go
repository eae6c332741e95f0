package forward

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/reach"
)

const (
	// detourDelay is how long a connection may take to open before it is opened through another
	// instance as well. Within a region it takes milliseconds.
	detourDelay = 200 * time.Millisecond
	// verdictValidity is how long a target counts as unreachable from all instances once others
	// didn't reach it either.
	verdictValidity = time.Second
)

// Errors of a Detour.
var (
	// ErrNothingListens means that another instance reaches the target's host and no process listens
	// at the address.
	ErrNothingListens = errors.New("another instance finds nothing that listens")
	// ErrNoDetour means that there is no other instance to ask, ErrNoPeerKnown that none is known yet.
	ErrNoDetour    = errors.New("there is no other instance")
	ErrNoPeerKnown = errors.New("no other instance is known yet")
	// errUnreachable means that neither this instance nor others connect to a target.
	errUnreachable = errors.New("the target doesn't answer and other instances don't reach it")
)

// Detour opens connections to targets through other instances.
type Detour interface {
	// Dial opens a connection and returns the name of the instance that it goes through.
	Dial(ctx context.Context, address string) (nc net.Conn, through string, err error)
	// Usable reports whether a connection through an instance may carry another request.
	Usable(through string) bool
}

// verdict is the result of asking other instances about a target that can't be connected to.
type verdict struct {
	nothingListens bool
	until          time.Time
}

// dialed is the result of opening a connection.
type dialed struct {
	nc      net.Conn
	through string
	err     error
}

// connect opens a connection to a target on the given way.
func (c *Client) connect(ctx context.Context, key idleKey, service string, way reach.Way) (*conn, error) {
	var d dialed
	switch {
	case c.options.Detour == nil:
		d.nc, d.err = c.options.Dial(ctx, key.address)
		d = d.judged(true)
	case way == reach.Detour:
		d = c.dialDetourFirst(ctx, key.address)
	default:
		d = c.dialEitherWay(ctx, key, service)
	}
	if d.err != nil {
		return nil, &Error{Step: StepConnect, Peer: key.address, Refused: errors.Is(d.err, ErrNothingListens), Err: d.err}
	}
	return c.newConn(d, key, service), nil
}

func (c *Client) newConn(d dialed, key idleKey, service string) *conn {
	k := &conn{
		Conn: d.nc, idleKey: key, client: c, service: service, through: d.through,
		openedAt: time.Now(), idleTimeout: maxIdleTime,
	}
	k.reader = bufio.NewReader(k)
	return k
}

// dialDetourFirst opens a connection through another instance or, if none reaches the target,
// directly. The direct path is known not to work, so that isn't waited for long.
func (c *Client) dialDetourFirst(ctx context.Context, address string) (d dialed) {
	if d.nc, d.through, d.err = c.options.Detour.Dial(ctx, address); d.err == nil {
		return d
	}
	if !errors.Is(d.err, ErrNoDetour) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, detourDelay)
		defer cancel()
	}
	failed := d.err
	if d.nc, d.err = c.options.Dial(ctx, address); d.err != nil && errors.Is(failed, ErrNothingListens) {
		d.err = errors.Mark(d.err, ErrNothingListens)
	}
	return d
}

// dialEitherWay opens a connection directly and, if that fails or takes long, through another
// instance. Its error is ErrNothingListens if the host of the target refuses the connection and no
// other instance contradicts.
func (c *Client) dialEitherWay(ctx context.Context, key idleKey, service string) dialed {
	direct := make(chan dialed, 1)
	go func() {
		nc, err := c.options.Dial(ctx, key.address)
		direct <- dialed{nc: nc, err: err}
	}()
	timer := time.NewTimer(detourDelay)
	defer timer.Stop()
	var first *dialed
	select {
	case d := <-direct:
		if d.err == nil || ctx.Err() != nil {
			return d
		}
		first = &d
	case <-timer.C:
	}
	if v, ok := c.recentVerdict(key.address); ok {
		if first == nil {
			go c.keepLate(direct, key, service)
			return dialed{err: errUnreachable}
		}
		return first.judged(v.nothingListens)
	}
	return c.dialDetour(ctx, key, service, first, direct)
}

// dialDetour opens a connection through another instance. first is the failed direct one, or nil if
// it is still being opened; then the one that opens first is returned.
func (c *Client) dialDetour(ctx context.Context, key idleKey, service string, first *dialed, direct <-chan dialed) dialed {
	detour := make(chan dialed, 1)
	detourCtx, cancel := context.WithCancel(ctx)
	go func() {
		nc, through, err := c.options.Detour.Dial(detourCtx, key.address)
		detour <- dialed{nc, through, err}
	}()
	if first == nil {
		select {
		case d := <-direct:
			first = &d
			if d.err == nil {
				cancel()
				go closeLate(detour)
				return d
			}
		case d := <-detour:
			cancel()
			if errors.IsAny(d.err, ErrNoDetour, ErrNoPeerKnown) {
				return <-direct
			}
			go c.keepLate(direct, key, service)
			if d.err != nil {
				c.recordVerdict(key.address, d.err)
				return dialed{err: errors.CombineErrors(errUnreachable, d.err)}
			}
			c.recordDetour(key, service)
			return d
		}
	}
	d := <-detour
	cancel()
	if d.err != nil {
		return first.judged(c.recordVerdict(key.address, d.err))
	}
	c.recordDetour(key, service)
	return d
}

// judged returns the result of a direct dial that no detour replaced.
func (d dialed) judged(nothingListens bool) dialed {
	if nothingListens && errors.Is(d.err, syscall.ECONNREFUSED) {
		d.err = errors.Mark(d.err, ErrNothingListens)
	}
	return d
}

// recordDetour records that another instance reaches a target that can't be connected to from here.
func (c *Client) recordDetour(key idleKey, service string) {
	c.observe(func(t *reach.Tracker, now time.Time) { t.ConnectedElsewhere(now, service, key.address) })
}

// closeLate closes a connection that opens when another one is used already.
func closeLate(late <-chan dialed) {
	if d := <-late; d.err == nil {
		_ = d.nc.Close() // it was never used
	}
}

// keepLate keeps a direct connection that opens when another one is used already.
func (c *Client) keepLate(late <-chan dialed, key idleKey, service string) {
	if d := <-late; d.err == nil {
		c.putIdle(c.newConn(d, key, service))
	}
}

// recordVerdict records what asking other instances about a target has shown. It reports whether
// nobody contradicts that nothing listens there.
func (c *Client) recordVerdict(address string, err error) (nothingListens bool) {
	nothingListens = errors.Is(err, ErrNothingListens) || errors.Is(err, ErrNoDetour)
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	c.verdicts[address] = verdict{nothingListens, time.Now().Add(verdictValidity)}
	return nothingListens
}

func (c *Client) recentVerdict(address string) (verdict, bool) {
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	v, ok := c.verdicts[address]
	return v, ok && time.Now().Before(v.until)
}

// forgetVerdicts drops what is no longer valid.
func (c *Client) forgetVerdicts(now time.Time) {
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	for address, v := range c.verdicts {
		if !now.Before(v.until) {
			delete(c.verdicts, address)
		}
	}
}
