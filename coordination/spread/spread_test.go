package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// simCluster runs n state machines in virtual time. A message arrives in the next
// round or is lost.
type simCluster struct {
	now   time.Time
	rng   *rand.Rand
	loss  float64
	nodes []*Gossip
	peers [][]string
	index map[string]int
	queue []delivery
	// recordBytes, comparisonBytes, loadBytes and fetchedBytes estimate what was sent,
	// by kind of message.
	recordBytes, comparisonBytes, loadBytes, fetchedBytes int
	down                                                  map[int]bool
	// linkRate is the rate of each instance's link in bytes a second; 0 is unlimited.
	linkRate int
	// linkFree is when the link of an instance has sent all records that others fetch.
	linkFree  []time.Time
	transfers []transfer
}

// transfer is a record that an instance fetches from another one.
type transfer struct {
	to     int
	fetch  Fetch
	record Record
	ok     bool
	ends   time.Time
}

// fetchTimeout is the time after which a fetch from an unreachable instance fails.
const fetchTimeout = 700 * time.Millisecond

// startTransfer sends the record of a Fetch over the link of its source, behind the
// records that the source sends already.
func (b *simCluster) startTransfer(to int, f Fetch) {
	from := b.index[f.From]
	record, ok := b.nodes[from].records.Get(f.Offer.Kind, f.Offer.Name)
	if !ok || b.down[from] || b.down[to] {
		b.transfers = append(b.transfers, transfer{to: to, fetch: f, ends: b.now.Add(fetchTimeout)})
		return
	}
	ends := b.now
	if b.linkRate > 0 {
		if b.linkFree[from].After(ends) {
			ends = b.linkFree[from]
		}
		ends = ends.Add(time.Duration(len(record.Body)) * time.Second / time.Duration(b.linkRate))
		b.linkFree[from] = ends
	}
	b.fetchedBytes += len(record.Body)
	b.transfers = append(b.transfers, transfer{to, f, record, true, ends})
}

// endTransfers reports the transfers that have ended.
func (b *simCluster) endTransfers() {
	transfers := b.transfers
	b.transfers = nil
	for _, t := range transfers {
		if t.ends.After(b.now) {
			b.transfers = append(b.transfers, t)
			continue
		}
		b.send(t.to, b.nodes[t.to].Fetched(t.fetch, t.record, t.ok))
	}
}

// delivery is a message in flight.
type delivery struct {
	from, to int
	msg      Message
}

func newSimCluster(n int, loss float64, cfg Config) *simCluster {
	b := &simCluster{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(7, uint64(n))), loss: loss, index: map[string]int{}, down: map[int]bool{}, linkFree: make([]time.Time, n)}
	members := make([]membership.Member, n)
	for i := range members {
		members[i] = membership.Member{Name: fmt.Sprint("i", i), Address: fmt.Sprint("a", i)}
		b.index[members[i].Address] = i
	}
	for i := range members {
		view := membership.NewView(1, members[i].Name, members)
		var peers []string
		for _, m := range membership.Neighbours(view, 8) {
			peers = append(peers, m.Address)
		}
		b.peers = append(b.peers, peers)
		b.nodes = append(b.nodes, New(cfg, NewTable(100), rand.New(rand.NewPCG(uint64(i), 3))))
	}
	return b
}

// send queues the messages of the actions, except those that are lost.
func (b *simCluster) send(from int, actions []Action) {
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			b.startTransfer(from, f)
		}
		s, ok := a.(Send)
		if !ok {
			continue
		}
		switch m := s.Message.(type) {
		case *Push:
			for _, r := range m.Records {
				b.recordBytes += RecordSize(r)
			}
		case *Offers:
			b.recordBytes += recordOverhead * len(m.Offers)
		case *Loads:
			for _, d := range m.Digests {
				b.loadBytes += loadOverhead + len(d.Origin) + len(d.Body)
			}
		case *Pull:
			b.comparisonBytes += encodedPullBytes + encodedSumBytes*len(m.Leaves)
		case *PullResponse:
			b.comparisonBytes += 4 + encodedSumBytes*len(m.Buckets)
		}
		if to := b.index[s.To]; b.rng.Float64() >= b.loss && !b.down[to] && !b.down[from] {
			b.queue = append(b.queue, delivery{from, to, s.Message})
		}
	}
}

// round advances the time by 100 ms, delivers the queued messages and calls Tick.
func (b *simCluster) round() {
	b.now = b.now.Add(100 * time.Millisecond)
	b.endTransfers()
	queue := b.queue
	b.queue = nil
	for _, d := range queue {
		b.send(d.to, b.nodes[d.to].Receive(b.now, fmt.Sprint("a", d.from), d.msg))
	}
	for i, n := range b.nodes {
		b.send(i, n.Tick(b.now, b.peers[i], len(b.nodes)))
	}
}

// holders returns the number of instances that hold a revision or a later one.
func (b *simCluster) holders(name string, revision uint64) int {
	count := 0
	for _, n := range b.nodes {
		if r, ok := n.records.(*Table).Get("k", name); ok && r.Revision >= revision {
			count++
		}
	}
	return count
}

// roundsToAll returns the number of rounds until all instances hold the record.
func (b *simCluster) roundsToAll(name string, revision uint64, limit int) int {
	for r := range limit {
		if b.holders(name, revision) == len(b.nodes) {
			return r
		}
		b.round()
	}
	return limit
}

func record(name string, revision uint64, size int) Record {
	return Record{Kind: "k", Name: name, Revision: revision, Body: make([]byte, size)}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name, description string
		run               func(t *testing.T, b *simCluster)
	}{
		{"old store", "The store returns outdated data and an old record is put again. " +
			"No instance may revert to it.",
			func(t *testing.T, b *simCluster) {
				b.send(0, b.nodes[0].Put(record("r", 9, 10)))
				require.Less(t, b.roundsToAll("r", 9, 100), 100)
				require.Empty(t, b.nodes[3].Put(record("r", 8, 20)))
				for _, n := range b.nodes {
					require.Empty(t, n.Receive(b.now, "a1", &Push{Records: []Record{record("r", 9, 30), record("r", 2, 0)}}))
				}
				require.Equal(t, 8, b.holders("r", 9))
			}},
		{"missed", "An instance is unreachable while a record is gossiped, until no rumour of it is left. " +
			"The comparison of roots finds the record.",
			func(t *testing.T, b *simCluster) {
				b.down[5] = true
				b.send(0, b.nodes[0].Put(record("r", 1, 10)))
				for range 100 {
					b.round()
				}
				require.Equal(t, 7, b.holders("r", 1))
				for i, n := range b.nodes {
					require.Empty(t, n.rumours, i)
				}
				b.down = map[int]bool{}
				require.Less(t, b.roundsToAll("r", 1, 100), 100)
			}},
		{"born in an outage", "An instance starts while the store is unavailable. It gets all records " +
			"from its peers.",
			func(t *testing.T, b *simCluster) {
				for i := range 3000 {
					for _, n := range b.nodes[1:] {
						n.records.Apply(record(fmt.Sprint("r", i), 5, 100))
					}
				}
				for range 300 {
					b.round()
				}
				require.Equal(t, 3000, b.nodes[0].records.(*Table).Len())
			}},
		{"deleted", "A record is deleted while an instance that holds it is unreachable. " +
			"The deletion reaches it.",
			func(t *testing.T, b *simCluster) {
				b.send(0, b.nodes[0].Put(record("r", 1, 10)))
				b.roundsToAll("r", 1, 100)
				b.down[5] = true
				b.send(0, b.nodes[0].Put(Record{Kind: "k", Name: "r", Revision: 2, Deleted: true}))
				for range 50 {
					b.round()
				}
				b.down = map[int]bool{}
				require.Less(t, b.roundsToAll("r", 2, 100), 100)
			}},
		{"load digests", "Instances report load and one fails. All hold all digests, and the " +
			"digest of the failed one expires.",
			func(t *testing.T, b *simCluster) {
				report := func(rounds int) {
					for range rounds {
						for i, n := range b.nodes {
							if !b.down[i] {
								n.SetLoad(b.now, LoadDigest{Origin: fmt.Sprint("i", i), Incarnation: 1, Seq: uint64(b.now.UnixNano()), Body: make([]byte, 40)})
							}
						}
						b.round()
					}
				}
				report(100)
				for _, n := range b.nodes {
					require.Len(t, n.Loads(b.now), 8)
				}
				b.down[5] = true
				report(200)
				require.NotContains(t, fmt.Sprint(b.nodes[0].Loads(b.now)), "i5")
				require.Len(t, b.nodes[0].Loads(b.now), 7)
				require.Len(t, b.nodes[0].loads.byOrigin, 7)
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newSimCluster(8, 0.1, Config{})) })
	}
}

// A digest is held for a time by each instance that relays it. If its age did not
// include that time, an outdated load would look current and attract requests.
func TestRelayedDigestsAge(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{}, NewTable(1), rand.New(rand.NewPCG(1, 1)))
	s.Receive(now, "a1", &Loads{Digests: []LoadDigest{{Origin: "x", Incarnation: 1, Seq: 1, AgeMillis: 1000}}})
	var relayed []LoadDigest
	for _, a := range s.Tick(now.Add(5*time.Second), []string{"a2"}, 50) {
		if send, ok := a.(Send); ok {
			if m, ok := send.Message.(*Loads); ok {
				relayed = m.Digests
			}
		}
	}
	require.Len(t, relayed, 1)
	require.Equal(t, uint32(6000), relayed[0].AgeMillis)
}

// Many changes must not raise the traffic of an instance above its budgets,
// regardless of how many peers pull and push.
func TestBytesAreBounded(t *testing.T) {
	cfg := Config{PushBytesPerSecond: 1000, RecoveryBytesPerSecond: 4000}.withDefaults()
	b := newSimCluster(8, 0, cfg)
	const seconds = 60
	for i := range seconds * 10 {
		b.send(i%8, b.nodes[i%8].Put(record(fmt.Sprint("r", i), 1, 500)))
		b.round()
	}
	allowed := 8 * (seconds + burstSeconds) * (cfg.PushBytesPerSecond + cfg.RecoveryBytesPerSecond)
	overdraw := 8 * 2 * cfg.MaxPushBytes
	require.Less(t, b.recordBytes, allowed+overdraw)
	require.LessOrEqual(t, b.loadBytes, 8*seconds*cfg.MaxLoadBytes)
	require.LessOrEqual(t, b.comparisonBytes, allowed)
}

// Whatever the order of records, the table keeps the highest revisions, its sums
// match those of a newly built table, and its tombstones are bounded.
func TestTableOnlyGrows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, rebuilt := NewTable(3), NewTable(3)
		held := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(rt, "n") {
			r := record(fmt.Sprint("r", rapid.IntRange(0, 9).Draw(rt, "name")), rapid.Uint64Range(1, 20).Draw(rt, "revision"), 1)
			r.Deleted = rapid.Bool().Draw(rt, "deleted")
			before, had := table.Get("k", r.Name)
			if table.Apply(r) {
				require.True(rt, !had || r.Revision > before.Revision)
				held[r.Name] = r.Revision
			}
			require.LessOrEqual(rt, table.tombstones, 3)
		}
		for name, revision := range held {
			if r, ok := table.Get("k", name); ok {
				require.Equal(rt, revision, r.Revision)
				rebuilt.Apply(r)
			}
		}
		require.Equal(rt, rebuilt.Digest(), table.Digest())
	})
}

// BenchmarkRoundsToAll prints, for each size and loss, the rounds of 100 ms
// until a record is held by all, and the bytes an instance sends for it and
// each second for comparisons and load digests.
func BenchmarkRoundsToAll(b *testing.B) {
	for _, n := range []int{8, 64, 440} {
		for _, loss := range []float64{0, 0.2} {
			b.Run(fmt.Sprintf("n=%d/loss=%g", n, loss), func(b *testing.B) {
				const samples = 20
				for b.Loop() {
					s := newSimCluster(n, loss, Config{})
					var rounds []int
					total := 0
					for i := range samples {
						name := fmt.Sprint("r", i)
						s.send(i%n, s.nodes[i%n].Put(record(name, 1, 300)))
						rounds = append(rounds, s.roundsToAll(name, 1, 1000))
						for range 30 {
							s.round()
						}
						total += rounds[i] + 30
					}
					slices.Sort(rounds)
					seconds := float64(total) / 10
					b.ReportMetric(float64(rounds[samples/2]), "rounds-p50")
					b.ReportMetric(float64(rounds[samples-1]), "rounds-max")
					b.ReportMetric(float64(s.recordBytes)/float64(n*samples), "B/node/record")
					b.ReportMetric(float64(s.comparisonBytes)/float64(n)/seconds, "compare-B/node/s")
				}
			})
		}
	}
}

// BenchmarkLoadAge prints the age of the load digests that an instance holds,
// and for how many of the others it holds one.
func BenchmarkLoadAge(b *testing.B) {
	for _, n := range []int{8, 64, 440} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			for b.Loop() {
				s := newSimCluster(n, 0, Config{})
				for range 300 {
					for i, node := range s.nodes {
						node.SetLoad(s.now, LoadDigest{Origin: fmt.Sprint("i", i), Incarnation: 1, Seq: uint64(s.now.UnixNano()), Body: make([]byte, 40)})
					}
					s.round()
				}
				known, age := 0, time.Duration(0)
				for _, node := range s.nodes {
					for _, l := range node.Loads(s.now) {
						known++
						age += l.Age
					}
				}
				b.ReportMetric(100*float64(known)/float64(n*n), "known-%")
				b.ReportMetric(age.Seconds()/float64(known), "mean-age-s")
				b.ReportMetric(float64(s.loadBytes)/float64(n)/30, "B/node/s")
			}
		})
	}
}

// Guards against a large record using up the budget of the gossip, so that small news of other
// records, such as a leaving target, waits for many seconds.
func TestSmallRecordIsNotDelayedByLargeOnes(t *testing.T) {
	for _, size := range []int{100 << 10, 250 << 10, 500 << 10} {
		t.Run(fmt.Sprint(size>>10, " KiB"), func(t *testing.T) {
			b := newSimCluster(73, 0, Config{})
			for revision := uint64(1); revision <= 4; revision++ {
				b.send(0, b.nodes[0].Put(record("large", revision, size)))
				for range 10 {
					b.round()
				}
			}
			b.send(0, b.nodes[0].Put(record("small", 5, 10)))
			require.Less(t, b.roundsToAll("small", 5, 100), 20, "rounds of 100 ms")
		})
	}
}

// Guards against a large record that isn't spread in time over links of 10 Mbit/s, and against one
// that is sent to an instance many times.
func TestLargeRecordReachesAllInTime(t *testing.T) {
	const compressed = 200 << 10
	for _, size := range []int{8, 73, 295} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			b := newSimCluster(size, 0, Config{})
			b.linkRate = 10e6 / 8
			for revision := uint64(1); revision <= 3; revision++ {
				b.send(0, b.nodes[0].Put(record("large", revision, compressed)))
				require.Less(t, b.roundsToAll("large", revision, 100), 30, "rounds of 100 ms")
			}
			require.LessOrEqual(t, b.fetchedBytes, 3*size*compressed)
		})
	}
}

// Guards against a record that is lost or never completed because the instance that offered it
// fails, or because later versions follow while it is fetched.
func TestLargeRecordIsFetchedFromAnotherPeer(t *testing.T) {
	const size = 200 << 10
	now := time.Unix(1000, 0)
	offer := func(revision uint64) *Offers {
		return &Offers{Offers: []Offer{{Kind: "k", Name: "r", Revision: revision, Size: size}}}
	}
	newNode := func() *Gossip { return New(Config{}, NewTable(1), rand.New(rand.NewPCG(1, 1))) }
	first := Fetch{From: "a1", Offer: offer(1).Offers[0]}

	t.Run("source fails", func(t *testing.T) {
		s := newNode()
		require.Equal(t, []Action{first}, s.Receive(now, "a1", offer(1)))
		require.Empty(t, s.Receive(now, "a1", offer(1)), "one fetch at a time")
		require.Empty(t, s.Receive(now, "a2", offer(1)))
		require.Equal(t, []Action{Fetch{From: "a2", Offer: first.Offer}}, s.Fetched(first, Record{}, false))
	})
	t.Run("all sources fail", func(t *testing.T) {
		s := newNode()
		s.Receive(now, "a1", offer(1))
		require.Empty(t, s.Fetched(first, Record{}, false))
		require.Equal(t, []Action{first}, s.Receive(now, "a1", offer(1)))
	})
	t.Run("later version", func(t *testing.T) {
		s := newNode()
		s.Receive(now, "a1", offer(1))
		require.Empty(t, s.Receive(now, "a2", offer(3)))
		require.Empty(t, s.Receive(now, "a3", offer(2)))
		actions := s.Fetched(first, record("r", 1, size), true)
		require.Equal(t, []Action{Accepted{record("r", 1, size)}, Fetch{From: "a2", Offer: offer(3).Offers[0]}}, actions)
	})
	t.Run("source has a later version", func(t *testing.T) {
		s := newNode()
		s.Receive(now, "a1", offer(1))
		s.Receive(now, "a2", offer(2))
		require.Equal(t, []Action{Accepted{record("r", 2, size)}}, s.Fetched(first, record("r", 2, size), true))
		require.Empty(t, s.fetches)
	})
	t.Run("too large", func(t *testing.T) {
		require.Empty(t, newNode().Receive(now, "a1", &Offers{Offers: []Offer{{Kind: "k", Name: "r", Revision: 1, Size: MaxRecordBytes + 1}}}))
		require.Equal(t, []Action{Oversized{record("r", 1, MaxRecordBytes+1)}}, newNode().Put(record("r", 1, MaxRecordBytes+1)))
	})
}
