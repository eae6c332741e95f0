package cluster

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// View returns the present view of the cluster.
func (c *Cluster) View() *membership.View { return c.view.Load() }

// ListedCount returns the number of instances in the platform's last list, which may
// include instances that have ended. It waits for the first listing, successful or not.
func (c *Cluster) ListedCount(ctx context.Context) int {
	select {
	case <-c.firstListDone:
	case <-ctx.Done():
	}
	return int(c.listedCount.Load())
}

// Peers returns the other live instances.
func (c *Cluster) Peers() []membership.Member {
	view := c.View()
	peers := make([]membership.Member, 0, len(view.Live()))
	for _, m := range view.Live() {
		if m.Name != view.Self {
			peers = append(peers, m)
		}
	}
	return peers
}

// Neighbours returns the addresses of the instances to which this one keeps permanent
// connections.
func (c *Cluster) Neighbours() []string {
	peers, _ := c.gossipPeers()
	return slices.Clone(peers)
}

// Owners returns the n live instances responsible for a key. Instances may disagree, so
// it is a hint and never a lock.
func (c *Cluster) Owners(key string, n int) []membership.Member {
	return membership.Owners(c.View(), key, n)
}

// WaitView waits until a view meets a condition or the context ends.
func (c *Cluster) WaitView(ctx context.Context, met func(*membership.View) bool) error {
	for {
		c.mu.Lock()
		changed := c.viewChanged
		view := c.view.Load()
		c.mu.Unlock()
		if met(view) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Self returns this instance as it announces itself.
func (c *Cluster) Self() membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members.Self()
}

// Handle registers a method that other instances may call.
func (c *Cluster) Handle(method string, h peer.Handler, opts ...peer.HandleOption) {
	c.node.Handle(method, h, opts...)
}

// Call calls a method of another instance and waits for its response. An error is a
// *peer.Error, whose NotRun reports whether the method certainly did not start.
func (c *Cluster) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	return c.node.Call(ctx, address, method, body)
}

// DialThrough opens a connection to a target through the instance at an address.
func (c *Cluster) DialThrough(ctx context.Context, peerAddress, target string) (net.Conn, error) {
	return c.node.DialThrough(ctx, peerAddress, target)
}

// StopTunnels refuses new connections of other instances to targets from now on.
func (c *Cluster) StopTunnels() { c.node.StopTunnels() }

// TunnelCount returns the number of connections of other instances to targets through this one.
func (c *Cluster) TunnelCount() int { return c.node.TunnelCount() }

// SendDigest replaces the load digest of this instance. The gossip sends it to the other
// instances at the configured rate.
func (c *Cluster) SendDigest(body []byte) {
	now := time.Now()
	self := c.opts.Transport.Self
	c.gossipMu.Lock()
	defer c.gossipMu.Unlock()
	c.digestSeq++
	c.gossip.SetLoad(now, spread.LoadDigest{
		Origin:      self.Name,
		Incarnation: self.Incarnation,
		Seq:         c.digestSeq,
		Body:        body,
	})
}

// Loads returns the latest load digest of each instance with its age.
func (c *Cluster) Loads() []spread.Load {
	now := time.Now()
	c.gossipMu.Lock()
	defer c.gossipMu.Unlock()
	return c.gossip.Loads(now)
}

// Put accepts a record read from the store and gossips it. OnRecord is called if the
// record is new.
func (c *Cluster) Put(r spread.Record) {
	c.stepGossip(nil, func(s *spread.Gossip) []spread.Action { return s.Put(r) })
}

// Stats returns the counters of the connections.
func (c *Cluster) Stats() peer.Stats { return c.node.Stats() }

// Leave announces the planned departure and waits until all instances notified directly
// have acknowledged it, or the context ends. The instance goes on responding until
// Interrupt.
func (c *Cluster) Leave(ctx context.Context) error {
	now := time.Now()
	c.stepMembership(nil, func(m *membership.Membership) []membership.Action {
		c.leaving = true
		return m.Leave(now)
	})
	select {
	case <-c.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkLeft ends the wait of Leave; mu is held.
func (c *Cluster) checkLeft() {
	if !c.leaving {
		return
	}
	if acked, notified := c.members.LeaveProgress(); acked < notified {
		return
	}
	select {
	case <-c.left:
	default:
		close(c.left)
	}
}

// AwaitJoin waits until this instance knows which instances own the duties that a single
// instance performs for the whole cluster, or the context ends. The wait is short: an
// instance that finds no others owns the duties itself.
func (c *Cluster) AwaitJoin(ctx context.Context) {
	select {
	case <-c.joined:
	case <-ctx.Done():
	}
}

// AwaitPeer waits until this instance knows another one, or the context ends. It returns
// at once if the platform's list has no other instance.
func (c *Cluster) AwaitPeer(ctx context.Context) {
	if c.ListedCount(ctx); c.listedOtherCount.Load() == 0 {
		return
	}
	_ = c.WaitView(ctx, func(v *membership.View) bool { return len(v.Live()) > 1 }) // only the end of the context is an error
}

// Alone reports whether there is no other instance. An instance that has just started and doesn't know
// the others yet isn't alone.
func (c *Cluster) Alone() bool {
	select {
	case <-c.firstListDone:
	default:
		return false
	}
	view := c.View()
	return len(view.Live()) <= 1 && (c.listedOtherCount.Load() == 0 || len(view.Members) > 1)
}

// checkJoined ends the wait of AwaitJoin; mu is held.
func (c *Cluster) checkJoined(now time.Time) {
	select {
	case <-c.joined:
	default:
		if !c.members.Joining(now) {
			close(c.joined)
		}
	}
}
