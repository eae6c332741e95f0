package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/daemon/cluster"
	"github.com/ivyhollow/ivyhollow/daemon/load"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Lengths of the measure over sockets, in real time.
const (
	joinLimit      = time.Minute
	loopbackWarmUp = 40 * time.Second
	loopbackLength = 15 * time.Second
	digestEvery    = 200 * time.Millisecond
)

func measureLoopback(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, Size: "node", Target: targetNodes, Budget: budget}
	}
	processor := series("loopback: processor time", "ms/s a node", budgetCPU)
	bytes := series("loopback: sent", "B/s a node", budgetBytes)
	memory := series("loopback: heap", "MB a node", budgetMemory)
	for _, n := range o.sizes(8, 24, 64) {
		before := heap()
		rig, err := newLoopback(n)
		if err != nil {
			return nil, err
		}
		rig.measure()
		memory.add(n, (float64(heap())-float64(before))/float64(n)/megabyte)
		rig.stop()
		perNode := float64(n) * loopbackLength.Seconds()
		processor.add(n, rig.processor.Seconds()*1000/perNode)
		bytes.add(n, rig.bytes/perNode)
	}
	return []Series{processor, bytes, memory}, nil
}

type loopback struct {
	nodes     []*cluster.Cluster
	scopes    []tally.TestScope
	ended     chan error
	processor time.Duration
	bytes     float64
}

// newLoopback starts n instances and waits until each sees all.
func newLoopback(n int) (*loopback, error) {
	l := &loopback{ended: make(chan error, n)}
	var seeds []string
	for i := range n {
		scope := tally.NewTestScope("", nil)
		self := fleetMember(i)
		self.Address = ""
		node, err := cluster.New(cluster.Options{
			Transport: peer.Options{Cluster: "capacity", Self: self, Listen: "127.0.0.1:0", Scope: scope},
			Gossip:    load.GossipConfig(),
			Seeds:     seeds,
		})
		if err != nil {
			l.stop()
			return nil, errors.Wrap(err, "start an instance")
		}
		if len(seeds) < rings {
			seeds = append(seeds, node.Self().Address)
		}
		l.nodes = append(l.nodes, node)
		l.scopes = append(l.scopes, scope)
		go func() { l.ended <- node.Execute() }()
	}
	return l, l.join()
}

func (l *loopback) join() error {
	ctx, cancel := context.WithTimeout(context.Background(), joinLimit)
	defer cancel()
	for _, node := range l.nodes {
		whole := func(v *membership.View) bool { return len(v.Live()) == len(l.nodes) }
		if err := node.WaitView(ctx, whole); err != nil {
			l.stop()
			return errors.Wrapf(err, "%d instances did not find one another", len(l.nodes))
		}
	}
	return nil
}

func (l *loopback) measure() {
	l.digests(loopbackWarmUp)
	start, sent := cpu(), l.sent()
	l.digests(loopbackLength)
	l.processor, l.bytes = cpu()-start, l.sent()-sent
}

// digests has every instance renew its load digest for a while.
func (l *loopback) digests(length time.Duration) {
	ticker := time.NewTicker(digestEvery)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		for _, node := range l.nodes {
			node.SendDigest(make([]byte, digestBytes))
			node.Loads()
		}
	}
}

func (l *loopback) sent() float64 {
	sum := 0.0
	for _, scope := range l.scopes {
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "peer.bytes_out" {
				sum += float64(c.Value())
			}
		}
	}
	return sum
}

func (l *loopback) stop() {
	for _, node := range l.nodes {
		node.Interrupt(nil)
	}
	for range l.nodes {
		<-l.ended
	}
}
