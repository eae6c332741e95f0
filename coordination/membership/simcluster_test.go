package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"
)

// simCluster runs several state machines in virtual time. A message arrives in
// the step in which it is sent unless drop returns true for it.
type simCluster struct {
	t      require.TestingT
	now    time.Time
	nodes  map[string]*Membership
	frozen map[string]bool
	drop   func(from, to string, newConnection bool) bool
	// onMessage is called for each message.
	onMessage func(Message)
	// onView is called for each new view.
	onView func(*View)
	// worst holds the worst state of each member in any view; worstInOwnCentre holds
	// the worst one in the views of the member's own data centre.
	worst, worstInOwnCentre map[string]State
}

const (
	maxMembers = 16
	// maxSimulated is the size of the largest simulated cluster.
	maxSimulated = 96
)

// addresses holds the addresses of all members that a test can start.
var addresses = func() (list [maxSimulated]string) {
	for i := range list {
		list[i] = member(i).Address
	}
	return list
}()

// member returns the i-th member of a simulated cluster.
func member(i int) Member {
	return Member{
		Name: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("10.0.0.%d:7", i),
		CallerURL: "http://10.0.0.1:80", DataCentre: fmt.Sprint("dc", i%3), Incarnation: 1,
	}
}

func newSimCluster(t require.TestingT, n int, cfg Config) *simCluster {
	b := &simCluster{
		t: t, now: time.Unix(1000, 0), nodes: map[string]*Membership{}, frozen: map[string]bool{},
		drop: func(string, string, bool) bool { return false }, worst: map[string]State{}, worstInOwnCentre: map[string]State{},
	}
	for i := range n {
		b.start(cfg, member(i), member(0))
	}
	return b
}

// start runs a process at a member's address with another member as its seed.
func (b *simCluster) start(cfg Config, self, seed Member) *Membership {
	m := New(cfg, self, rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Address)+len(b.nodes)))))
	b.nodes[self.Address] = m
	b.deliver(m, m.Seed(b.now, []Member{{Address: seed.Address}}))
	return m
}

// deliver performs the actions and those that result from them, until no message
// is left.
func (b *simCluster) deliver(from *Membership, actions []Action) {
	for _, a := range actions {
		if c, ok := a.(ViewChanged); ok {
			if b.onView != nil {
				b.onView(c.View)
			}
			for _, x := range c.View.Members {
				b.worst[x.Name] = max(b.worst[x.Name], x.State)
				if x.DataCentre == from.self.DataCentre {
					b.worstInOwnCentre[x.Name] = max(b.worstInOwnCentre[x.Name], x.State)
				}
			}
		}
		s, ok := a.(Send)
		if !ok {
			continue
		}
		if b.onMessage != nil {
			b.onMessage(s.Message)
		}
		to := b.nodes[s.To]
		if to == nil || b.frozen[s.To] || b.drop(from.self.Address, s.To, s.NewConnection) {
			continue
		}
		b.deliver(to, to.Receive(b.now, from.self, s.Message))
	}
}

// run advances the time in steps of 100 ms.
func (b *simCluster) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		for _, address := range addresses {
			if m := b.nodes[address]; m != nil && !b.frozen[address] {
				b.deliver(m, m.Tick(b.now))
			}
		}
	}
}

// requireLive requires that the live members in every running process's view are
// exactly these names.
func (b *simCluster) requireLive(want ...string) {
	for _, m := range b.nodes {
		require.ElementsMatch(b.t, want, names(m.view.live), "view of %s", m.self.Name)
	}
}

// memberNames returns the names of the first n members.
func memberNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = member(i).Name
	}
	return out
}
