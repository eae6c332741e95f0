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

// bound is the one that the package states, for the time since began.
func (f *fleet) bound(began time.Time, listed int) float64 {
	c := Config{}.withDefaults()
	seconds := f.now.Sub(began) + c.GrantTTL + time.Duration(f.changes)*f.spread
	starts := float64(listed + f.changes)
	floor := max(c.LocalShare*f.account.Burst/float64(listed), 1)
	return f.account.Burst + f.account.RequestsPerSecond*seconds.Seconds() + starts*floor
}

// The network parts, instances die, restart and join, and come together again,
// while the account asks for far more than it has. If each part of the network
// grants the budget, or each new home starts with a full one, the account is
// served a multiple, at the cost of the others.
func TestOverspendIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "instances")
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(0, 400).Draw(t, "burst"))
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size, account(rate, burst))
		most := size
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			living := f.living()
			n := living[f.rng.IntN(len(living))]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				for _, other := range living {
					other.side = f.rng.IntN(2)
				}
				f.changed()
			case 1:
				for _, other := range living {
					other.side = 0
				}
				f.changed()
			case 2:
				if len(living) > 1 {
					n.alive = false
					f.changed()
				}
			case 3:
				n.ledger = NewLedger(f.now, Config{Self: n.name}) // a new incarnation
				f.changed()
				f.tell(n)
			case 4:
				f.tell(f.add())
				f.changed()
			}
			most = max(most, len(f.living()))
			for range rapid.IntRange(10, 300).Draw(t, "steps") {
				f.step(time.Duration(f.rng.Int64N(int64(20 * time.Millisecond))))
				for range 3 {
					living = f.living()
					f.request(living[f.rng.IntN(len(living))])
				}
			}
			require.LessOrEqual(t, float64(f.served), f.bound(epoch, most))
		}
	})
}

// The network parts and heals again and again, for longer than news takes. Each
// side elects a home; a home that comes back must not count the time in which
// the other one granted.
func TestRepeatedPartitions(t *testing.T) {
	f := newFleet(3, 8, account(10, 300))
	f.step(time.Minute) // the burst is whole
	began := f.now
	for round := range 6 {
		for n, other := range f.nodes {
			other.side = n % 2 * ((round + 1) % 2)
		}
		f.changed()
		for range 3000 {
			f.step(10 * time.Millisecond)
			f.request(f.nodes[f.rng.IntN(8)])
			f.request(f.nodes[f.rng.IntN(8)])
		}
		t.Logf("round %d: served %d, budget %.0f, bound %.0f", round, f.served,
			f.account.Burst+f.account.RequestsPerSecond*f.now.Sub(began).Seconds(), f.bound(began, 8))
		require.LessOrEqual(t, float64(f.served), f.bound(began, 8))
	}
}

// The three ways to share a budget without a store call a request, on the same
// arrivals: what is served of what the budget allows.
func TestWaysToShare(t *testing.T) {
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
				t.Logf("static %.3f, follows demand %.3f, chunks from home %.3f, %.1f asks a second",
					float64(static.served)/whole, float64(follow.served)/whole,
					float64(f.served)/whole, float64(f.asks)/length.Seconds())
				require.Greater(t, float64(f.served)/whole, tt.least)
			})
		}
	}
}

// Others of the instance's accounts ask for many times their budgets, and an
// instance dies; an account that was idle all along then sends its burst at
// once, through one instance. It must not be refused.
func TestIdleAccountKeepsItsShare(t *testing.T) {
	f := newFleet(1, 8, account(10, 100))
	f.account.Name = "flood"
	for range 20_000 {
		f.step(time.Millisecond)
		f.request(f.nodes[f.rng.IntN(7)])
	}
	f.nodes[7].alive = false
	f.changed()
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
		f.step(3 * f.hop)
		if f.request(f.nodes[0]) == Allowed {
			allowed++
		}
	}
	t.Logf("%d of 90 served of a burst of 100", allowed)
	require.GreaterOrEqual(t, allowed, 80)
}

// An operator lowers, raises or lifts a budget: the next request goes by it,
// though tokens of the old one are still at hand.
func TestRecordTakesHoldAtOnce(t *testing.T) {
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

// Messages are lost, doubled, late and misdirected. A grant that counts twice is
// budget out of nothing; one that is waited for without end blocks the account.
func TestGrantsInDisorder(t *testing.T) {
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
		run  func(l *Ledger, ask GrantRequest) time.Time
		want int
	}{
		"granted": {func(l *Ledger, ask GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: ask.Seq, Tokens: 50})
			return now
		}, 50},
		"doubled": {func(l *Ledger, ask GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: ask.Seq, Tokens: 50})
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: ask.Seq, Tokens: 50})
			return now
		}, 50},
		"of another ask": {func(l *Ledger, ask GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: ask.Seq + 1, Tokens: 50})
			return now
		}, 0},
		"of an unknown account": {func(l *Ledger, ask GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: "nobody", Seq: ask.Seq, Tokens: 50})
			return now
		}, 0},
		"left over too long": {func(l *Ledger, ask GrantRequest) time.Time {
			l.ApplyGrant(now, Grant{Account: acct.Name, Seq: ask.Seq, Tokens: 50})
			return now.Add(DefaultGrantTTL)
		}, 25}, // the instance's own part of Burst has come back by then
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, ask := first()
			left(l, now) // spends the instance's own part
			at := tt.run(l, ask)
			require.InDelta(t, tt.want, left(l, at), 1)
		})
	}

	l, ask := first()
	left(l, now)
	require.Equal(t, Pending, l.Allow(now, &acct).Verdict)
	d := l.Allow(now.Add(DefaultRequestTimeout), &acct)
	require.NotEqual(t, Pending, d.Verdict, "a lost ask ends the wait")
	require.NotNil(t, l.Allow(now.Add(2*DefaultRequestTimeout), &acct).Request, "and is put again")

	other := NewLedger(epoch, Config{Self: "c"})
	other.SetMembers(epoch, []string{"a", "b", "c"}, 3)
	ask.Account = "account0"
	for n := 0; other.view.Load().home(ask.Account) == "c"; n++ {
		ask.Account = fmt.Sprint("account", n)
	}
	g := other.Grant(now, ask, &acct)
	require.Zero(t, g.Tokens, "not the home")
	require.Positive(t, g.RetryAfterMS)
}

// Callers of thousands of accounts come to one instance, and instances come and go
// all day: neither may grow what it keeps.
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

// The instance that is home to an account dies. Until the others notice, which
// takes them some seconds, the account's callers got 429 at the living ones with
// most of the budget unspent, since only the home could grant it.
func TestADeadHomeRefusesNothingWithinTheBudget(t *testing.T) {
	f := newFleet(1, 2, account(100, 100))
	home := f.find(f.nodes[0].ledger.view.Load().home(f.account.Name))
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

// One way between an instance and a home is cut for good, and the membership
// does not notice, since others reach both. The home goes on granting, so the
// instance must not spend a whole share beside it for ever.
func TestAHomeOutOfReachBoundsTheShare(t *testing.T) {
	f := newFleet(1, 2, account(100, 100))
	home := f.find(f.nodes[0].ledger.view.Load().home(f.account.Name))
	home.side = 1
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
	alone := c.MaxFallback.Seconds() + seconds/fallbackSpacing
	most := share*alone + share*c.LocalShare*seconds + f.account.Burst/2
	require.LessOrEqual(t, float64(f.served), most)
}
