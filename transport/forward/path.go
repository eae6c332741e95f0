package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ivyhollow/ivyhollow/coordination/reach"
)

const (
	// tickInterval is the interval of the checks for silent paths.
	tickInterval = 250 * time.Millisecond
	// probeTimeout is how long an attempt that ends if its path is lost probes such a path.
	probeTimeout = time.Second
	// lossConfirmation is how long a path must have been lost before attempts on it are ended. If the
	// targets only paused, an answer through another instance may precede theirs by little.
	lossConfirmation = tickInterval
	// ackTimeout is how long the host of a target may take to acknowledge a request.
	ackTimeout = 500 * time.Millisecond
)

// choose returns the way for an attempt.
func (c *Client) choose(o Options) reach.Way {
	if c.options.Detour == nil {
		return reach.Direct
	}
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	return c.paths.Choose(time.Now(), o.Service, o.MayProbe)
}

// PathLost reports whether this instance has lost the direct path to the targets of a service.
func (c *Client) PathLost(service string) bool {
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	return c.paths.Lost(service)
}

// PathSuspected reports whether the latest attempts at the targets of a service failed on the direct
// path.
func (c *Client) PathSuspected(service string) bool {
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	return c.paths.Suspected(service)
}

// observe updates the paths with an observation and applies the changes.
func (c *Client) observe(update func(t *reach.Tracker, now time.Time)) {
	if c.options.Detour == nil {
		return
	}
	c.pathMu.Lock()
	update(c.paths, time.Now())
	changes, count := c.paths.TakeChanges(), c.paths.LostCount()
	c.pathMu.Unlock()
	for _, change := range changes {
		c.applyChange(change)
		if c.options.OnPathChange != nil {
			c.options.OnPathChange(change, count)
		}
	}
}

// applyChange closes the idle connections that don't take the present way to a service, and records
// since when a path is lost.
func (c *Client) applyChange(change reach.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if k.service == change.Service && (k.through == "") == change.Lost {
				_ = k.Close() // no request uses it
				continue
			}
			kept = append(kept, k)
		}
		c.setIdle(key, list, kept)
	}
	if !change.Lost {
		delete(c.lost, change.Service)
		return
	}
	c.lost[change.Service] = lostPath{time.Now(), change.Cause}
}

// lostPath is a direct path that is lost.
type lostPath struct {
	since time.Time
	cause reach.Cause
}

// endAttempt ends the attempt on a connection if it asks for that; mu is held.
func (c *Client) endAttempt(k *conn) {
	if k.endIfLost {
		k.pathLost.Store(true)
		_ = k.SetDeadline(longAgo) // fails only if the connection is closed
	}
}

// Run detects silent paths until the context ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			unacked := c.unackedServices()
			c.observe(func(t *reach.Tracker, now time.Time) {
				t.Tick(now, func(service string) bool { return !unacked[service] })
			})
			c.endAttempts(time.Now())
		}
	}
}

// unackedServices returns the services at which requests wait that the hosts of their targets haven't
// acknowledged in time.
func (c *Client) unackedServices() map[string]bool {
	unacked := map[string]bool{}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, sentAt := range c.waiting {
		if now.Sub(sentAt) >= ackTimeout && !unacked[k.service] && hasUnackedBytes(k.Conn) {
			unacked[k.service] = true
		}
	}
	return unacked
}

// hasUnackedBytes reports whether the other end's host has not acknowledged all bytes sent. Bytes that
// wait to be sent don't count: a target that reads a long request slowly has its host accept no more.
func hasUnackedBytes(nc net.Conn) bool {
	unacked, _ := sendQueue(nc)
	return unacked > 0
}

// sendQueue returns the number of bytes that were sent and not acknowledged, and of those that wait to
// be sent. It returns zeros if the system doesn't tell.
func sendQueue(nc net.Conn) (unacked, unsent int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, 0
	}
	queued := 0
	var failed error
	err = raw.Control(func(fd uintptr) {
		queued, failed = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		if failed == nil {
			unsent, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		}
	})
	if err != nil || failed != nil {
		return 0, 0
	}
	return max(queued-unsent, 0), unsent // more may have been written in between
}

// endAttempts ends attempts that wait on a lost path and ask for that: those that have waited for long,
// and those that were sent before the path was found silent.
func (c *Client) endAttempts(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, sentAt := range c.waiting {
		if !c.PathLost(k.service) {
			continue
		}
		path, recorded := c.lost[k.service]
		if !recorded {
			c.lost[k.service] = lostPath{since: now} // concurrent changes were applied in another order
			continue
		}
		silent := path.cause == reach.CauseSilence && sentAt.Before(path.since)
		if now.Sub(path.since) >= lossConfirmation && (silent || now.Sub(sentAt) >= probeTimeout) {
			c.endAttempt(k)
		}
	}
}

func (c *Client) pathAvoided(service string) bool {
	c.pathMu.Lock()
	defer c.pathMu.Unlock()
	return c.paths.Avoided(service)
}

// Read implements net.Conn. What arrives shows which way works.
func (k *conn) Read(p []byte) (int, error) {
	if k.headLeft != nil {
		if *k.headLeft <= 0 {
			return 0, ErrHeadTooLong
		}
		p = p[:min(len(p), *k.headLeft)]
	}
	n, err := k.Conn.Read(p)
	if k.headLeft != nil {
		*k.headLeft -= n
	}
	if n > 0 {
		k.client.observe(func(t *reach.Tracker, now time.Time) {
			if k.through != "" {
				t.ReceivedThroughPeer(now, k.service)
				return
			}
			t.Received(now, k.service, k.openedAt)
			if k.waits {
				k.waits = false
				t.Ended(now, k.service)
			}
		})
	}
	return n, err
}

// began records that a request is sent on the connection.
func (k *conn) began(endIfLost bool) {
	if k.through != "" {
		return
	}
	k.client.observe(func(t *reach.Tracker, now time.Time) {
		k.waits = true
		t.Began(now, k.service)
	})
	k.client.mu.Lock()
	k.endIfLost = endIfLost
	k.client.waiting[k] = time.Now()
	k.client.mu.Unlock()
}

// ended records that the exchange on the connection is over; err is nil if a response arrived.
func (k *conn) ended(err error) {
	if k.through != "" {
		return
	}
	k.client.mu.Lock()
	delete(k.client.waiting, k)
	k.client.mu.Unlock()
	k.client.observe(func(t *reach.Tracker, now time.Time) {
		if !k.waits {
			return
		}
		k.waits = false
		t.Ended(now, k.service)
		if ClosedByPeer(err) {
			t.Broke(now, k.service, k.address)
		}
	})
}
