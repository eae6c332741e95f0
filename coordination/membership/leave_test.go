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

// leave makes an instance announce its departure. The instance keeps running.
func (b *simCluster) leave(i int) *Membership {
	m := b.nodes[member(i).Address]
	b.deliver(m, m.Leave(b.now))
	return m
}

// leftMember returns a member in state Left.
func leftMember(i int) Member {
	m := member(i)
	m.State = Left
	return m
}

// In a rolling restart, a leaving instance responds for seconds after its departure was
// disseminated, and may be the first contact of a new instance, since the platform's list
// still contains it. The new instance would count it as alive, assume that it holds
// singleton duties, and send requests to it.
func TestLeavingInstanceReportsDepartureInEveryResponse(t *testing.T) {
	cfg := Config{SyncPage: 4, MaxUpdates: 3}.withDefaults()
	b := newSimCluster(t, 12, cfg)
	b.run(10 * time.Second)
	m := b.leave(6)
	b.run(2 * time.Minute)
	response := m.Receive(b.now, member(1), &Ping{Updates: []Member{member(12), member(13), member(14), member(15)}})
	require.Contains(t, response[0].(Send).Message.(*Ack).Updates, leftMember(6), "not displaced by newer updates")
	b.run(10 * time.Second) // its digest has differed for long enough to request a full exchange

	requests := map[string]Message{
		"ping":                            &Ping{Seq: 9},
		"ping request":                    &PingReq{Seq: 9, Target: member(2).Name, Address: member(2).Address},
		"first page":                      &SyncRequest{},
		"page past its own name":          &SyncRequest{After: member(8).Name},
		"last page":                       &SyncRequest{After: member(11).Name},
		"response that has further pages": &SyncResponse{Next: member(4).Name},
	}
	for name, msg := range requests {
		t.Run(name, func(t *testing.T) {
			for _, a := range m.Receive(b.now, member(13), msg) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				var updates []Member
				switch msg := send.Message.(type) {
				case *Ping:
					updates = msg.Updates
					require.LessOrEqual(t, len(updates), cfg.MaxUpdates)
				case *Ack:
					updates = msg.Updates
					require.LessOrEqual(t, len(updates), cfg.MaxUpdates)
				case *SyncResponse:
					updates = msg.Members
					require.LessOrEqual(t, len(updates), cfg.SyncPage)
				}
				require.Contains(t, updates, leftMember(6), "%T", send.Message)
			}
		})
	}
}

// A leaving instance reserves a place for itself on each page that it sends. It must not
// omit another member for it, or a new instance would miss that member.
func TestSyncPagesOfLeavingInstanceAreComplete(t *testing.T) {
	for leaving := range 10 {
		b := newSimCluster(t, 10, Config{SyncPage: 4})
		b.run(10 * time.Second)
		m := b.leave(leaving)
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

// An instance starts while another leaves. It contacts the leaving one, or a member that
// knows of the departure, and then receives older updates from a member that doesn't. The
// leaving instance must not be live in any view of the new instance, in whatever order the
// messages arrive.
func TestJoinerNeverSeesLeavingInstanceAsLive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{SyncPage: rapid.IntRange(2, 16).Draw(rt, "page")}
		b := newSimCluster(rt, 10, cfg)
		b.run(10 * time.Second)
		leaving := rapid.IntRange(1, 9).Draw(rt, "leaver")
		b.leave(leaving)
		b.run(time.Duration(rapid.IntRange(10, 100).Draw(rt, "tenths")) * 100 * time.Millisecond)
		joiner := member(10)
		var first *View
		b.onView = func(v *View) {
			if v.Self != joiner.Name {
				return
			}
			if x, _ := v.Find(member(leaving).Name); x.Live() && x.Name != "" {
				first = v
			}
		}
		m := b.start(cfg, joiner, member(rapid.IntRange(0, 9).Draw(rt, "seed")))
		for range rapid.IntRange(1, 4).Draw(rt, "stale") {
			unaware := member(rapid.IntRange(0, 9).Draw(rt, "ignorant"))
			b.deliver(m, m.Receive(b.now, unaware, &Ping{Seq: 1, Updates: []Member{member(leaving)}}))
			b.run(time.Duration(rapid.IntRange(0, 30).Draw(rt, "between")) * 100 * time.Millisecond)
		}
		require.Nil(rt, first, "%s counts as live", member(leaving).Name)
	})
}

// A new instance knows a leaving one only from members that weren't aware of its departure.
// It probes a member that is aware but has used up its transmissions of the departure. The
// response must correct the stale update, or the new instance would send requests to the
// leaving instance until it has stopped.
func TestStaleUpdateIsCorrectedInTheResponse(t *testing.T) {
	b := newSimCluster(t, 8, Config{})
	b.run(10 * time.Second)
	b.leave(3)
	b.run(2 * time.Minute)
	aware := b.nodes[member(1).Address]
	require.Empty(t, aware.updates.byName, "no updates left to transmit")
	for _, msg := range []Message{
		&Ping{Seq: 1, Updates: []Member{member(3)}},
		&PingReq{Seq: 1, Target: member(2).Name, Address: member(2).Address, Updates: []Member{member(3)}},
	} {
		corrected := false
		for _, a := range aware.Receive(b.now, member(2), msg) {
			switch s := a.(Send).Message.(type) {
			case *Ping:
				corrected = corrected || len(s.Updates) > 0 && s.Updates[0] == leftMember(3)
			case *Ack:
				corrected = corrected || len(s.Updates) > 0 && s.Updates[0] == leftMember(3)
			}
		}
		require.True(t, corrected, "%T", msg)
	}
}

// Departures of members that an instance never knew are kept for a short time and aren't
// gossiped: otherwise they would circulate between instances for ever.
func TestUnknownDeparturesExpireAndAreNotGossiped(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{MaxDeadOrLeft: 4}, member(0), rand.New(rand.NewPCG(1, 1)))
	m.updates.remove(member(0).Name)
	var updates []Member
	for i := 2; i < 12; i++ {
		updates = append(updates, leftMember(i))
	}
	m.Receive(now, member(1), &SyncResponse{Members: updates})
	require.Len(t, m.deadOrLeft, 4, "bounded")
	for _, x := range m.syncPage("").Members {
		require.NotEqual(t, Left, x.State, "%s", x.Name)
	}
	require.NotContains(t, m.updates.byName, leftMember(2).Name)
	m.Tick(now.Add(time.Minute))
	require.Empty(t, m.deadOrLeft)
}

// One of 90 instances leaves. Each instance forwards the departure immediately to a few
// others, so that nearly all know of it before the next probe. Otherwise some would send
// requests to the leaving instance until then, and all others to its successor. The messages
// per instance are bounded.
func TestDepartureIsDisseminatedBeforeTheNextProbe(t *testing.T) {
	const n = 90
	cfg := DefaultConfig()
	b := newSimCluster(t, n, cfg)
	b.run(30 * time.Second)
	for leaving := range 3 {
		sent := map[string]int{}
		b.drop = func(from, _ string, _ bool) bool { sent[from]++; return false }
		b.leave(leaving)
		b.drop = func(string, string, bool) bool { return false }
		unaware := 0
		for i := leaving + 1; i < n; i++ {
			m := b.nodes[member(i).Address]
			if x, _ := m.View().Find(member(leaving).Name); x.State != Left {
				unaware++
			}
			require.LessOrEqual(t, sent[m.self.Address], 3+2, fmt.Sprint(m.self.Name))
		}
		require.Less(t, unaware, n/10)
		b.run(2 * cfg.Period)
		for i := leaving + 1; i < n; i++ {
			x, _ := b.nodes[member(i).Address].View().Find(member(leaving).Name)
			require.Equal(t, Left, x.State, "%s sees %s", member(i).Name, x.Name)
		}
	}
}

// Instances stop one after the other, each running for seconds more to finish the requests
// in flight. An instance that has announced its departure isn't probed any more; if it
// probed no others either, it would keep sending requests to a member that left after it.
// It must not suspect others: their silence may be due to its own shutdown.
func TestLeavingInstanceStillReceivesUpdates(t *testing.T) {
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

// An instance starts at the moment when another leaves: the member that responds to its
// first full exchange doesn't know of the departure yet, and no member knows the new
// instance while the departure is disseminated. Piggybacked on probes, the departure
// competes with the updates of all other members that start and stop.
func TestJoinerRepeatsTheFullExchangeOnce(t *testing.T) {
	cfg := DefaultConfig()
	now := time.Unix(1000, 0)
	joiner := New(cfg, member(12), rand.New(rand.NewPCG(1, 1)))
	joiner.Receive(now, member(0), &SyncResponse{Members: []Member{member(0), member(1), member(2), member(3)}})
	require.True(t, joiner.sync.joined)
	joiner.Receive(now, member(1), &SyncResponse{Members: []Member{member(1)}}) // belongs to the first exchange
	requests := map[time.Duration]int{}
	for since := 100 * time.Millisecond; since <= time.Minute; since += 100 * time.Millisecond {
		for _, a := range joiner.Tick(now.Add(since)) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			if _, ok := s.Message.(*SyncRequest); ok {
				requests[since]++
			}
		}
		if since == 2*cfg.Period+200*time.Millisecond {
			joiner.Receive(now.Add(since), member(2), &SyncResponse{Members: []Member{member(2)}})
		}
	}
	require.Equal(t, map[time.Duration]int{cfg.Period: 1, 2 * cfg.Period: 1}, requests, "until one member responds")
}

// Hundreds of instances are restarted at several per second for minutes. If every instance
// forwarded each departure immediately, this would use up the budget of all control
// traffic. A short series is forwarded completely, a long one at a bounded rate.
func TestEagerUpdatesAreRateLimited(t *testing.T) {
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
				if ack, ok := s.Message.(*Ack); ok && ack.Seq == 0 && !s.Reply {
					copies += len(ack.Updates)
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
	require.Greater(t, copies, cfg.EagerRate*(seconds-1), "continues at the configured rate")
}

// largeClusterMember returns the i-th member of a cluster of more than 250.
func largeClusterMember(i int) Member {
	m := member(i)
	m.Address = fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)
	return m
}

// Instances stop in turn and two start meanwhile. If the instance that hands over a duty
// knew only the second of the two, it would assign the duty to that one, while the others
// assign it to the first, which is older. Two instances would then perform it. So starts are
// forwarded immediately as well, but not those that an instance learns of while it joins.
func TestStartIsDisseminatedBeforeTheNextProbe(t *testing.T) {
	const n = 90
	cfg := DefaultConfig()
	b := newSimCluster(t, n, cfg)
	b.run(30 * time.Second)
	sent := map[string]int{}
	b.drop = func(from, _ string, _ bool) bool { sent[from]++; return false }
	joiner := b.start(cfg, member(n), member(7))
	b.drop = func(string, string, bool) bool { return false }
	unaware := 0
	for i := range n {
		m := b.nodes[member(i).Address]
		if x, _ := m.View().Find(joiner.self.Name); !x.Live() || x.Name == "" {
			unaware++
		}
	}
	require.Less(t, unaware, n/10)
	require.LessOrEqual(t, sent[joiner.self.Address], 1+n/cfg.SyncPage, "requests pages and forwards nothing")
}

// Many starts must not use up the tokens for departures: a member that isn't known yet only
// gets requests later, while requests to one that has left fail.
func TestEagerTokensAreReservedForDepartures(t *testing.T) {
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
	require.Less(t, m.eagerTokens, float64(cfg.EagerBurst)/2, "starts used their half")
	copies := 0
	for _, a := range m.Receive(now, largeClusterMember(9), &Ping{Updates: []Member{x}}) {
		if s, ok := a.(Send); ok && !s.Reply {
			copies++
		}
	}
	require.Equal(t, cfg.EagerFanout, copies)
}
