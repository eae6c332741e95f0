package tiers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func item(id uint64, rank int) Item {
	return Item{ID: id, Rank: rank, LatestStart: at(time.Hour)}
}

// An item that ends without an action would lose a request, one dispatched twice
// would run it twice, and a lower rank dispatched first would starve a higher
// one. This holds for any sequence of events.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 5).Draw(t, "capacity")
		g := NewGate(Config{MaxQueued: 6, Preempt: rapid.Bool().Draw(t, "preempt"), MinRunTime: 1}, capacity)
		now := epoch
		const waiting, running, ended = 1, 2, 3
		state := map[uint64]int{}
		ranks := map[uint64]int{}
		apply := func(actions []Action) {
			last := -1
			for n, a := range actions {
				switch a.Kind {
				case Dispatch:
					require.Equal(t, waiting, state[a.ID])
					require.GreaterOrEqual(t, ranks[a.ID], last, "the higher rank first")
					last = ranks[a.ID]
					state[a.ID] = running
				case Refuse:
					require.Equal(t, waiting, state[a.ID])
					require.Positive(t, a.RetryAfter)
					state[a.ID] = ended
				case Preempt:
					require.Equal(t, running, state[a.ID])
					require.Less(t, ranks[actions[n+1].ID], ranks[a.ID])
				}
			}
		}
		pick := func(want int) (uint64, bool) {
			for id := uint64(1); id <= uint64(len(state)); id++ {
				if state[id] == want {
					return id, true
				}
			}
			return 0, false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				id := uint64(len(state) + 1)
				ranks[id] = rapid.IntRange(0, 3).Draw(t, "rank")
				state[id] = waiting
				latest := now.Add(time.Duration(rapid.IntRange(-10, 200).Draw(t, "slack")) * time.Millisecond)
				apply(g.Enqueue(now, Item{ID: id, Rank: ranks[id], LatestStart: latest, Resumable: true}))
			case 3:
				if id, ok := pick(running); ok {
					state[id] = ended
					apply(g.Finished(now, id))
					apply(g.Finished(now, id)) // a repeated call has no effect
				}
			case 4:
				if id, ok := pick(waiting); ok {
					state[id] = ended
					apply(g.Abandon(now, id))
				}
			case 5:
				capacity = rapid.IntRange(0, 5).Draw(t, "capacity")
				apply(g.SetCapacity(now, capacity))
			}
			apply(g.Tick(now))
			queued, flying := 0, 0
			for _, st := range state {
				queued += boolToInt(st == waiting)
				flying += boolToInt(st == running)
			}
			stats := g.Stats()
			require.Equal(t, queued, sum(stats.Queued))
			require.Equal(t, flying, sum(stats.InFlight))
			require.LessOrEqual(t, queued, 6)
			if queued > 0 {
				require.GreaterOrEqual(t, flying, capacity, "no slot idles while work waits")
			}
		}
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sum(counts [MaxRanks]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

func TestGateActions(t *testing.T) {
	short := func(id uint64, rank int, slack time.Duration) Item {
		return Item{ID: id, Rank: rank, LatestStart: at(slack)}
	}
	tests := map[string]struct {
		config Config
		run    func(g *Gate) []Action
		want   []Action
	}{
		"the earliest latest start first": {run: func(g *Gate) []Action {
			g.Enqueue(epoch, item(1, 0))
			g.Enqueue(epoch, short(2, 1, 9*time.Second))
			g.Enqueue(epoch, short(3, 1, 5*time.Second))
			return g.Finished(at(time.Second), 1)
		}, want: []Action{{Kind: Dispatch, ID: 3}}},
		"in order of arrival among equals": {run: func(g *Gate) []Action {
			g.Enqueue(epoch, item(1, 0))
			g.Enqueue(epoch, item(2, 1))
			g.Enqueue(epoch, item(3, 1))
			return g.Finished(epoch, 1)
		}, want: []Action{{Kind: Dispatch, ID: 2}}},
		"past the latest start": {run: func(g *Gate) []Action {
			g.Enqueue(epoch, item(1, 0))
			g.Enqueue(epoch, short(2, 1, time.Second))
			return g.Tick(at(time.Second + 1))
		}, want: []Action{{Kind: Refuse, ID: 2, Reason: ReasonTooLate, RetryAfter: minRetryAfter}}},
		"full of its own rank": {config: Config{MaxQueued: 1}, run: func(g *Gate) []Action {
			g.Enqueue(epoch, item(1, 1))
			g.Enqueue(epoch, item(2, 1))
			return g.Enqueue(epoch, item(3, 1))
		}, want: []Action{{Kind: Refuse, ID: 3, Reason: ReasonQueueFull, RetryAfter: minRetryAfter}}},
		"a lower rank is displaced": {config: Config{MaxQueued: 1}, run: func(g *Gate) []Action {
			g.Enqueue(epoch, item(1, 0))
			g.Enqueue(epoch, item(2, 1))
			return g.Enqueue(epoch, item(3, 0))
		}, want: []Action{{Kind: Refuse, ID: 2, Reason: ReasonDisplaced, RetryAfter: minRetryAfter}}},
		"RetryAfter follows the completion rate": {config: Config{MaxQueued: 3}, run: func(g *Gate) []Action {
			g.Enqueue(epoch, item(1, 0))
			g.Finished(at(2*time.Second), 1)
			for id := uint64(2); id < 6; id++ {
				g.Enqueue(at(2*time.Second), item(id, 0))
			}
			return g.Enqueue(at(2*time.Second), item(6, 0))
		}, want: []Action{{Kind: Refuse, ID: 6, Reason: ReasonQueueFull, RetryAfter: 6 * time.Second}}},
		"an unknown item changes nothing": {run: func(g *Gate) []Action {
			return append(g.Finished(epoch, 9), g.Abandon(epoch, 9)...)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.run(NewGate(tt.config, 1)))
		})
	}
}

// Generations of lower tiers run for many seconds, and an item of the highest
// tier that cannot wait for them misses its deadline unless one of them is
// preempted. Preempting the wrong one, or one although a slot frees in time,
// processes prompts twice for nothing.
func TestPreemptionPicksTheCheapest(t *testing.T) {
	resumable := func(id uint64, rank, preemptions int) Item {
		i := item(id, rank)
		i.Resumable, i.Preemptions = true, preemptions
		return i
	}
	urgent := Item{ID: 99, LatestStart: at(11 * time.Second)}
	tests := map[string]struct {
		running []Item
		urgent  Item
		victim  uint64
	}{
		"the lowest rank, newest":     {[]Item{resumable(1, 1, 0), resumable(2, 2, 0), resumable(3, 2, 0)}, urgent, 3},
		"what may be resumed":         {[]Item{resumable(1, 1, 0), item(2, 2), item(3, 2)}, urgent, 1},
		"not one of its own rank":     {[]Item{resumable(1, 0, 0), resumable(2, 0, 0), resumable(3, 0, 0)}, urgent, 0},
		"not the same one for ever":   {[]Item{resumable(1, 2, DefaultMaxPreemptions), item(2, 2), item(3, 2)}, urgent, 0},
		"not when there is time left": {[]Item{resumable(1, 1, 0), resumable(2, 2, 0), resumable(3, 2, 0)}, item(99, 0), 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(Config{Preempt: true}, 3)
			g.Enqueue(epoch, item(50, 0))
			g.Finished(at(8*time.Second), 50) // slots are held for 8 s
			for n, it := range tt.running {
				g.Enqueue(at(9*time.Second+time.Duration(n)), it)
			}
			// The peers have little demand, so this instance may dispatch.
			g.SetPeers(at(9*time.Second), PeerLoad{Instances: 1})
			g.capacity = 4
			g.peers.Ranks[3].InFlight = 1
			got := uint64(0)
			for _, a := range g.Enqueue(at(10*time.Second), tt.urgent) {
				if a.Kind == Preempt {
					got = a.ID
				}
			}
			require.Equal(t, tt.victim, got)
		})
	}
}

func TestPreemptionVictimsAreDistinct(t *testing.T) {
	g := NewGate(Config{Preempt: true}, 2)
	g.Enqueue(epoch, item(50, 0))
	g.Finished(at(8*time.Second), 50)
	for id := uint64(1); id < 3; id++ {
		g.Enqueue(at(9*time.Second), Item{ID: id, Rank: 2, Resumable: true, LatestStart: at(time.Hour)})
	}
	var victims []uint64
	for id := uint64(98); id < 101; id++ {
		for _, a := range g.Enqueue(at(10*time.Second), Item{ID: id, LatestStart: at(11 * time.Second)}) {
			if a.Kind == Preempt {
				victims = append(victims, a.ID)
			}
		}
	}
	require.Equal(t, []uint64{1, 2}, victims)
}

func TestNoTargetsNoDispatch(t *testing.T) {
	g := NewGate(Config{}, 0)
	require.Empty(t, g.Enqueue(epoch, item(1, 0)))
	require.Equal(t, []Action{{Kind: Dispatch, ID: 1}}, g.SetCapacity(epoch, 1))
}

// Instances whose shares add up to more than the capacity would overload the
// targets.
func TestDivideNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "instances")
		capacity := float64(rapid.IntRange(0, 100).Draw(t, "capacity"))
		wants := make([][MaxRanks]float64, n)
		var total [MaxRanks]float64
		for i := range wants {
			for r := range 4 {
				wants[i][r] = float64(rapid.IntRange(0, 40).Draw(t, "want"))
				total[r] += wants[i][r]
			}
		}
		var all, upTo float64
		fits := 0
		for r := range total {
			upTo += total[r]
			if upTo <= capacity {
				fits = r + 1
			}
		}
		ordered := rapid.Bool().Draw(t, "ordered")
		for i := range wants {
			l := divideCapacity(capacity, demand{float64(n), wants[i], total}, ordered)
			own := 0.0
			for r := range fits {
				own += wants[i][r]
				require.GreaterOrEqual(t, l[r], own-roundingSlack, "demand that fits is granted in full")
			}
			all += l[MaxRanks-1]
		}
		if fits < MaxRanks {
			require.InDelta(t, capacity, all, 1e-6, "demand that does not fit gets all of the capacity")
		}
	})
}

func TestRankIndex(t *testing.T) {
	ranks := []int{30, 10, 20, 10}
	for rank, want := range map[int]int{10: 0, 20: 1, 30: 2, 99: 3} {
		require.Equal(t, want, RankIndex(ranks, rank), "rank %d", rank)
	}
	require.Equal(t, MaxRanks-1, RankIndex([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 9))
}

func TestPeerDigests(t *testing.T) {
	var d Digest
	d.Ranks[1] = RankLoad{InFlight: 2, Demand: 3}
	p := NewPeerDigests(time.Second)
	p.Add(epoch, "a", d)
	p.Add(at(500*time.Millisecond), "b", d)
	require.Equal(t, RankLoad{InFlight: 4, Demand: 6}, p.Load(at(time.Second), 5).Ranks[1])
	require.Equal(t, 1, p.Load(at(1200*time.Millisecond), 5).Reporting, "an expired digest is not in the sum")
	require.Equal(t, PeerLoad{Instances: 5}, p.Load(at(1501*time.Millisecond), 5))
	for n := range 10 * maxPeers {
		p.Add(epoch, string(rune('a'+n)), d)
	}
	require.Len(t, p.received, maxPeers)
}

// In a network partition, neither side may take the other side's share of the
// targets, which the other side still uses.
func TestUnreachablePeersKeepTheirShare(t *testing.T) {
	dispatched := func(load PeerLoad) (n int) {
		g := NewGate(Config{}, 48)
		for range 2 {
			g.Digest(at(time.Second))
			g.SetPeers(at(time.Second), load)
			for id := range uint64(200) {
				g.Enqueue(epoch, item(id+1, 1))
			}
		}
		for range 2 {
			g.Digest(at(2 * time.Second))
		}
		g.Tick(at(2 * time.Second))
		return g.inFlight[1]
	}
	require.Equal(t, 48, dispatched(PeerLoad{Instances: 1}))
	require.InDelta(t, 48.0/8, float64(dispatched(PeerLoad{Instances: 8})), 7, "its share and one burst")
	require.Greater(t, dispatched(PeerLoad{Instances: 8, Reporting: 7}), 40, "reporting peers without demand leave their share")
}

func BenchmarkGate(b *testing.B) {
	for name, queued := range map[string]uint64{"idle": 0, "queued200": 200} {
		b.Run(name, func(b *testing.B) {
			g := NewGate(Config{}, 48)
			rng := rand.New(rand.NewPCG(1, 2))
			for id := range 48 + queued {
				if queued > 0 {
					g.Enqueue(epoch, item(id+1, rng.IntN(3)))
				}
			}
			now, next, oldest := epoch, uint64(1000), uint64(1000)
			if queued > 0 {
				oldest = 0
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				g.Enqueue(now, item(next, rng.IntN(3)))
				if oldest == 0 {
					for id := range g.running {
						g.Finished(now, id)
						break
					}
				} else {
					g.Finished(now, next)
				}
				next++
			}
		})
	}
}
