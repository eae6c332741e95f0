// Package cluster runs the membership protocol and the gossip over the connections
// between instances, in real time. It is an actor of an oklog/run group.
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	protocol "github.com/ivyhollow/ivyhollow/protocol/peer"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Defaults of Options.
const (
	defaultTick              = 50 * time.Millisecond
	defaultListInterval      = 5 * time.Minute
	defaultListRetryInterval = 5 * time.Second
	// maxTombstones limits the number of deleted records that are kept.
	maxTombstones = 4096
)

// Options configure a Cluster.
type Options struct {
	Transport  peer.Options
	Membership membership.Config
	Gossip     spread.Config
	// Seeds are peer addresses from the instance's settings.
	Seeds []string
	// ListInstances returns the platform's list of instances. It is nil if there is no
	// such list. The list may be out of date, so its members are only candidates.
	ListInstances func(ctx context.Context) ([]membership.Member, error)
	// ListInterval is the time between two listings, ListRetryInterval the time after a
	// failed one or while no other instance is known. Both are jittered.
	ListInterval      time.Duration
	ListRetryInterval time.Duration
	// OnRecord is called with each new record. It must not block. Calls may overlap and
	// come out of order: the receiver keeps the highest revision.
	OnRecord func(r spread.Record)
	// Tick is the resolution of all intervals.
	Tick time.Duration
}

// withDefaults replaces zero values by the defaults.
func (o Options) withDefaults() Options {
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.ListInterval == 0 {
		o.ListInterval = defaultListInterval
	}
	if o.ListRetryInterval == 0 {
		o.ListRetryInterval = defaultListRetryInterval
	}
	if o.Membership.Rings == 0 {
		o.Membership.Rings = membership.DefaultConfig().Rings
	}
	if o.Transport.Scope == nil {
		o.Transport.Scope = tally.NoopScope
	}
	return o
}

// Cluster is this instance's membership in the cluster.
type Cluster struct {
	opts    Options
	node    *peer.Node
	metrics metrics
	ctx     context.Context
	cancel  context.CancelFunc

	view atomic.Pointer[membership.View]
	// listedCount is the number of instances in the platform's last list.
	listedCount atomic.Int64
	// listedOtherCount is the number of listed instances that are neither this instance
	// nor an earlier incarnation of it.
	listedOtherCount atomic.Int64
	// firstListDone is closed after the first listing, successful or not.
	firstListDone chan struct{}
	firstListOnce sync.Once

	mu             sync.Mutex
	members        *membership.Membership
	viewChanged    chan struct{}
	left           chan struct{}
	joined         chan struct{}
	leaving        bool
	supersededOnce sync.Once

	gossipMu  sync.Mutex
	gossip    *spread.Gossip
	peers     []string
	peersView *membership.View
	digestSeq uint64

	encodings encodings
	// fetchSlots limits the records that are fetched at a time.
	fetchSlots chan struct{}
	fetches    sync.WaitGroup
}

// New creates a cluster and binds the peer address. Handlers have to be registered before
// Execute.
func New(opts Options) (*Cluster, error) {
	opts = opts.withDefaults()
	node, err := peer.New(opts.Transport)
	if err != nil {
		return nil, err
	}
	if err := node.Listen(); err != nil {
		return nil, err
	}
	self := opts.Transport.Self
	self.Address = node.Addr()
	c := &Cluster{
		opts:        opts,
		node:        node,
		metrics:     newMetrics(opts.Transport.Scope),
		viewChanged: make(chan struct{}),
		left:        make(chan struct{}),
		joined:      make(chan struct{}),

		fetchSlots:    make(chan struct{}, maxFetches),
		firstListDone: make(chan struct{}),
		members:       membership.New(opts.Membership, self, newRand()),
		gossip:        spread.New(opts.Gossip, spread.NewTable(maxTombstones), newRand()),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.view.Store(c.members.View())
	c.metrics.setCounts(c.View()) // a lone instance's view never changes
	node.OnMessage(c.receive)
	node.Handle(methodFetch, c.handleFetch, peer.Idempotent())
	return c, nil
}

// newRand returns a new random source. Each source is used under one lock only.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Execute runs the cluster until Interrupt. The two methods form an actor of oklog/run.
func (c *Cluster) Execute() error {
	c.node.Start()
	var wg sync.WaitGroup
	wg.Go(c.tickLoop)
	wg.Go(c.seedLoop)
	<-c.ctx.Done()
	wg.Wait()
	err := c.node.Close()
	c.fetches.Wait()
	return err
}

// Interrupt ends Execute. A planned stop calls Leave first.
func (c *Cluster) Interrupt(error) { c.cancel() }

// tickLoop drives both state machines.
func (c *Cluster) tickLoop() {
	ticker := time.NewTicker(c.opts.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

// tick advances both state machines.
func (c *Cluster) tick(now time.Time) {
	c.stepMembership(nil, func(m *membership.Membership) []membership.Action { return m.Tick(now) })
	peers, size := c.gossipPeers()
	c.stepGossip(nil, func(s *spread.Gossip) []spread.Action { return s.Tick(now, peers, size) })
}

// gossipPeers returns the addresses to which records and digests are gossiped, and the
// cluster's size. The addresses are those of the neighbours, to which connections are open
// anyway.
func (c *Cluster) gossipPeers() (peers []string, size int) {
	view := c.View()
	size = len(view.Live())
	c.gossipMu.Lock()
	defer c.gossipMu.Unlock()
	if c.peersView == view {
		return c.peers, size
	}
	neighbours := membership.Neighbours(view, c.opts.Membership.Rings)
	peers = make([]string, len(neighbours))
	for i, m := range neighbours {
		peers[i] = m.Address
	}
	c.peersView, c.peers = view, peers
	return peers, size
}

// receive passes a message to its state machine.
func (c *Cluster) receive(from peer.Peer, m protocol.Message) {
	now := time.Now()
	switch m := m.(type) {
	case membership.Message:
		c.stepMembership(&from, func(s *membership.Membership) []membership.Action {
			return s.Receive(now, from.Member, m)
		})
	case spread.Message:
		c.stepGossip(&from, func(s *spread.Gossip) []spread.Action {
			return s.Receive(now, from.Address, m)
		})
	}
}

// stepMembership runs a step of the membership under its lock, then runs the resulting
// actions without the lock.
func (c *Cluster) stepMembership(from *peer.Peer, step func(*membership.Membership) []membership.Action) {
	c.mu.Lock()
	actions := step(c.members)
	for _, a := range actions {
		if changed, ok := a.(membership.ViewChanged); ok {
			c.publishView(changed.View)
		}
	}
	c.checkLeft()
	c.checkJoined(time.Now())
	c.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			c.sendMembership(from, a)
		case membership.Superseded:
			c.supersededOnce.Do(func() { c.reportSuperseded(a.By) })
		}
	}
}

// publishView replaces the view and wakes WaitView; mu is held.
func (c *Cluster) publishView(view *membership.View) {
	c.metrics.reportChanges(c.view.Load(), view)
	c.view.Store(view)
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
}

// sendMembership runs a Send of the membership.
func (c *Cluster) sendMembership(from *peer.Peer, s membership.Send) {
	if s.Reply && from != nil {
		_ = from.Reply(s.Message)
		return
	}
	c.node.Post(s.To, s.Message, s.NewConnection)
}

// reportSuperseded logs and counts that a later incarnation of this instance is running.
func (c *Cluster) reportSuperseded(by membership.Member) {
	klog.ErrorS(nil, "A later run has this instance's name", "name", by.Name, "address", by.Address, "incarnation", by.Incarnation)
	c.metrics.superseded.Inc(1)
}

// stepGossip runs a step of the gossip under its lock, then runs the resulting actions
// without the lock.
func (c *Cluster) stepGossip(from *peer.Peer, step func(*spread.Gossip) []spread.Action) {
	c.gossipMu.Lock()
	actions := step(c.gossip)
	c.gossipMu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			c.sendGossip(from, a)
		case spread.Fetch:
			c.fetches.Go(func() { c.fetch(a) })
		case spread.Accepted:
			if c.opts.OnRecord != nil {
				c.opts.OnRecord(a.Record)
			}
		case spread.Oversized:
			c.reportOversized(a.Record)
		}
	}
}

// sendGossip runs a Send of the gossip, on the connection of the peer whose message it
// answers.
func (c *Cluster) sendGossip(from *peer.Peer, s spread.Send) {
	if from == nil || s.To != from.Address {
		c.node.Post(s.To, s.Message, false)
		return
	}
	m := s.Message
	if offers, ok := m.(*spread.Offers); ok && from.Version < protocol.OffersVersion {
		m = c.pushInstead(offers)
	}
	_ = from.Reply(m) // a lost message is repaired by a later comparison
}

// reportOversized logs and counts a record that can't be gossiped.
func (c *Cluster) reportOversized(r spread.Record) {
	c.metrics.oversized.Inc(1)
	klog.ErrorS(nil, "Record too large to gossip", "record", r.Kind+"/"+r.Name, "revision", r.Revision, "bytes", len(r.Body), "limit", spread.MaxRecordBytes)
}

// seedLoop passes the configured seeds and the platform's list to the membership at
// intervals. The membership contacts those that it doesn't know.
func (c *Cluster) seedLoop() {
	for {
		wait := c.opts.ListInterval
		if !c.contactSeeds() || len(c.View().Live()) == 1 {
			wait = c.opts.ListRetryInterval
		}
		timer := time.NewTimer(jitter(wait))
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that instances started
// together don't call the platform together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// contactSeeds passes all seeds to the membership and reports whether the platform's list
// was available.
func (c *Cluster) contactSeeds() bool {
	seeds := make([]membership.Member, 0, len(c.opts.Seeds))
	for _, address := range c.opts.Seeds {
		seeds = append(seeds, membership.Member{Address: address})
	}
	listed, err := c.listInstances()
	if err != nil {
		klog.ErrorS(err, "Listing the instances failed", "step", "list instances")
	}
	if err == nil {
		c.listedCount.Store(int64(len(listed)))
		c.listedOtherCount.Store(int64(c.countOthers(listed)))
	}
	seeds = append(seeds, listed...)
	now := time.Now()
	c.stepMembership(nil, func(m *membership.Membership) []membership.Action {
		actions := m.Seed(now, seeds)
		if err == nil {
			m.MarkSeedsComplete()
		}
		return actions
	})
	c.firstListOnce.Do(func() { close(c.firstListDone) })
	return err == nil
}

// countOthers returns the number of members that aren't this instance.
func (c *Cluster) countOthers(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.Name != c.opts.Transport.Self.Name {
			n++
		}
	}
	return n
}

// listInstances returns the platform's list, within ListRetryInterval.
func (c *Cluster) listInstances() ([]membership.Member, error) {
	if c.opts.ListInstances == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.ListRetryInterval)
	defer cancel()
	return c.opts.ListInstances(ctx)
}
