package gather

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sharedServices are two services that do 40 and 60 pieces a second at targets with calls of 0.2 s.
var (
	sharedConfig   = ServiceConfig{Slots: 1, MaxPieces: 4, CallTime: 200 * time.Millisecond, ResultCapacity: 27 << 20, ResultTTL: 4 * time.Second}
	sharedServices = []fleetService{{lookup, 2, sharedConfig}, {ranking, 3, sharedConfig}}
)

// Stages of requests that use lookup after ranking, and before it.
var (
	lookupLast  = []Stage{{Service: ranking, Pieces: 1, ResultBytes: 8 << 10}, {Service: lookup, After: []int{0}, Pieces: 1, ResultBytes: 8 << 10}}
	lookupFirst = []Stage{{Service: lookup, Pieces: 1, ResultBytes: 8 << 10}, {Service: ranking, After: []int{0}, Pieces: 1, ResultBytes: 8 << 10}}
)

// sharingLoad is a load of accounts whose requests are alike.
type sharingLoad struct {
	rates     []float64
	objective time.Duration
	deadline  time.Duration
	even      bool
	config    Config
	// tiers and stages are by account; a stage without an entry is one of lookup.
	tiers  []int
	stages map[int][]Stage
}

func accountName(i int) string { return fmt.Sprint("account", i) }

func (l *sharingLoad) start() *fleetRun {
	var kinds []fleetKind
	for i, rate := range l.rates {
		k := fleetKind{
			name: accountName(i), rate: rate, objective: l.objective, deadline: l.deadline, readDelay: 100 * time.Millisecond,
			stages: func(*rand.Rand) []Stage { return []Stage{{Service: lookup, Pieces: 1, ResultBytes: 8 << 10}} },
			caller: fleetCaller{account: accountName(i), route: "route", even: l.even},
		}
		if stages, ok := l.stages[i]; ok {
			k.stages = func(*rand.Rand) []Stage { return stages }
		}
		if i < len(l.tiers) {
			k.caller.tier = l.tiers[i]
		}
		kinds = append(kinds, k)
	}
	return newFleetRunOf(1, l.config, sharedServices, kinds, 5)
}

// served returns the requests of an account that were answered, and their share.
func (r *fleetRun) served(account int) (int, float64) {
	v := r.results[accountName(account)]
	return v.timely + v.missed, float64(v.timely+v.missed) / float64(v.submitted)
}

const sharingSpan = 12 * time.Second

// playAll runs a load for sharingSpan and then until its requests have ended. It also returns how many
// requests were answered within sharingSpan.
func (l *sharingLoad) playAll() (*fleetRun, int) {
	r := l.start()
	r.surge = func(string, time.Duration) float64 {
		if r.now.Sub(r.begin) > sharingSpan {
			return 1e-9
		}
		return 1
	}
	r.run(sharingSpan)
	within := 0
	for i := range l.rates {
		n, _ := r.served(i)
		within += n
	}
	r.run(sharingSpan + l.deadline)
	return r, within
}

// Guards against an account that gets more by sending more: the other accounts would be refused for
// an overload that it causes.
func TestAccountsShareScarceCapacity(t *testing.T) {
	const large, small = 110.0, 4.0
	cases := []struct {
		name  string
		rates []float64
		check func(t *testing.T, r *fleetRun)
	}{
		{"one large, one small", []float64{large, small}, func(t *testing.T, r *fleetRun) {
			_, share := r.served(1)
			require.GreaterOrEqual(t, share, 0.9)
		}},
		{"one large, six small", []float64{large, small, small, small, small, small, small}, func(t *testing.T, r *fleetRun) {
			for i := range 6 {
				_, share := r.served(i + 1)
				require.GreaterOrEqual(t, share, 0.85, i)
			}
		}},
		{"three alike", []float64{40, 40, 40}, func(t *testing.T, r *fleetRun) {
			least, most := 1<<30, 0
			for i := range 3 {
				n, _ := r.served(i)
				least, most = min(least, n), max(most, n)
			}
			require.GreaterOrEqual(t, float64(least), 0.8*float64(most))
		}},
		{"one alone", []float64{large}, func(*testing.T, *fleetRun) {}},
	}
	for _, c := range cases {
		for _, within := range [][2]time.Duration{{2 * time.Second, 6 * time.Second}, {time.Second, 2 * time.Second}, {6 * time.Second, 6 * time.Second}, {800 * time.Millisecond, 800 * time.Millisecond}, {2 * time.Second, 20 * time.Second}, {300 * time.Millisecond, 2 * time.Second}, {250 * time.Millisecond, 1500 * time.Millisecond}} {
			for _, even := range []bool{true, false} {
				t.Run(fmt.Sprint(c.name, within, even), func(t *testing.T) {
					l := sharingLoad{rates: c.rates, objective: within[0], deadline: within[1], even: even}
					off, withinOff := l.playAll()
					l.config.AccountSharing = true
					r, within := l.playAll()
					for i := range c.rates {
						n, share := r.served(i)
						nOff, shareOff := off.served(i)
						late, lateOff := r.results[accountName(i)].refusedLate, off.results[accountName(i)].refusedLate
						t.Logf("account %d: %d (%.2f), %d refused after admission, without sharing %d (%.2f), %d", i, n, share, late, nOff, shareOff, lateOff)
						if len(c.rates) > 1 {
							require.LessOrEqual(t, float64(late), float64(lateOff)+0.08*float64(r.results[accountName(i)].submitted), "refusals that were foreseeable")
						}
					}
					t.Logf("%d within the span, without sharing %d", within, withinOff)
					require.GreaterOrEqual(t, float64(within), 0.99*float64(withinOff), "capacity is held back")
					c.check(t, r)
				})
			}
		}
	}
}

// Guards against small accounts that are refused in the first seconds of an overload, and against ones that
// are refused for all of it where the stages can hardly meet the objective.
func TestSmallAccountsInAnOverloadThatBegins(t *testing.T) {
	playOverloadThatBegins(t, Config{AccountSharing: true})
}

// Guards against small accounts that are refused since their first stages are held back for the work that
// a large one has at the later ones.
func TestFlowControlHoldsBackNoSmallAccount(t *testing.T) {
	playOverloadThatBegins(t, Config{AccountSharing: true, ResultFlowControl: true})
}

func playOverloadThatBegins(t *testing.T, config Config) {
	const begins, lasts, deadline, plays = 4 * time.Second, 4 * time.Second, 3 * time.Second, 20
	services := []fleetService{{lookup, 2, ServiceConfig{Slots: 1, MaxPieces: 4, CallTime: 100 * time.Millisecond, ResultCapacity: 27 << 20, ResultTTL: 4 * time.Second}}}
	stages := func(rng *rand.Rand) []Stage {
		return []Stage{{Service: lookup, Pieces: rng.IntN(4), ResultBytes: 8 << 10}, {Service: lookup, After: []int{0}, Pieces: 1 + rng.IntN(4), ResultBytes: 8 << 10}}
	}
	for _, c := range []struct {
		small          int
		rate, required float64
	}{{1, 3, 0.9}, {2, 3, 0.85}, {6, 1, 0.85}} {
		for _, objective := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprint(c.small, objective), func(t *testing.T) {
				sent, refused := make([]int, c.small+1), make([]int, c.small+1)
				for seed := range uint64(plays) {
					var kinds []fleetKind
					for i := range c.small + 1 {
						kinds = append(kinds, fleetKind{name: accountName(i), rate: c.rate, objective: objective, deadline: deadline, readDelay: 10 * time.Millisecond,
							stages: stages, caller: fleetCaller{account: accountName(i), route: "route", even: c.small < 6}})
					}
					kinds[0].rate = 3
					r := newFleetRunOf(seed, config, services, kinds, 1)
					r.surge = func(name string, at time.Duration) float64 {
						if name == accountName(0) && at > begins && at < begins+lasts {
							return 20
						}
						return 1
					}
					r.run(begins)
					before := map[string]fleetResult{}
					for name, v := range r.results {
						before[name] = *v
					}
					r.run(begins + lasts)
					for i := range sent {
						sent[i] += r.results[accountName(i)].submitted - before[accountName(i)].submitted
					}
					r.run(begins + lasts + deadline)
					for i := range refused {
						n := r.results[accountName(i)].refused - before[accountName(i)].refused
						refused[i] += n
						if c.small == 1 && i > 0 {
							require.LessOrEqual(t, n, 1, "of 12 in play %d", seed)
						}
					}
				}
				t.Log(refused, sent)
				for i := 1; i <= c.small; i++ {
					require.LessOrEqual(t, float64(refused[i]), (1-c.required)*float64(sent[i]), i)
				}
			})
		}
	}
}

// newSharingLoad has sharing on and the objectives of a usual route.
func newSharingLoad(rates ...float64) *sharingLoad {
	return &sharingLoad{rates: rates, objective: 2 * time.Second, deadline: 6 * time.Second, config: Config{AccountSharing: true}}
}

// Guards against weights that are ignored.
func TestSharesFollowWeights(t *testing.T) {
	l := newSharingLoad(60, 60)
	l.config.AccountWeights = map[string]float64{accountName(0): 2}
	r := l.start()
	r.run(4 * time.Second) // the queue of the time before the overload was known
	heavyBefore, _ := r.served(0)
	lightBefore, _ := r.served(1)
	r.run(sharingSpan)
	heavy, _ := r.served(0)
	light, _ := r.served(1)
	t.Logf("%d and %d", heavy-heavyBefore, light-lightBefore)
	require.InDelta(t, 2, float64(heavy-heavyBefore)/float64(light-lightBefore), 0.3)
}

// Guards against credit for an idle time: the other account would be starved until it is used up.
func TestIdleAccountHasEarnedNothing(t *testing.T) {
	r := newSharingLoad(110, 110).start()
	const begins = 6 * time.Second
	r.surge = func(name string, at time.Duration) float64 {
		if name == accountName(1) && at < begins {
			return 1e-9
		}
		return 1
	}
	r.at(begins, func() { r.arrive(r.kinds[1]) })
	r.run(begins)
	before, _ := r.served(0)
	for second := range 4 {
		r.run(begins + time.Duration(second+1)*time.Second)
		after, _ := r.served(0)
		other, _ := r.served(1)
		t.Logf("second %d: %d, the new one %d so far", second, after-before, other)
		require.GreaterOrEqual(t, after-before, 12, "an equal share is 20")
		require.GreaterOrEqual(t, other, 12*second, "the new one gets its share at once")
		before = after
	}
}

// Guards against a share that limits a higher tier for the sake of a lower one.
func TestTiersPrecedeShares(t *testing.T) {
	l := newSharingLoad(30, 110, 4)
	l.tiers = []int{-1, 0, 0}
	r, _ := l.playAll()
	_, high := r.served(0)
	_, small := r.served(2)
	t.Logf("%.2f, small of the lower tier %.2f", high, small)
	require.GreaterOrEqual(t, high, 0.97)
	require.GreaterOrEqual(t, small, 0.8)
}

// Guards against memory that grows with the accounts, and against work that stays counted.
func TestManyAccounts(t *testing.T) {
	r := newRig(t)
	r.planner = New(Config{AccountSharing: true})
	r.service("a", smallBatch, "x", "x")
	for i := range 3 * maxSharingAccounts {
		q := chain(fmt.Sprint(i), 1)
		q.Account = q.ID
		r.submit(q)
	}
	s := r.planner.services["a"].shares
	require.Len(t, s.rank(0).demands.Demands(r.now, s.weight), maxSharingAccounts)
	require.NotEmpty(t, s.queued)
	r.run(20 * time.Second)
	require.Empty(t, s.queued)
	require.Empty(t, s.ranks)
}

// Guards against a new holder that takes the requests of all accounts for those of one: what the
// large account has queued would go ahead of the small ones'.
func TestNewHolderKeepsShares(t *testing.T) {
	r := newSharingLoad(110, 4, 4).start()
	r.run(5 * time.Second)
	r.handover()
	before := *r.results[accountName(1)]
	r.run(9 * time.Second)
	after := r.results[accountName(1)]
	n, asked := after.timely-before.timely, after.submitted-before.submitted
	t.Logf("%d of %d", n, asked)
	require.GreaterOrEqual(t, float64(n), 0.85*float64(asked))
}

// Guards against small accounts that bear the loss of a target for the queue of a large one.
func TestSharesAfterLossOfTarget(t *testing.T) {
	l := newSharingLoad(110, 4, 4)
	r := l.start()
	r.at(6*time.Second, func() {
		list := r.planner.services[lookup].listedTargets()
		r.step(func() []Action { return r.planner.SetTargets(r.now, lookup, list[:1]) })
	})
	r.run(sharingSpan)
	for i := range 3 {
		n, share := r.served(i)
		t.Logf("account %d: %d (%.2f) %+v", i, n, share, *r.results[accountName(i)])
		if i > 0 {
			require.GreaterOrEqual(t, share, 0.8)
		}
	}
}

// Guards against first stages that run although the request is to be refused at its second one.
func TestRequestsBehindRunNoStageForNothing(t *testing.T) {
	for _, rates := range [][]float64{{110, 4}, {40, 40, 40}, {110}} {
		l := newSharingLoad(rates...)
		l.stages = map[int][]Stage{}
		for i := range rates {
			l.stages[i] = lookupLast
		}
		r, _ := l.playAll()
		for i := range rates {
			_, share := r.served(i)
			t.Logf("account %d of %v: %.2f %+v", i, rates, share, *r.results[accountName(i)])
			require.LessOrEqual(t, r.results[accountName(i)].wasted, 5)
		}
		if len(rates) == 2 {
			_, small := r.served(1)
			require.GreaterOrEqual(t, small, 0.9)
		}
	}
}

// Guards against an account that takes the shares of others because its requests end at the service.
func TestSharesPrecedeHeights(t *testing.T) {
	l := newSharingLoad(110, 4)
	l.stages = map[int][]Stage{0: lookupLast, 1: lookupFirst}
	r, _ := l.playAll()
	_, small := r.served(1)
	t.Logf("%.2f", small)
	require.GreaterOrEqual(t, small, 0.9)
}

// Guards against a retry delay that holds for other accounts: the caller would be refused again.
func TestRefusalNamesTimeOfItsAccount(t *testing.T) {
	r := newSharingLoad(110, 4).start()
	r.run(6 * time.Second)
	submit := func(id, account string, at time.Time, within time.Duration) *Refused {
		q := Request{ID: id, Account: account, Route: "route", Priority: 1, Objective: at.Add(2 * time.Second), Deadline: at.Add(within), Stages: []Stage{{Service: lookup, Pieces: 1}}}
		for _, a := range r.planner.Submit(at, q) {
			if refused, ok := a.(Refused); ok {
				return &refused
			}
		}
		return nil
	}
	large := submit("one", accountName(0), r.now, 1500*time.Millisecond)
	require.NotNil(t, large)
	require.Equal(t, accountName(0), large.Account)
	require.Nil(t, submit("two", accountName(1), r.now, 1500*time.Millisecond), "the small account is served at once")
	require.Nil(t, submit("three", accountName(0), r.now, 1500*time.Millisecond+large.RetryAfter), "served with the time that it was told")
}

// Guards operators against a list without the account that causes an overload, and against figures that
// change because they are read.
func TestCompetingAccountsAreListed(t *testing.T) {
	r := newSharingLoad(110, 4).start()
	require.Empty(t, r.planner.AccountShares(r.now, 64))
	r.run(3 * time.Second)
	shares := r.planner.AccountShares(r.now, 64)
	require.Equal(t, shares, r.planner.AccountShares(r.now, 64))
	require.Len(t, shares, 2)
	large, small := shares[0], shares[1]
	require.Equal(t, []string{lookup, accountName(0), accountName(1)}, []string{large.Service, large.Account, small.Account})
	require.Greater(t, large.Demand, large.Share)
	require.Positive(t, large.Waiting)
	require.InDelta(t, small.Demand, small.Share, 1e-9)
	require.InDelta(t, 2, large.Share+small.Share, 0.1, "the two targets work two seconds a second")
	require.Equal(t, shares[:1], r.planner.AccountShares(r.now, 1))
}
