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

// Times of the measurement over sockets, in real time.
const (
	joinTimeout    = time.Minute
	loopbackWarmUp = 40 * time.Second
	loopbackLength = 15 * time.Second
	digestInterval = 200 * time.Millisecond
)

func measureLoopback(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, SizeUnit: "node", DesignSize: designNodes, Budget: budget}
	}
	processor := series("loopback: processor time", "ms/s a node", cpuBudget)
	bytes := series("loopback: sent", "B/s a node", sendBudget)
	memory := series("loopback: heap", "MB a node", memoryBudget)
	for _, n := range o.sizes(8, 24, 64) {
		before := heapAlloc()
		rig, err := newLoopbackCluster(n)
		if err != nil {
			return nil, err
		}
		rig.measure()
		memory.add(n, (float64(heapAlloc())-float64(before))/float64(n)/megabyte)
		rig.stop()
		perNode := float64(n) * loopbackLength.Seconds()
		processor.add(n, rig.cpuTime.Seconds()*1000/perNode)
		bytes.add(n, rig.sentBytes/perNode)
	}
	return []Series{processor, bytes, memory}, nil
}

type loopbackCluster struct {
	nodes     []*cluster.Cluster
	scopes    []tally.TestScope
	ended     chan error
	cpuTime   time.Duration
	sentBytes float64
}

// newLoopbackCluster starts n instances in this process and waits until each has
// all of them in its view.
func newLoopbackCluster(n int) (*loopbackCluster, error) {
	l := &loopbackCluster{ended: make(chan error, n)}
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
	return l, l.waitJoined()
}

func (l *loopbackCluster) waitJoined() error {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
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

func (l *loopbackCluster) measure() {
	l.sendDigests(loopbackWarmUp)
	start, sent := cpuTime(), l.bytesSent()
	l.sendDigests(loopbackLength)
	l.cpuTime, l.sentBytes = cpuTime()-start, l.bytesSent()-sent
}

// sendDigests makes every instance send load digests at the usual interval for
// the given time.
func (l *loopbackCluster) sendDigests(length time.Duration) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		for _, node := range l.nodes {
			node.SendDigest(make([]byte, digestBytes))
			node.Loads()
		}
	}
}

func (l *loopbackCluster) bytesSent() float64 {
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

func (l *loopbackCluster) stop() {
	for _, node := range l.nodes {
		node.Interrupt(nil)
	}
	for range l.nodes {
		<-l.ended
	}
}
