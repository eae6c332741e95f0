package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// leave has an instance of a bench announce its departure. It goes on answering.
func (b *simCluster) leave(i int) *Membership {
	m := b.nodes[member(i).Address]
	b.deliver(m, m.Leave(b.now))
	return m
}

// departed returns a member's last word.
func leftMember(i int) Member {
	m := member(i)
	m.State = Left
	return m
}

// Instances are restarted in turn. One that leaves answers for seconds more, long after
// its word went round, and is the first that a new one meets: the platform's list still
// names it. The new one counts it as alive, takes it for the holder of what one does for
// all, and sends its requests there.
func TestOneThatLeavesSaysSoToWhoeverAsks(t *testing.T) {
	cfg := Config{SyncPage: 4, MaxUpdates: 3}.withDefaults()
	b := newSimCluster(t, 12, cfg)
	b.run(10 * time.Second)
	m := b.leave(6)
	b.run(2 * time.Minute)
	crowd := m.Receive(b.now, member(1), &Ping{Updates: []Member{member(12), member(13), member(14), member(15)}})
	require.Contains(t, crowd[0].(Send).Message.(*Ack).Updates, leftMember(6), "not crowded out by newer word")
	b.run(10 * time.Second) // it could ask for all by now, as one whose set of live members differs

	asked := map[string]Message{
		"a probe":                   &Ping{Seq: 9},
		"a probe through it":        &PingReq{Seq: 9, Target: member(2).Name, Address: member(2).Address},
		"the first page":            &SyncRequest{},
		"a page past it":            &SyncRequest{After: member(8).Name},
		"the last page":             &SyncRequest{After: member(11).Name},
		"a page that leads to more": &SyncResponse{Next: member(4).Name},
	}
	for name, msg := range asked {
		t.Run(name, func(t *testing.T) {
			for _, a := range m.Receive(b.now, member(13), msg) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				var told []Member
				switch answer := send.Message.(type) {
				case *Ping:
					told = answer.Updates
					require.LessOrEqual(t, len(told), cfg.MaxUpdates)
				case *Ack:
					told = answer.Updates
					require.LessOrEqual(t, len(told), cfg.MaxUpdates)
				case *SyncResponse:
					told = answer.Members
					require.LessOrEqual(t, len(told), cfg.SyncPage)
				}
				require.Contains(t, told, leftMember(6), "%T", send.Message)
			}
		})
	}
}

// The page of one that leaves has room for its own word. No other member may be passed
// over for it, or the new instance would miss one.
func TestPagesOfOneThatLeavesHoldAll(t *testing.T) {
	for leaver := range 10 {
		b := newSimCluster(t, 10, Config{SyncPage: 4})
		b.run(10 * time.Second)
		m := b.leave(leaver)
		seen := map[string]bool{}
		after := ""
		for range 10 {
			page := m.syncPage(after)
			require.LessOrEqual(t, len(page.Members), 4)
			for _, x := range page.Members {
				seen[x.Name] = true
			}
			if after = page.Next; after == "" {
				break
			}
		}
		require.Len(t, seen, 10)
	}
}

// An instance starts while another leaves. It meets the one that leaves, or a member that
// knows, and then hears older word from one that doesn't know yet. In none of its views
// may the leaving one be live from the first exchange on, whatever the order.
func TestJoinerTakesOverWhoLeaves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{SyncPage: rapid.IntRange(2, 16).Draw(rt, "page")}
		b := newSimCluster(rt, 10, cfg)
		b.run(10 * time.Second)
		leaver := rapid.IntRange(1, 9).Draw(rt, "leaver")
		b.leave(leaver)
		b.run(time.Duration(rapid.IntRange(10, 100).Draw(rt, "tenths")) * 100 * time.Millisecond)
		joiner := member(10)
		var first *View
		b.onView = func(v *View) {
			if v.Self != joiner.Name {
				return
			}
			if x, _ := v.Find(member(leaver).Name); x.Live() && x.Name != "" {
				first = v
			}
		}
		m := b.start(cfg, joiner, member(rapid.IntRange(0, 9).Draw(rt, "seed")))
		for range rapid.IntRange(1, 4).Draw(rt, "stale") {
			ignorant := member(rapid.IntRange(0, 9).Draw(rt, "ignorant"))
			b.deliver(m, m.Receive(b.now, ignorant, &Ping{Seq: 1, Updates: []Member{member(leaver)}}))
			b.run(time.Duration(rapid.IntRange(0, 30).Draw(rt, "between")) * 100 * time.Millisecond)
		}
		require.Nil(rt, first, "%s counts as live", member(leaver).Name)
	})
}

// A new instance has heard of one that leaves only from members that didn't know. It
// probes one that knows, whose word of the departure was passed on often enough long ago:
// the answer must put it right, or it asks the one that leaves until that is gone.
func TestStaleWordIsPutRightInTheAnswer(t *testing.T) {
	b := newSimCluster(t, 8, Config{})
	b.run(10 * time.Second)
	b.leave(3)
	b.run(2 * time.Minute)
	knows := b.nodes[member(1).Address]
	require.Empty(t, knows.updates.byName, "nothing is passed on any more")
	for _, msg := range []Message{
		&Ping{Seq: 1, Updates: []Member{member(3)}},
		&PingReq{Seq: 1, Target: member(2).Name, Address: member(2).Address, Updates: []Member{member(3)}},
	} {
		said := false
		for _, a := range knows.Receive(b.now, member(2), msg) {
			switch s := a.(Send).Message.(type) {
			case *Ping:
				said = said || len(s.Updates) > 0 && s.Updates[0] == leftMember(3)
			case *Ack:
				said = said || len(s.Updates) > 0 && s.Updates[0] == leftMember(3)
			}
		}
		require.True(t, said, "%T", msg)
	}
}

// What a new instance was told of departures that it didn't see is kept for a while only
// and is no news: passed on, it would come back from instance to instance for ever.
func TestDeparturesHeardOfAreForgottenAndNotPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{MaxDeadOrLeft: 4}, member(0), rand.New(rand.NewPCG(1, 1)))
	m.updates.remove(member(0).Name)
	var told []Member
	for i := 2; i < 12; i++ {
		told = append(told, leftMember(i))
	}
	m.Receive(now, member(1), &SyncResponse{Members: told})
	require.Len(t, m.deadOrLeft, 4, "bounded")
	for _, x := range m.syncPage("").Members {
		require.NotEqual(t, Left, x.State, "%s", x.Name)
	}
	require.NotContains(t, m.updates.byName, leftMember(2).Name)
	m.Tick(now.Add(time.Minute))
	require.Empty(t, m.deadOrLeft)
}

// One of 90 instances leaves. Each passes the word on at once to a few, so that nearly
// all know before the next probe: until then some ask the one that leaves and all others
// its successor. The messages for it are bounded for each instance.
func TestWordOfADepartureOutrunsTheProbes(t *testing.T) {
	const n = 90
	cfg := DefaultConfig()
	b := newSimCluster(t, n, cfg)
	b.run(30 * time.Second)
	for leaver := range 3 {
		sent := map[string]int{}
		b.drop = func(from, _ string, _ bool) bool { sent[from]++; return false }
		b.leave(leaver)
		b.drop = func(string, string, bool) bool { return false }
		ignorant := 0
		for i := leaver + 1; i < n; i++ {
			m := b.nodes[member(i).Address]
			if x, _ := m.View().Find(member(leaver).Name); x.State != Left {
				ignorant++
			}
			require.LessOrEqual(t, sent[m.self.Address], 3+2, fmt.Sprint(m.self.Name))
		}
		require.Less(t, ignorant, n/10)
		b.run(2 * cfg.Period)
		for i := leaver + 1; i < n; i++ {
			x, _ := b.nodes[member(i).Address].View().Find(member(leaver).Name)
			require.Equal(t, Left, x.State, "%s sees %s", member(i).Name, x.Name)
		}
	}
}

// Instances stop one after the other, each running on for seconds to end what is in
// flight. One that has announced its departure is probed no more; if it asked nobody
// either, it would go on sending its requests to a member that left after it. It accuses
// nobody: silence around it may be its own end.
func TestOneThatLeavesStillHearsOfOthers(t *testing.T) {
	cfg := DefaultConfig()
	b := newSimCluster(t, 12, cfg)
	b.run(10 * time.Second)
	m := b.leave(3)
	b.run(time.Second)
	b.leave(4)
	next := member(12)
	b.start(cfg, next, member(0))
	b.run(3 * cfg.Period)
	x, _ := m.View().Find(member(4).Name)
	require.Equal(t, Left, x.State)
	x, ok := m.View().Find(next.Name)
	require.True(t, ok && x.Live())

	b.drop = func(from, to string, _ bool) bool { return from == m.self.Address || to == m.self.Address }
	b.run(time.Minute)
	for _, x := range m.View().Live() {
		require.Equal(t, Alive, x.State, "%s", x.Name)
	}
	b.drop = func(string, string, bool) bool { return false }
	b.run(3 * cfg.Period)
	b.requireLive(slices.DeleteFunc(memberNames(13), func(name string) bool {
		return name == member(3).Name || name == member(4).Name
	})...)
}

// An instance starts in the moment in which another leaves: the member that it asks for
// all others doesn't know yet, and nobody knows the new one when the word goes round. By
// probes the word competes with that of all others that start and stop.
func TestJoinerAsksOnceMoreForAll(t *testing.T) {
	cfg := DefaultConfig()
	now := time.Unix(1000, 0)
	joiner := New(cfg, member(12), rand.New(rand.NewPCG(1, 1)))
	joiner.Receive(now, member(0), &SyncResponse{Members: []Member{member(0), member(1), member(2), member(3)}})
	require.True(t, joiner.sync.joined)
	joiner.Receive(now, member(1), &SyncResponse{Members: []Member{member(1)}}) // of the first round
	asked := map[time.Duration]int{}
	for since := 100 * time.Millisecond; since <= time.Minute; since += 100 * time.Millisecond {
		for _, a := range joiner.Tick(now.Add(since)) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			if _, ok := s.Message.(*SyncRequest); ok {
				asked[since]++
			}
		}
		if since == 2*cfg.Period+200*time.Millisecond {
			joiner.Receive(now.Add(since), member(2), &SyncResponse{Members: []Member{member(2)}})
		}
	}
	require.Equal(t, map[time.Duration]int{cfg.Period: 1, 2 * cfg.Period: 1}, asked, "until one answers")
}

// A fleet of hundreds is restarted at several instances a second for minutes. The word of
// each departure, passed on at once by everyone, would take what all control traffic may
// use. A short series is passed on whole, a long one at a bounded rate.
func TestWordPassedOnAtOnceIsBounded(t *testing.T) {
	cfg := Config{MaxMembers: 500}.withDefaults()
	now := time.Unix(1000, 0)
	m := New(cfg, member(0), rand.New(rand.NewPCG(1, 1)))
	for i := 1; i < 440; i++ {
		m.Receive(now, largeClusterMember(i), &Ping{Digest: m.digest})
	}
	m.Tick(now)
	copies := 0
	const perSecond, short, series = 4, 20, 400
	for i := 1; i <= series; i++ {
		x := largeClusterMember(i)
		x.State = Left
		for _, a := range m.Receive(now, largeClusterMember(439), &Ping{Updates: []Member{x}}) {
			if s, ok := a.(Send); ok {
				if word, ok := s.Message.(*Ack); ok && word.Seq == 0 && !s.Reply {
					copies += len(word.Updates)
				}
			}
		}
		if i == short {
			require.Equal(t, short*cfg.EagerFanout, copies)
		}
		now = now.Add(time.Second / perSecond)
		m.Tick(now)
	}
	seconds := series / perSecond
	require.LessOrEqual(t, copies, cfg.EagerBurst+cfg.EagerRate*seconds)
	require.Greater(t, copies, cfg.EagerRate*(seconds-1), "it goes on at the rate")
}

// manyth returns a member of a large cluster.
func largeClusterMember(i int) Member {
	m := member(i)
	m.Address = fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)
	return m
}

// Instances stop in a row and two start meanwhile. The one that gives a duty away knows
// of the second alone and gives it there, while the others pick the first, which is
// older: two hold it. Word of a start is passed on at once as well, but what an instance
// learns of all others as it joins is no news.
func TestWordOfAStartOutrunsTheProbes(t *testing.T) {
	const n = 90
	cfg := DefaultConfig()
	b := newSimCluster(t, n, cfg)
	b.run(30 * time.Second)
	sent := map[string]int{}
	b.drop = func(from, _ string, _ bool) bool { sent[from]++; return false }
	joiner := b.start(cfg, member(n), member(7))
	b.drop = func(string, string, bool) bool { return false }
	ignorant := 0
	for i := range n {
		m := b.nodes[member(i).Address]
		if x, _ := m.View().Find(joiner.self.Name); !x.Live() || x.Name == "" {
			ignorant++
		}
	}
	require.Less(t, ignorant, n/10)
	require.LessOrEqual(t, sent[joiner.self.Address], 1+n/cfg.SyncPage, "asks for pages and passes nothing on")
}

// Many starts must not use up what departures need to be passed on: a member that isn't
// known yet is asked later, one that is gone is asked in vain.
func TestWordOfDeparturesGoesBeforeThatOfStarts(t *testing.T) {
	cfg := DefaultConfig()
	now := time.Unix(1000, 0)
	m := New(cfg, member(0), rand.New(rand.NewPCG(1, 1)))
	m.sync.joined = true
	for i := 1; i < 200; i++ {
		m.Receive(now, largeClusterMember(i), &Ping{Digest: m.digest})
	}
	x := largeClusterMember(5)
	x.State = Left
	require.GreaterOrEqual(t, m.eagerTokens, float64(cfg.EagerBurst)/2-float64(cfg.EagerFanout))
	require.Less(t, m.eagerTokens, float64(cfg.EagerBurst)/2, "starts used their part")
	words := 0
	for _, a := range m.Receive(now, largeClusterMember(9), &Ping{Updates: []Member{x}}) {
		if s, ok := a.(Send); ok && !s.Reply {
			words++
		}
	}
	require.Equal(t, cfg.EagerFanout, words)
}
