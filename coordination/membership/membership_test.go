package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFaults(t *testing.T) {
	cut := func(a, c Member) func(string, string, bool) bool {
		return func(from, to string, _ bool) bool {
			return from == a.Address && to == c.Address || from == c.Address && to == a.Address
		}
	}
	cases := []struct {
		name        string
		description string
		run         func(t *testing.T, b *simCluster)
	}{
		{"join", "Seven instances know one seed. Each learns of all others.",
			func(t *testing.T, b *simCluster) { b.requireLive(memberNames(8)...) }},
		{"crash", "A process crashes. All others remove it from their live members and remember it only for the retention.",
			func(t *testing.T, b *simCluster) {
				delete(b.nodes, member(3).Address)
				b.run(20 * time.Second)
				b.requireLive(append(memberNames(3), memberNames(8)[4:]...)...)
				b.run(20 * time.Minute)
				require.Len(t, b.nodes[member(0).Address].Members(), 7)
			}},
		{"restart", "A process crashes and is restarted at its address. " +
			"Updates about the earlier run are still in flight; they must not remove the new run.",
			func(t *testing.T, b *simCluster) {
				delete(b.nodes, member(3).Address)
				b.run(3 * time.Second)
				again := member(3)
				again.Incarnation = 2
				b.start(Config{}, again, member(5))
				b.run(20 * time.Second)
				b.requireLive(memberNames(8)...)
				for _, m := range b.nodes {
					x, _ := m.View().Find(again.Name)
					require.Equal(t, uint64(2), x.Incarnation)
					require.True(t, m.View().RunEnded(again.Name, 1))
				}
			}},
		{"replaced", "Another instance gets the address of one that crashed. " +
			"Calls to the old name must not reach the new process.",
			func(t *testing.T, b *simCluster) {
				next := member(3)
				next.Name, next.Incarnation = "other", 9
				b.start(Config{}, next, member(5))
				b.run(2 * time.Second)
				b.requireLive(append(append(memberNames(3), memberNames(8)[4:]...), "other")...)
			}},
		{"leave", "An instance leaves. Others remove it from their live members within two seconds, and a " +
			"platform's list that still contains it does not make this run live again.",
			func(t *testing.T, b *simCluster) {
				m := b.nodes[member(3).Address]
				b.deliver(m, m.Leave(b.now))
				acked, notified := m.LeaveProgress()
				require.Equal(t, notified, acked)
				require.Positive(t, notified)
				b.run(2 * time.Second)
				delete(b.nodes, member(3).Address)
				b.deliver(b.nodes[member(0).Address], b.nodes[member(0).Address].Seed(b.now, []Member{member(3)}))
				for _, n := range b.nodes {
					b.deliver(n, n.Receive(b.now, member(3), &Ping{}))
				}
				b.run(10 * time.Second)
				b.requireLive(append(memberNames(3), memberNames(8)[4:]...)...)
			}},
		{"cut path", "The path between two healthy instances breaks. " +
			"Each would declare the other dead; the indirect probes through others must prevent it.",
			func(t *testing.T, b *simCluster) {
				b.drop = cut(member(1), member(2))
				b.run(2 * time.Minute)
				b.requireLive(memberNames(8)...)
				require.Equal(t, Alive, b.worst[member(1).Name])
				require.Equal(t, Alive, b.worst[member(2).Name])
			}},
		{"one way cut", "Messages from an instance do not reach half of the others, but it receives from all. " +
			"Those with a working path keep it alive for everyone.",
			func(t *testing.T, b *simCluster) {
				b.drop = func(from, to string, _ bool) bool {
					return from == member(2).Address && to < member(4).Address
				}
				b.run(2 * time.Minute)
				b.requireLive(memberNames(8)...)
				require.Less(t, b.worst[member(2).Name], Dead)
			}},
		{"silent connections", "Every open connection of an instance becomes silent while new ones " +
			"work. It must not even be suspected.",
			func(t *testing.T, b *simCluster) {
				b.drop = func(from, to string, newConnection bool) bool { return !newConnection && to == member(2).Address }
				b.run(time.Minute)
				require.Equal(t, Alive, b.worst[member(2).Name])
			}},
		{"paused", "A process is paused for less than the others' suspicion timeout, then resumes. " +
			"It received no Ack meanwhile; it must not suspect others for it.",
			func(t *testing.T, b *simCluster) {
				m := b.nodes[member(2).Address]
				b.drop = func(_, to string, _ bool) bool { return to == m.self.Address }
				for m.probes.target == "" {
					b.run(100 * time.Millisecond)
				}
				suspect := member(5)
				suspect.State = Suspect
				m.Receive(b.now, member(0), &Ping{Updates: []Member{suspect}})
				b.frozen[m.self.Address] = true
				b.drop = func(string, string, bool) bool { return false }
				b.run(6 * time.Second)
				b.frozen[m.self.Address] = false
				b.run(20 * time.Second)
				b.requireLive(memberNames(8)...)
				for i := range 8 {
					if i != 2 && i != 5 {
						require.Equal(t, Alive, b.worst[member(i).Name], member(i).Name)
					}
				}
				require.Less(t, b.worst[member(5).Name], Dead)
			}},
		{"false verdict", "One instance whose own paths are broken declares another dead and reports it. " +
			"Members that see it as alive must give it time to refute.",
			func(t *testing.T, b *simCluster) {
				claim := member(3)
				claim.State = Dead
				m := b.nodes[member(1).Address]
				b.deliver(m, m.Receive(b.now, member(2), &Ping{Updates: []Member{claim}}))
				b.run(10 * time.Second)
				require.Equal(t, Suspect, b.worst[claim.Name])
				b.requireLive(memberNames(8)...)
			}},
		{"exchange after a cut", "The first full exchange after a partition declares all members of this side " +
			"dead. No member may be suspected for it; the disputed members are probed and refute.",
			func(t *testing.T, b *simCluster) {
				var claims []Member
				for i := 2; i < 8; i++ {
					v := member(i)
					v.State = Dead
					claims = append(claims, v)
				}
				m := b.nodes[member(1).Address]
				b.deliver(m, m.Receive(b.now, member(0), &SyncResponse{Members: claims}))
				b.run(10 * time.Second)
				for _, v := range claims {
					require.Equal(t, Alive, b.worst[v.Name])
					require.Equal(t, uint32(1), b.nodes[v.Address].self.Refutation)
				}
			}},
		{"parted", "One data centre is partitioned from the others for ten minutes. Each side declares the other " +
			"dead. After the partition all are live again, and the first exchange declares no member dead.",
			func(t *testing.T, b *simCluster) {
				side := func(a string) bool { return b.nodes[a].self.DataCentre == "dc0" }
				b.drop = func(from, to string, _ bool) bool { return side(from) != side(to) }
				b.run(10 * time.Minute)
				require.Len(t, b.nodes[member(0).Address].View().Live(), 3)
				require.Len(t, b.nodes[member(1).Address].View().Live(), 5)
				b.drop = func(string, string, bool) bool { return false }
				b.worstInOwnCentre = map[string]State{}
				b.run(time.Minute)
				for name, state := range b.worstInOwnCentre {
					require.Equal(t, Alive, state, "%s was suspected in its own data centre", name)
				}
				b.requireLive(memberNames(8)...)
			}},
		{"forgotten", "A partition outlasts the retention, so that both sides removed each other. " +
			"The platform's list joins them again.",
			func(t *testing.T, b *simCluster) {
				alone := member(7).Address
				b.drop = func(from, to string, _ bool) bool { return (from == alone) != (to == alone) }
				b.run(20 * time.Minute)
				require.Len(t, b.nodes[alone].Members(), 1)
				b.drop = func(string, string, bool) bool { return false }
				b.deliver(b.nodes[alone], b.nodes[alone].Seed(b.now, []Member{member(0), member(1)}))
				b.run(time.Minute)
				b.requireLive(memberNames(8)...)
			}},
		{"superseded", "Two processes run under one name. The earlier one is notified.",
			func(t *testing.T, b *simCluster) {
				m := b.nodes[member(2).Address]
				later := member(2)
				later.Incarnation = 5
				require.Contains(t, m.Receive(b.now, member(1), &Ping{Updates: []Member{later}}), Superseded{By: later})
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newSimCluster(t, 8, Config{Retention: 15 * time.Minute})
			b.run(10 * time.Second)
			c.run(t, b)
		})
	}
}

// Messages are lost and processes crash and restart in any order. In the end the
// live members in every view must be exactly the running processes, no message
// may exceed its limits, and the members that are dead or left are bounded.
func TestConvergesAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{MaxDeadOrLeft: 4}.withDefaults()
		b := newSimCluster(rt, 12, cfg)
		seed := rapid.Uint64().Draw(rt, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		loss := rapid.Float64Range(0, 0.3).Draw(rt, "loss")
		b.drop = func(string, string, bool) bool { return rng.Float64() < loss }
		b.onMessage = func(m Message) {
			var updates []Member
			switch m := m.(type) {
			case *Ping:
				updates = m.Updates
			case *Ack:
				updates = m.Updates
			}
			require.LessOrEqual(rt, len(updates), cfg.MaxUpdates)
		}
		for step := range rapid.IntRange(1, 8).Draw(rt, "steps") {
			b.run(time.Duration(rapid.IntRange(0, 100).Draw(rt, "tenths")) * 100 * time.Millisecond)
			i := rapid.IntRange(1, 11).Draw(rt, "who")
			if b.nodes[member(i).Address] != nil && rapid.Bool().Draw(rt, "dies") {
				delete(b.nodes, member(i).Address)
				continue
			}
			again := member(i)
			again.Incarnation = uint64(step + 2)
			b.start(cfg, again, member(0))
		}
		b.drop = func(string, string, bool) bool { return false }
		b.run(2 * time.Minute)
		var running []string
		for _, m := range b.nodes {
			running = append(running, m.self.Name)
			require.LessOrEqual(rt, len(m.deadOrLeft), cfg.MaxDeadOrLeft)
			require.Empty(rt, m.probes.disputed)
		}
		b.requireLive(running...)
	})
}

// Instances start and stop for days. The members that are dead or left must stay
// bounded, and must not be added again by updates from others that still remember them.
func TestRememberedMembersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{MaxDeadOrLeft: 4, MaxMembers: 9}, member(0), rand.New(rand.NewPCG(1, 1)))
	for i := 1; i < maxMembers; i++ {
		x := member(i)
		m.Receive(now, x, &Ping{})
		if i < 8 {
			x.State = Left
			m.Receive(now, x, &Ping{Updates: []Member{x}})
		}
		m.Tick(now)
		now = now.Add(time.Millisecond)
	}
	require.Len(t, m.Members(), 1+4+8, "self, the latest that left and the live ones")
	dead := member(1)
	dead.State = Dead
	m.Receive(now, member(9), &SyncResponse{Members: []Member{dead}})
	require.Len(t, m.Members(), 1+4+8)
}

// Instances receive the same updates in different orders. If the order mattered,
// their views would differ for ever.
func TestSupersedesIsATotalOrder(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) Member {
		return Member{
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Refutation:  rapid.Uint32Range(0, 2).Draw(t, "refutation"),
			State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		a, b, c := gen.Draw(rt, "a"), gen.Draw(rt, "b"), gen.Draw(rt, "c")
		require.False(rt, supersedes(a, b) && supersedes(b, a))
		if supersedes(a, b) && supersedes(b, c) {
			require.True(rt, supersedes(a, c))
		}
		if a.State == Left && b.Incarnation == a.Incarnation {
			require.False(rt, supersedes(b, a), "left is final for an incarnation")
		}
	})
}

func TestOwners(t *testing.T) {
	var members []Member
	for i := range 9 {
		members = append(members, member(i))
	}
	members[4].State = Dead
	v := NewView(1, "i000", members)
	moved := NewView(2, "i000", append(append([]Member{}, members[:2]...), members[3:]...))
	homes := map[string]int{}
	for k := range 900 {
		key := fmt.Sprint("account", k)
		owners := Owners(v, key, 3)
		require.Len(t, owners, 3)
		centres := map[string]bool{}
		for _, o := range owners {
			centres[o.DataCentre] = true
			require.NotEqual(t, "i004", o.Name, "a dead member owns no key")
		}
		require.Len(t, centres, 3)
		if home := owners[0].Name; home != "i002" {
			require.Equal(t, home, Owners(moved, key, 1)[0].Name, "only the keys of the removed member move")
		}
		homes[owners[0].Name]++
	}
	require.Len(t, homes, 8)
	require.Len(t, Owners(v, "k", 99), 8)
	require.Empty(t, Owners(v, "k", 0))
}

// In a large cluster each instance probes a bounded number of members, and each
// is probed by some other, or its failure would not be detected.
func TestRingsBoundTheProbes(t *testing.T) {
	var members []Member
	for i := range 440 {
		members = append(members, member(i))
	}
	probed := map[string]int{}
	for _, m := range members {
		v := NewView(1, m.Name, members)
		for _, s := range Successors(v, 8) {
			probed[s.Name]++
		}
		require.LessOrEqual(t, len(Neighbours(v, 8)), 16)
	}
	require.Len(t, probed, 440)
}

// BenchmarkPeriod prints the processor time of one state machine for one period
// in a stable cluster: ten ticks, an outgoing probe with its Ack and an incoming
// probe.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{8, 64, 440} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			m := New(Config{}, member(0), rand.New(rand.NewPCG(1, 1)))
			for i := 1; i < n; i++ {
				m.Receive(now, member(i), &Ping{Digest: m.digest})
			}
			m.sync.joined = true
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					for _, a := range m.Tick(now) {
						if s, ok := a.(Send); ok {
							if ping, ok := s.Message.(*Ping); ok {
								m.Receive(now, m.table[m.byAddress[s.To]].Member, &Ack{Seq: ping.Seq, Digest: m.digest})
							}
						}
					}
				}
				m.Receive(now, member(1), &Ping{Digest: m.digest})
			}
		})
	}
}
