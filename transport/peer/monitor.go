package peer

import (
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// monitor checks all connections from one goroutine, so that an idle connection
// needs no timer of its own. It also updates the byte counters.
func (n *Node) monitor() {
	period := min(n.opts.HeartbeatBusy, n.opts.HeartbeatTimeout) / 2
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var in, out int64
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range n.established() {
			c.checkLiveness()
		}
		in = addGrowth(n.metrics.bytesIn, n.bytesIn.Load(), in)
		out = addGrowth(n.metrics.bytesOut, n.bytesOut.Load(), out)
	}
}

// addGrowth adds the growth of a total to a counter and returns the total.
func addGrowth(counter interface{ Inc(int64) }, total, before int64) int64 {
	counter.Inc(total - before)
	return total
}

// established returns the connections whose handshake is complete.
func (n *Node) established() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		if c.ready.Load() {
			list = append(list, c)
		}
	}
	return list
}

// checkLiveness closes a connection that is silent or idle, or sends a heartbeat
// if one is due.
//
// It detects a middlebox that has dropped the state of the connection: both
// sockets stay open, writes succeed into the kernel's buffer, and no response ever
// arrives. TCP alone would notice after many minutes. A heartbeat without a
// response reveals the failure, and after the close the next use dials again.
func (c *conn) checkLiveness() {
	opts := &c.node.opts
	now := c.now()
	pending := c.pendingCount()
	if sent := c.heartbeatSent.Load(); sent != 0 {
		switch {
		case c.lastReceived.Load() >= sent:
			c.heartbeatSent.Store(0)
		case now-sent > int64(opts.HeartbeatTimeout):
			// Remove, count and close in this order. A goroutine that sees the count,
			// or the end of its call, then gets a new connection, and when a call has
			// ended, the silent connection has been counted.
			c.node.removeConn(c)
			c.node.metrics.silent.Inc(1)
			klog.V(1).InfoS("Peer connection is silent", "peer", c.peer.Name, "address", c.remoteAddress)
			c.close(errors.Wrapf(ErrSilent, "no answer to a heartbeat for %s", opts.HeartbeatTimeout))
		}
		return
	}
	if pending == 0 && now-c.lastUsed.Load() > int64(opts.IdleTimeout) {
		c.close(ErrIdle)
		return
	}
	// unansweredSince outlives a call that gave up before a heartbeat was due.
	// Otherwise a silent connection would never be found under many short calls.
	unansweredSince, lastReceived := c.unansweredSince.Load(), c.lastReceived.Load()
	interval := opts.HeartbeatIdle
	if pending > 0 || unansweredSince > lastReceived {
		interval = opts.HeartbeatBusy
	}
	if now-max(lastReceived, unansweredSince) > int64(interval) {
		c.heartbeatSent.Store(now)
		_ = c.enqueueDroppable(&peer.Heartbeat{Seq: uint64(now)})
	}
}
