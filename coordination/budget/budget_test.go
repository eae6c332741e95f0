package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

func account(rate, burst float64) catalog.Account {
	return catalog.Account{Name: "clerks", RequestsPerSecond: rate, Burst: burst}
}

// bound returns the bound of the package documentation, for the time since start.
func (f *fleet) bound(start time.Time, listed int) float64 {
	c := Config{}.withDefaults()
	seconds := f.now.Sub(start) + c.GrantTTL + time.Duration(f.changes)*f.maxDelay
	starts := float64(listed + f.changes)
	local := max(c.LocalShare*f.account.Burst/float64(listed), 1)
	return f.account.Burst + f.account.RequestsPerSecond*seconds.Seconds() + starts*local
}

// The network is partitioned and heals, and instances fail, restart and join, while
// an account sends far more requests than its budget allows. If each partition
// granted the budget, or each new home started with a full bucket, the account would
// be served a multiple of its budget at the expense of the others.
func TestOverspendIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "instances")
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(0, 400).Draw(t, "burst"))
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size, account(rate, burst))
		most := size
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			alive := f.alive()
			n := alive[f.rng.IntN(len(alive))]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				for _, other := range alive {
					other.partition = f.rng.IntN(2)
				}
				f.changeMembership()
			case 1:
				for _, other := range alive {
					other.partition = 0
				}
				f.changeMembership()
			case 2:
				if len(alive) > 1 {
					n.alive = false
					f.changeMembership()
				}
			case 3:
				n.ledger = NewLedger(f.now, Config{Self: n.name}) // a new incarnation
				f.changeMembership()
				f.updateMembership(n)
			case 4:
				f.updateMembership(f.add())
				f.changeMembership()
			}
			most = max(most, len(f.alive()))
			for range rapid.IntRange(10, 300).Draw(t, "steps") {
				f.step(time.Duration(f.rng.Int64N(int64(20 * time.Millisecond))))
				for range 3 {
					alive = f.alive()
					f.request(alive[f.rng.IntN(len(alive))])
				}
			}
			require.LessOrEqual(t, float64(f.served), f.bound(epoch, most))
		}
	})
}

// The network is partitioned and heals repeatedly, each time for longer than a change
// of membership takes to propagate. Each partition has a home of its own; a returning
// home must not refill its bucket for the time in which the other one granted.
func TestRepeatedPartitions(t *testing.T) {
	f := newFleet(3, 8, account(10, 300))
	f.step(time.Minute) // the buckets are full
	start := f.now
	for cycle := range 6 {
		for n, other := range f.nodes {
			other.partition = n % 2 * ((cycle + 1) % 2)
		}
		f.changeMembership()
		for range 3000 {
			f.step(10 * time.Millisecond)
			f.request(f.nodes[f.rng.IntN(8)])
			f.request(f.nodes[f.rng.IntN(8)])
		}
		t.Logf("cycle %d: served %d, budget %.0f, bound %.0f", cycle, f.served,
			f.account.Burst+f.account.RequestsPerSecond*f.now.Sub(start).Seconds(), f.bound(start, 8))
		require.LessOrEqual(t, float64(f.served), f.bound(start, 8))
	}
}

// Compares three strategies to share a budget without a store call per request, on
// the same arrivals: the served share of what the budget allows.
func TestSharingStrategies(t *testing.T) {
	const size, length, step = 8, 20 * time.Second, time.Millisecond
	tests := map[string]struct {
		offered float64 // as a share of the rate
		pick    func(rng *rand.Rand, now time.Duration) int
		least   float64
	}{
		"even":               {0.9, func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(size) }, 0.9},
		"one instance":       {0.9, func(*rand.Rand, time.Duration) int { return 3 }, 0.9},
		"moves every second": {0.9, func(_ *rand.Rand, now time.Duration) int { return int(now/time.Second) % size }, 0.9},
		"twice the budget":   {2, func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(size) }, 0.9},
	}
	for name, tt := range tests {
		for _, rate := range []float64{5, 200} {
			t.Run(fmt.Sprintf("%s at %v a second", name, rate), func(t *testing.T) {
				acct := account(rate, rate)
				f := newFleet(1, size, acct)
				static, follow := newBaseline(1, size, acct, false), newBaseline(1, size, acct, true)
				rng := rand.New(rand.NewPCG(2, 1))
				pending, offered := map[time.Duration]int{}, 0
				for now := time.Duration(0); now < length; now += step {
					f.step(step)
					static.step(step)
					follow.step(step)
					if rng.Float64() < tt.offered*rate*step.Seconds() {
						i := tt.pick(rng, now)
						offered++
						if f.request(f.nodes[i]) == Pending {
							pending[now+3*step] = i + 1
						}
						static.request(i)
						follow.request(i)
					}
					if i := pending[now]; i > 0 {
						f.request(f.nodes[i-1])
					}
				}
				whole := min(float64(offered), rate*length.Seconds())
				t.Logf("static %.3f, follows demand %.3f, chunks from home %.3f, %.1f grant requests a second",
					float64(static.served)/whole, float64(follow.served)/whole,
					float64(f.served)/whole, float64(f.grantRequests)/length.Seconds())
				require.Greater(t, float64(f.served)/whole, tt.least)
			})
		}
	}
}

// Another account sends many times its budget, and an instance fails. An account
// that was idle until then sends its burst at once, through one instance. It must
// not be refused.
func TestIdleAccountKeepsItsShare(t *testing.T) {
	f := newFleet(1, 8, account(10, 100))
	f.account.Name = "flood"
	for range 20_000 {
		f.step(time.Millisecond)
		f.request(f.nodes[f.rng.IntN(7)])
	}
	f.nodes[7].alive = false
	f.changeMembership()
	for range 12_000 {
		f.step(time.Millisecond)
		f.request(f.nodes[f.rng.IntN(7)])
	}
	f.account.Name = "idle"
	allowed := 0
	for range 90 {
		if f.request(f.nodes[0]) == Allowed {
			allowed++
			continue
		}
		f.step(3 * f.latency)
		if f.request(f.nodes[0]) == Allowed {
			allowed++
		}
	}
	t.Logf("%d of 90 served of a burst of 100", allowed)
	require.GreaterOrEqual(t, allowed, 80)
}

// An operator lowers, raises or removes a budget. The change must apply to the next
// request, although tokens granted under the old budget are left.
func TestRecordChangeAppliesAtOnce(t *testing.T) {
	f := newFleet(1, 2, account(1000, 1000))
	for range 100 {
		f.step(5 * time.Millisecond)
		f.request(f.nodes[0])
		f.request(f.nodes[1])
	}
	count := func() (n int) {
		for range 100 {
			if f.request(f.nodes[0]) == Allowed {
				n++
			}
			f.step(5 * time.Millisecond)
		}
		return n
	}
	require.Greater(t, count(), 90)
	f.account = account(1, 1)
	require.LessOrEqual(t, count(), 4)
	f.account = account(1000, 1000)
	f.step(50 * time.Millisecond)
	require.Greater(t, count(), 80)
	f.account.RequestsPerSecond = 0
	require.Equal(t, 100, count(), "no budget")
}

// Messages are lost, duplicated, delayed and misdirected. A grant that counts twice
// exceeds the budget; waiting without end for a lost one blocks the account.
func TestLostDuplicatedAndMisdirectedGrants(t *testing.T) {
	acct := account(1000, 1000)
	now := epoch.Add(time.Minute)
	first := func() (*Ledger, GrantRequest) {
		l := NewLedger(epoch, Config{Self: "a"})
		for n := 0; ; n++ {
			acct.Name = fmt.Sprint("account", n)
			l.SetMembers(epoch, []string{"a", "b"}, 2)
			l.SetMembers(epoch, []string{"a", "b"}, 2)
			for range 30 {
				if d := l.Allow(now, &acct); d.Request != nil {
					return l, *d.Request
				}
			}
		}
	}
	left := func(l *Ledger, at time.Time) (n int) {
		for range 200 {
			if l.Allow(at, &acct).Verdict == Allowed {
				n++
			}
		}
		return n
	}
	tests := map[string]struct {
		run  func(l *Ledger, request GrantRequest) time.Time
		want int
	}{
		"granted": {func(l *Ledger, request GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: request.Seq, Tokens: 50})
			return now
		}, 50},
		"duplicated": {func(l *Ledger, request GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: request.Seq, Tokens: 50})
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: request.Seq, Tokens: 50})
			return now
		}, 50},
		"of another request": {func(l *Ledger, request GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: request.Seq + 1, Tokens: 50})
			return now
		}, 0},
		"of an unknown account": {func(l *Ledger, request GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: "nobody", Seq: request.Seq, Tokens: 50})
			return now
		}, 0},
		"expired": {func(l *Ledger, request GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: request.Seq, Tokens: 50})
			return now.Add(DefaultGrantTTL)
		}, 25}, // the instance's local share of Burst has been refilled by then
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, request := first()
			left(l, now) // spends the instance's local share
			at := tt.run(l, request)
			require.InDelta(t, tt.want, left(l, at), 1)
		})
	}

	l, request := first()
	left(l, now)
	require.Equal(t, Pending, l.Allow(now, &acct).Verdict)
	d := l.Allow(now.Add(DefaultRequestTimeout), &acct)
	require.NotEqual(t, Pending, d.Verdict, "a lost request ends the wait")
	require.NotNil(t, l.Allow(now.Add(2*DefaultRequestTimeout), &acct).Request, "and is repeated")

	other := NewLedger(epoch, Config{Self: "c"})
	other.SetMembers(epoch, []string{"a", "b", "c"}, 3)
	request.Account = "account0"
	for n := 0; other.view.Load().home(request.Account) == "c"; n++ {
		request.Account = fmt.Sprint("account", n)
	}
	g := other.Grant(now, request, &acct)
	require.Zero(t, g.Tokens, "not the home")
	require.Positive(t, g.RetryAfterMS)
}

// Callers of thousands of accounts send requests to one instance, and instances join
// and leave all day. Neither may grow the memory of the ledger without bound.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(epoch, Config{Self: "a", MaxAccounts: 64})
	for n := range 5000 {
		acct := account(1, 1)
		acct.Name = fmt.Sprint(n)
		l.Allow(epoch, &acct)
		l.Allow(epoch, &acct)
	}
	spending, homes := l.Accounts()
	require.LessOrEqual(t, spending, 64)
	require.LessOrEqual(t, homes, 64)
	for n := range 50 {
		l.SetMembers(epoch, []string{"a", fmt.Sprint(n)}, 2)
	}
	views := 0
	for v := l.view.Load(); v != nil; v = v.previous {
		views++
	}
	require.LessOrEqual(t, views, maxViews)
}

func BenchmarkAllow(b *testing.B) {
	for _, instances := range []int{8, 440} {
		for _, accounts := range []int{5, 32_000} {
			b.Run(fmt.Sprintf("instances%d/accounts%d", instances, accounts), func(b *testing.B) {
				l := NewLedger(epoch, Config{Self: "i0"})
				var members []string
				for n := range instances {
					members = append(members, fmt.Sprint("i", n))
				}
				l.SetMembers(epoch, members, instances)
				records := make([]catalog.Account, accounts)
				for n := range records {
					records[n] = account(1e9, 1e9)
					records[n].Name = fmt.Sprint("account", n)
				}
				now := epoch
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Microsecond)
					l.Allow(now, &records[i%accounts])
				}
			})
		}
	}
}

// An account's home fails, which the others detect only after some seconds. If only
// the home could grant the budget, the account's callers would get 429 from the
// alive instances until then, with most of the budget unspent.
func TestFailedHomeRefusesNothingWithinTheBudget(t *testing.T) {
	f := newFleet(1, 2, account(100, 100))
	home := f.node(f.nodes[0].ledger.view.Load().home(f.account.Name))
	home.alive = false
	other := f.nodes[0]
	if other == home {
		other = f.nodes[1]
	}
	refused := 0
	for range 60 { // six seconds at a tenth of the budget
		verdict := f.request(other)
		f.step(100 * time.Millisecond)
		if verdict == Pending {
			verdict = f.request(other)
		}
		if verdict != Allowed {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 1)
}

// The path between an instance and a home fails permanently, and the membership does
// not detect it, since others reach both. The home goes on granting, so the instance
// must not spend a full equal share in addition forever.
func TestFallbackIsBoundedWhileHomeIsUnreachable(t *testing.T) {
	f := newFleet(1, 2, account(100, 100))
	home := f.node(f.nodes[0].ledger.view.Load().home(f.account.Name))
	home.partition = 1
	other := f.nodes[0]
	if other == home {
		other = f.nodes[1]
	}
	const seconds, perSecond = 100, 200
	for range seconds * perSecond {
		f.request(other)
		f.step(time.Second / perSecond)
	}
	c := Config{}.withDefaults()
	share := f.account.RequestsPerSecond / 2
	fallback := c.MaxFallback.Seconds() + seconds/fallbackSpacing
	most := share*fallback + share*c.LocalShare*seconds + f.account.Burst/2
	require.LessOrEqual(t, float64(f.served), most)
}
