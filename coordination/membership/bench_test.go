package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"
)

// bench runs several state machines in virtual time. Messages arrive in the
// step in which they are sent unless drop says otherwise.
type bench struct {
	t      require.TestingT
	now    time.Time
	nodes  map[string]*Membership
	frozen map[string]bool
	drop   func(from, to string, fresh bool) bool
	// check looks at each message.
	check func(Message)
	// watch looks at each new view.
	watch func(*View)
	// accused holds the worst state of each member in any view, near the same
	// in the views of its own data centre.
	accused, near map[string]State
}

const (
	maxMembers = 16
	// largest is the size of the largest cluster in a test.
	largest = 96
)

// addresses are those of all members that a test can start.
var addresses = func() (list [largest]string) {
	for i := range list {
		list[i] = member(i).Address
	}
	return list
}()

func member(i int) Member {
	return Member{
		Name: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("10.0.0.%d:7", i),
		CallerURL: "http://10.0.0.1:80", DataCentre: fmt.Sprint("dc", i%3), Incarnation: 1,
	}
}

func newBench(t require.TestingT, n int, cfg Config) *bench {
	b := &bench{
		t: t, now: time.Unix(1000, 0), nodes: map[string]*Membership{}, frozen: map[string]bool{},
		drop: func(string, string, bool) bool { return false }, accused: map[string]State{}, near: map[string]State{},
	}
	for i := range n {
		b.start(cfg, member(i), member(0))
	}
	return b
}

// start runs a process at a member's address and names it a seed.
func (b *bench) start(cfg Config, self, seed Member) *Membership {
	m := New(cfg, self, rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Address)+len(b.nodes)))))
	b.nodes[self.Address] = m
	b.do(m, m.Seed(b.now, []Member{{Address: seed.Address}}))
	return m
}

// do delivers what the actions ask for, until nothing is left to deliver.
func (b *bench) do(from *Membership, actions []Action) {
	for _, a := range actions {
		if c, ok := a.(Changed); ok {
			if b.watch != nil {
				b.watch(c.View)
			}
			for _, x := range c.View.Members {
				b.accused[x.Name] = max(b.accused[x.Name], x.State)
				if x.DataCentre == from.self.DataCentre {
					b.near[x.Name] = max(b.near[x.Name], x.State)
				}
			}
		}
		s, ok := a.(Send)
		if !ok {
			continue
		}
		if b.check != nil {
			b.check(s.Message)
		}
		to := b.nodes[s.To]
		if to == nil || b.frozen[s.To] || b.drop(from.self.Address, s.To, s.Fresh) {
			continue
		}
		b.do(to, to.Receive(b.now, from.self, s.Message))
	}
}

// run lets time pass in steps of a tenth of a second.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		for _, address := range addresses {
			if m := b.nodes[address]; m != nil && !b.frozen[address] {
				b.do(m, m.Tick(b.now))
			}
		}
	}
}

// agree requires that every running process sees just these names as live.
func (b *bench) agree(want ...string) {
	for _, m := range b.nodes {
		require.ElementsMatch(b.t, want, names(m.view.live), "view of %s", m.self.Name)
	}
}

func all(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = member(i).Name
	}
	return out
}
