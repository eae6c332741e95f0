package capacity

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/load"
	"github.com/ivyhollow/ivyhollow/protocol/loadwire"
)

// Parameters of the exchange of load digests.
const (
	exchangePools      = 10
	exchangesPerSecond = 5
)

// fakeCluster replaces the gossip: it holds the load digests of n origins, some
// of which are replaced between two exchanges.
type fakeCluster struct {
	loads []spread.Load
	size  int
	next  int
}

func (c *fakeCluster) SendDigest(body []byte) { c.size = len(body) }

func (c *fakeCluster) Loads() []spread.Load { return c.loads }

// replaceDigests ages all digests by the interval of the exchanges and replaces
// n of them, as gossip messages would.
func (c *fakeCluster) replaceDigests(n int, body []byte) {
	for i := range c.loads {
		c.loads[i].Age += time.Second / exchangesPerSecond
	}
	for range n {
		at := c.next % len(c.loads)
		c.loads[at].Age = 0
		c.loads[at].Body = append([]byte(nil), body...)
		c.next++
	}
}

func measureExchange(o Options) ([]Series, error) {
	cost := Series{Quantity: "taking in peers' load digests", Unit: "ms/s", SizeUnit: "origin heard", DesignSize: designNodes, Budget: cpuBudget}
	size := Series{Quantity: "own load digest, 10 pools of 3 tiers, all busy", Unit: "B", SizeUnit: "pool", DesignSize: exchangePools, Budget: float64(load.GossipConfig().MaxLoadBodyBytes)}
	for _, n := range o.sizes(8, 64, 220, 440) {
		rig := newExchangeRig(n, exchangePools)
		ns := o.nsPerOp(rig.runExchange)
		cost.add(n, ns*exchangesPerSecond/1e6)
	}
	for _, pools := range o.sizes(1, 5, exchangePools) {
		rig := newExchangeRig(1, pools)
		rig.runExchange()
		size.add(pools, float64(rig.cluster.size))
	}
	return []Series{cost, size}, nil
}

type exchangeRig struct {
	cluster  *fakeCluster
	exchange *load.Exchange
	body     []byte
}

func newExchangeRig(origins, pools int) *exchangeRig {
	now := time.Now()
	table := routing.New(routing.Config{Instance: "self", LocalDataCentre: "dc-0"})
	gates := gate.NewGroup(gate.GroupConfig{}, time.Now)
	for p := range pools {
		name := fmt.Sprint("pool-", p)
		table.SetTargets(now, routing.Pool{Name: name}, targetList(name, 400))
		gates.SetCapacity(name, 64*16, false)
		for rank := range 3 {
			gates.TryEnter(name, gate.Request{Rank: rank, LatestStart: now.Add(time.Hour)})
		}
		for range 96 {
			choice, err := table.Pick(now, rng, routing.Query{Pool: name})
			if err == nil {
				table.Started(now, choice.Target.Incarnation, 1)
			}
		}
	}
	rig := &exchangeRig{cluster: &fakeCluster{}, body: encodePeerDigest(table, now, pools)}
	for i := range origins {
		rig.cluster.loads = append(rig.cluster.loads, spread.Load{Origin: fmt.Sprint("instance-", i), Body: rig.body})
	}
	rig.exchange = load.New("self", rig.cluster, table, gates, func() int { return origins + 1 })
	return rig
}

// runExchange replaces one digest and then runs one exchange.
func (r *exchangeRig) runExchange() {
	r.cluster.replaceDigests(1, r.body)
	r.exchange.Tick(time.Now())
}

// encodePeerDigest returns the encoded load digest of a peer, of the largest size
// that the gossip accepts.
func encodePeerDigest(table *routing.Table, now time.Time, pools int) []byte {
	digest := loadwire.Digest{Pools: map[string]tiers.Digest{}}
	for p := range min(pools, 2) {
		d := tiers.Digest{}
		d.Ranks[1].InFlight, d.Ranks[1].Demand = 3, 2.5
		digest.Pools[fmt.Sprint("pool-", p)] = d
	}
	entries := table.Digest(now)
	digest.Targets = entries[:min(len(entries), 8)]
	body, err := loadwire.Encode(digest, load.GossipConfig().MaxLoadBodyBytes)
	if err != nil {
		return nil
	}
	return body
}
