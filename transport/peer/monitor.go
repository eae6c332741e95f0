package peer

import (
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// monitor looks after all connections from one goroutine, so that an idle
// connection costs no timer of its own.
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

// report adds the growth of a total to a counter and returns the total.
func addGrowth(counter interface{ Inc(int64) }, total, before int64) int64 {
	counter.Inc(total - before)
	return total
}

// established returns the connections whose handshake is done.
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

// check finds a connection silent or idle, or sends the heartbeat that will
// tell.
//
// It guards against a path that has lost track of the connection: both sockets
// stay open, writes succeed into the kernel's buffer, and no answer ever
// comes. TCP alone would notice after many minutes. A heartbeat that is not
// answered in time shows it, and the close lets the next use dial anew.
func (c *conn) checkLiveness() {
	opts := &c.node.opts
	now := c.now()
	waiting := c.pendingCount()
	if sent := c.heartbeatSent.Load(); sent != 0 {
		switch {
		case c.lastReceived.Load() >= sent:
			c.heartbeatSent.Store(0)
		case now-sent > int64(opts.HeartbeatTimeout):
			// Forgotten, counted, ended, in this order: whoever sees the count
			// or the end of a call gets a new connection and finds it counted.
			c.node.removeConn(c)
			c.node.metrics.silent.Inc(1)
			klog.V(1).InfoS("Peer connection is silent", "peer", c.peer.Name, "address", c.remoteAddress)
			c.close(errors.Wrapf(ErrSilent, "no answer to a heartbeat for %s", opts.HeartbeatTimeout))
		}
		return
	}
	if waiting == 0 && now-c.lastUsed.Load() > int64(opts.IdleTimeout) {
		c.close(ErrIdle)
		return
	}
	// A call that gave up before its heartbeat still leaves askedAt behind, or
	// many short calls would never let a silent connection be found.
	asked, quietSince := c.unansweredSince.Load(), c.lastReceived.Load()
	interval := opts.HeartbeatIdle
	if waiting > 0 || asked > quietSince {
		interval = opts.HeartbeatBusy
	}
	if now-max(quietSince, asked) > int64(interval) {
		c.heartbeatSent.Store(now)
		_ = c.enqueueDroppable(&peer.Heartbeat{Seq: uint64(now)})
	}
}
