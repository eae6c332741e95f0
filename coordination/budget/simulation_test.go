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
// hop, and news of who is there takes up to spread to reach an instance.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	nodes   []*node
	account catalog.Account
	hop     time.Duration
	spread  time.Duration
	mail    []letter
	served  int
	asks    int
	changes int
}

type node struct {
	name   string
	ledger *Ledger
	alive  bool
	side   int
	news   time.Time
}

type letter struct {
	at       time.Time
	from, to *node
	ask      *GrantRequest
	grant    *Grant
}

func newFleet(seed uint64, size int, account catalog.Account) *fleet {
	f := &fleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), account: account,
		hop: time.Millisecond, spread: time.Second,
	}
	for range size {
		f.add()
	}
	f.tell(f.nodes...)
	return f
}

func (f *fleet) add() *node {
	name := fmt.Sprintf("i%d", len(f.nodes))
	n := &node{name: name, alive: true, ledger: NewLedger(f.now, Config{Self: name})}
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) living() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return !n.alive })
}

// tell brings nodes up to date: they hear the living on their side, and the
// platform's list counts all the living.
func (f *fleet) tell(nodes ...*node) {
	living := f.living()
	for _, n := range nodes {
		var heard []string
		for _, other := range living {
			if other.side == n.side {
				heard = append(heard, other.name)
			}
		}
		n.news = time.Time{}
		n.ledger.SetMembers(f.now, heard, len(living))
	}
}

// changed lets every living node hear the news after a while of its own.
func (f *fleet) changed() {
	f.changes++
	for _, n := range f.living() {
		n.news = f.now.Add(time.Duration(f.rng.Int64N(int64(f.spread))))
	}
}

func (f *fleet) request(n *node) Verdict {
	d := n.ledger.Allow(f.now, &f.account)
	if d.Request != nil {
		f.asks++
		f.post(n, f.find(d.Request.Home), letter{ask: d.Request})
	}
	if d.Verdict == Allowed {
		f.served++
	}
	return d.Verdict
}

func (f *fleet) find(name string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	return f.nodes[i]
}

func (f *fleet) post(from, to *node, l letter) {
	l.at, l.from, l.to = f.now.Add(f.hop), from, to
	f.mail = append(f.mail, l)
}

// lost tells the one who asked that no answer comes.
func (f *fleet) lost(l letter) {
	if l.ask != nil {
		l.from.ledger.RequestFailed(f.now, *l.ask)
		return
	}
	l.to.ledger.RequestFailed(f.now, GrantRequest{Account: l.grant.Account, Seq: l.grant.Seq})
}

// step lets time pass, and delivers what is due.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for len(f.mail) > 0 && !f.mail[0].at.After(f.now) {
		l := f.mail[0]
		f.mail = f.mail[1:]
		if !l.from.alive || !l.to.alive || l.from.side != l.to.side {
			f.lost(l)
			continue
		}
		if l.ask != nil {
			g := l.to.ledger.Grant(f.now, *l.ask, &f.account)
			f.post(l.to, l.from, letter{grant: &g})
		} else {
			l.to.ledger.ApplyGrant(f.now, *l.grant)
		}
	}
	for _, n := range f.nodes {
		if n.alive && !n.news.IsZero() && !n.news.After(f.now) {
			f.tell(n)
		}
	}
}

// baseline is a way to share a budget that the ledger is weighed against: a
// token bucket an instance, whose rate is the instance's share.
type baseline struct {
	account catalog.Account
	rng     *rand.Rand
	now     time.Time
	tokens  []float64
	shares  []float64
	wanted  []float64
	follow  bool
	served  int
}

func newBaseline(seed uint64, size int, account catalog.Account, follow bool) *baseline {
	b := &baseline{
		account: account, follow: follow, now: epoch, rng: rand.New(rand.NewPCG(seed, 1)),
		tokens: make([]float64, size), shares: make([]float64, size), wanted: make([]float64, size),
	}
	for i := range b.shares {
		b.shares[i] = 1 / float64(size)
		b.tokens[i] = account.Burst * b.shares[i]
	}
	return b
}

// digestEvery is how often the shares follow the demand.
const digestEvery = 200 * time.Millisecond

func (b *baseline) step(d time.Duration) {
	before := b.now
	b.now = b.now.Add(d)
	for i := range b.tokens {
		b.tokens[i] += b.account.RequestsPerSecond * b.shares[i] * d.Seconds()
		b.tokens[i] = min(b.tokens[i], max(b.account.Burst*b.shares[i], 1))
	}
	if !b.follow || b.now.Truncate(digestEvery).Equal(before.Truncate(digestEvery)) {
		return
	}
	total, size := 0.0, float64(len(b.shares))
	for i := range b.wanted {
		total += b.wanted[i]
	}
	for i := range b.shares {
		b.shares[i] = DefaultLocalShare / size
		if total > 0 {
			b.shares[i] += (1 - DefaultLocalShare) * b.wanted[i] / total
		}
		b.wanted[i] *= 0.8
	}
}

func (b *baseline) request(i int) bool {
	b.wanted[i]++
	if b.tokens[i] < 1 {
		return false
	}
	b.tokens[i]--
	b.served++
	return true
}
