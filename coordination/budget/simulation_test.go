package budget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

var epoch = time.Unix(1_000_000, 0)

// fleet runs the ledgers of several instances in virtual time. Messages take
// latency, and a change of membership takes up to maxDelay to reach an instance.
type fleet struct {
	now           time.Time
	rng           *rand.Rand
	nodes         []*node
	account       catalog.Account
	latency       time.Duration
	maxDelay      time.Duration
	inFlight      []message
	served        int
	grantRequests int
	changes       int
}

type node struct {
	name      string
	ledger    *Ledger
	alive     bool
	partition int
	updateDue time.Time
}

// message is a request to a home or its grant; the other field is nil.
type message struct {
	arrivesAt time.Time
	from, to  *node
	request   *GrantRequest
	grant     *Grant
}

func newFleet(seed uint64, size int, account catalog.Account) *fleet {
	f := &fleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), account: account,
		latency: time.Millisecond, maxDelay: time.Second,
	}
	for range size {
		f.add()
	}
	f.updateMembership(f.nodes...)
	return f
}

func (f *fleet) add() *node {
	name := fmt.Sprintf("i%d", len(f.nodes))
	n := &node{name: name, alive: true, ledger: NewLedger(f.now, Config{Self: name})}
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) alive() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return !n.alive })
}

// updateMembership applies the current membership to nodes: each reaches the alive
// nodes of its partition, and the platform lists the alive nodes of all partitions.
func (f *fleet) updateMembership(nodes ...*node) {
	alive := f.alive()
	for _, n := range nodes {
		var reachable []string
		for _, other := range alive {
			if other.partition == n.partition {
				reachable = append(reachable, other.name)
			}
		}
		n.updateDue = time.Time{}
		n.ledger.SetMembers(f.now, reachable, len(alive))
	}
}

// changeMembership schedules the update of each alive node after a random delay.
func (f *fleet) changeMembership() {
	f.changes++
	for _, n := range f.alive() {
		n.updateDue = f.now.Add(time.Duration(f.rng.Int64N(int64(f.maxDelay))))
	}
}

func (f *fleet) request(n *node) Verdict {
	d := n.ledger.Allow(f.now, &f.account)
	if d.Request != nil {
		f.grantRequests++
		f.send(n, f.node(d.Request.Home), message{request: d.Request})
	}
	if d.Verdict == Allowed {
		f.served++
	}
	return d.Verdict
}

func (f *fleet) node(name string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	return f.nodes[i]
}

func (f *fleet) send(from, to *node, m message) {
	m.arrivesAt, m.from, m.to = f.now.Add(f.latency), from, to
	f.inFlight = append(f.inFlight, m)
}

// dropMessage reports the failed request to the ledger that sent it.
func (f *fleet) dropMessage(m message) {
	if m.request != nil {
		m.from.ledger.RequestFailed(f.now, *m.request)
		return
	}
	m.to.ledger.RequestFailed(f.now, GrantRequest{Account: m.grant.Account, Seq: m.grant.Seq})
}

// step advances time and delivers the messages and updates that are due.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for len(f.inFlight) > 0 && !f.inFlight[0].arrivesAt.After(f.now) {
		m := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		if !m.from.alive || !m.to.alive || m.from.partition != m.to.partition {
			f.dropMessage(m)
			continue
		}
		if m.request != nil {
			g := m.to.ledger.Grant(f.now, *m.request, &f.account)
			f.send(m.to, m.from, message{grant: &g})
		} else {
			m.to.ledger.ApplyGrant(f.now, *m.grant)
		}
	}
	for _, n := range f.nodes {
		if n.alive && !n.updateDue.IsZero() && !n.updateDue.After(f.now) {
			f.updateMembership(n)
		}
	}
}

// baseline is a simpler strategy that the ledger is compared with: each instance has
// one token bucket that fills at the rate of the instance's share.
type baseline struct {
	account      catalog.Account
	rng          *rand.Rand
	now          time.Time
	tokens       []float64
	shares       []float64
	demand       []float64
	followDemand bool
	served       int
}

func newBaseline(seed uint64, size int, account catalog.Account, followDemand bool) *baseline {
	b := &baseline{
		account: account, followDemand: followDemand, now: epoch, rng: rand.New(rand.NewPCG(seed, 1)),
		tokens: make([]float64, size), shares: make([]float64, size), demand: make([]float64, size),
	}
	for i := range b.shares {
		b.shares[i] = 1 / float64(size)
		b.tokens[i] = account.Burst * b.shares[i]
	}
	return b
}

// rebalanceInterval is the time between two adjustments of the shares to the demand.
const rebalanceInterval = 200 * time.Millisecond

func (b *baseline) step(d time.Duration) {
	before := b.now
	b.now = b.now.Add(d)
	for i := range b.tokens {
		b.tokens[i] += b.account.RequestsPerSecond * b.shares[i] * d.Seconds()
		b.tokens[i] = min(b.tokens[i], max(b.account.Burst*b.shares[i], 1))
	}
	if !b.followDemand || b.now.Truncate(rebalanceInterval).Equal(before.Truncate(rebalanceInterval)) {
		return
	}
	total, size := 0.0, float64(len(b.shares))
	for i := range b.demand {
		total += b.demand[i]
	}
	for i := range b.shares {
		b.shares[i] = DefaultLocalShare / size
		if total > 0 {
			b.shares[i] += (1 - DefaultLocalShare) * b.demand[i] / total
		}
		b.demand[i] *= 0.8
	}
}

func (b *baseline) request(i int) bool {
	b.demand[i]++
	if b.tokens[i] < 1 {
		return false
	}
	b.tokens[i]--
	b.served++
	return true
}
