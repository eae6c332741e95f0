package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/load"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Parameters of a simulated fleet.
const (
	tickInterval = 100 * time.Millisecond
	// fleetDataCentres is the number of data centres. The first
	// firstRegionDataCentres of them form the first region.
	fleetDataCentres       = 5
	firstRegionDataCentres = 3
	rings                  = 8
	// digestBytes is the size of the body of a load digest.
	digestBytes   = 100
	maxTombstones = 4096
	recordKind    = "accounts"
)

// fleet simulates instances in virtual time: the membership and the gossip of
// each, driven as the daemon drives them. A message arrives in the next tick.
type fleet struct {
	now   time.Time
	nodes []*fleetNode
	// byAddress holds the nodes by address, inTransit the messages that arrive in
	// the next tick.
	byAddress map[string]*fleetNode
	inTransit []fleetMessage
	// partitioned is whether messages between the two regions are dropped.
	partitioned bool
	sent        traffic
}

type fleetNode struct {
	self    membership.Member
	members *membership.Membership
	gossip  *spread.Gossip
	table   *spread.Table
	view    *membership.View
	peers   []string
	down    bool
	seq     uint64
}

type fleetMessage struct {
	from, to *fleetNode
	message  peer.Message
}

// traffic is what a fleet has sent: the bytes of whole frames by kind, and the
// number of messages.
type traffic struct {
	membership, records, loads int
	messages                   int
}

func (t traffic) bytes() int { return t.membership + t.records + t.loads }

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), byAddress: make(map[string]*fleetNode, n)}
	list := make([]membership.Member, n)
	for i := range list {
		list[i] = fleetMember(i)
	}
	for i := range list {
		random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), stream)) }
		table := spread.NewTable(maxTombstones)
		node := &fleetNode{
			self:    list[i],
			members: membership.New(membership.DefaultConfig(), list[i], random(1)),
			gossip:  spread.New(load.GossipConfig(), table, random(2)),
			table:   table,
		}
		f.nodes = append(f.nodes, node)
		f.byAddress[list[i].Address] = node
	}
	for _, node := range f.nodes {
		f.applyMembership(node, node.members.Seed(f.now, list))
	}
	return f
}

func fleetMember(i int) membership.Member {
	return membership.Member{
		Name:        fmt.Sprintf("instance-%03d", i),
		Address:     fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250),
		CallerURL:   fmt.Sprintf("http://10.1.%d.%d:7000", i/250, i%250),
		DataCentre:  fmt.Sprint("dc-", i%fleetDataCentres),
		Incarnation: 1_700_000_000_000_000_000,
	}
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// step advances the virtual time by one tick: it delivers the messages in
// transit and ticks every running instance.
func (f *fleet) step() {
	f.now = f.now.Add(tickInterval)
	queue := f.inTransit
	f.inTransit = nil
	for _, m := range queue {
		f.deliver(m)
	}
	for _, node := range f.nodes {
		if !node.down {
			f.tick(node)
		}
	}
}

func (f *fleet) deliver(m fleetMessage) {
	if m.to.down || m.from.down || f.separated(m.from, m.to) {
		return
	}
	switch message := m.message.(type) {
	case membership.Message:
		f.applyMembership(m.to, m.to.members.Receive(f.now, m.from.self, message))
	case spread.Message:
		f.applyGossip(m.to, m.to.gossip.Receive(f.now, m.from.self.Address, message))
	}
}

func (f *fleet) tick(node *fleetNode) {
	f.applyMembership(node, node.members.Tick(f.now))
	if view := node.members.View(); view != node.view {
		node.view = view
		node.peers = nil
		for _, m := range membership.Neighbours(view, rings) {
			node.peers = append(node.peers, m.Address)
		}
	}
	node.seq++
	node.gossip.SetLoad(f.now, spread.LoadDigest{
		Origin: node.self.Name, Incarnation: node.self.Incarnation, Seq: node.seq, Body: make([]byte, digestBytes),
	})
	f.applyGossip(node, node.gossip.Tick(f.now, node.peers, len(node.view.Live())))
}

func (f *fleet) applyMembership(from *fleetNode, actions []membership.Action) {
	for _, a := range actions {
		if send, ok := a.(membership.Send); ok {
			f.sent.membership += f.send(from, send.To, send.Message)
		}
	}
}

func (f *fleet) applyGossip(from *fleetNode, actions []spread.Action) {
	for _, a := range actions {
		send, ok := a.(spread.Send)
		if !ok {
			continue
		}
		size := f.send(from, send.To, send.Message)
		if _, load := send.Message.(*spread.Loads); load {
			f.sent.loads += size
		} else {
			f.sent.records += size
		}
	}
}

// send queues a message and returns its size on the wire in bytes.
func (f *fleet) send(from *fleetNode, to string, m peer.Message) int {
	frame, err := peer.Encode(m)
	if err != nil {
		return 0
	}
	f.sent.messages++
	if node := f.byAddress[to]; node != nil {
		f.inTransit = append(f.inTransit, fleetMessage{from: from, to: node, message: m})
	}
	return len(frame)
}

func (f *fleet) separated(a, b *fleetNode) bool {
	return f.partitioned && f.inFirstRegion(a) != f.inFirstRegion(b)
}

// inFirstRegion returns whether an instance is in the first region.
func (f *fleet) inFirstRegion(n *fleetNode) bool {
	return n.self.DataCentre < fmt.Sprint("dc-", firstRegionDataCentres)
}

// converged returns whether the live members in the view of every running
// instance are as many as the instances that it can reach.
func (f *fleet) converged() bool {
	var up, first int
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		up++
		if f.inFirstRegion(n) {
			first++
		}
	}
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		want := up
		if f.partitioned && f.inFirstRegion(n) {
			want = first
		} else if f.partitioned {
			want = up - first
		}
		if len(n.members.View().Live()) != want {
			return false
		}
	}
	return true
}

// converge runs until the views have converged, at most for limit. It returns
// the time taken, and false if they have not converged.
func (f *fleet) converge(limit time.Duration) (took time.Duration, ok bool) {
	begun := f.now
	for f.now.Sub(begun) < limit {
		if f.converged() {
			return f.now.Sub(begun), true
		}
		f.step()
	}
	return limit, false
}

// recordReachedAll returns whether every running instance holds a revision of
// a record, or a later one.
func (f *fleet) recordReachedAll(name string, revision uint64) bool {
	for _, n := range f.nodes {
		r, ok := n.table.Get(recordKind, name)
		if !n.down && (!ok || r.Revision < revision) {
			return false
		}
	}
	return true
}
