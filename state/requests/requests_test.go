package requests

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	stages = []string{"encode", "retrieve", "rerank", "generate"}
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func info(id string, begun time.Duration) Info {
	return Info{
		ID: id, Pipeline: "permits", SchemaVersion: 2, Account: "wards", Tier: "gold",
		Stages: stages, Deadline: time.Second, StartedAt: at(begun),
	}
}

// knownIDs lists the ids that the table has a status of, with a + after those
// that ended.
func knownIDs(t *Table, now time.Duration, ids ...string) string {
	var found []string
	for _, id := range ids {
		s, ok := t.Get(id, at(now))
		if ok && s.State != StateRunning {
			id += "+"
		}
		if ok {
			found = append(found, id)
		}
	}
	return strings.Join(found, " ")
}

func TestStatusOfOneRequest(t *testing.T) {
	tab := New(Options{MaxRequests: 4, Retention: time.Minute})
	ref := tab.Begin(info("r1", 0))
	first := tab.StartAttempt(ref, AttemptStart{Stage: 3, ID: "a1", Target: "engine-1", At: at(10)})
	hedge := tab.StartAttempt(ref, AttemptStart{Stage: 3, ID: "a2", Target: "engine-2", At: at(30)})
	tab.EndAttempt(ref, hedge, AttemptEnd{Result: ResultOK, Work: 40, Tokens: 5, PrefillTokens: 7, At: at(80)})

	got, ok := tab.Get("r1", at(100))
	require.True(t, ok)
	want := Status{Info: info("r1", 0), State: StateRunning, Elapsed: 100, Attempts: []Attempt{
		{Stage: 3, ID: "a1", Target: "engine-1", Result: ResultRunning, StartOffset: 10, Elapsed: 90},
		{Stage: 3, ID: "a2", Target: "engine-2", Result: ResultOK, StartOffset: 30, Elapsed: 50, Work: 40, Tokens: 5, PrefillTokens: 7},
	}}
	require.Equal(t, want, got)

	tab.Finish(ref, End{State: StateAnswered, Outcome: OutcomeRan, At: at(120)})
	tab.Finish(ref, End{State: StateFailed, Outcome: OutcomeUnknown, At: at(130)})
	tab.EndAttempt(ref, first, AttemptEnd{Result: ResultLate, Error: strings.Repeat("e", 500), At: at(200)})
	tab.EndAttempt(ref, first, AttemptEnd{Result: ResultOK, At: at(300)})
	got, _ = tab.Get("r1", at(400))
	require.Equal(t, StateAnswered, got.State)
	require.Equal(t, OutcomeRan, got.Outcome)
	require.Equal(t, time.Duration(120), got.Elapsed)
	require.Equal(t, ResultLate, got.Attempts[0].Result)
	require.Equal(t, time.Duration(190), got.Attempts[0].Elapsed)
	require.Len(t, got.Attempts[0].Error, maxErrorBytes)
}

func TestEnumTexts(t *testing.T) {
	require.Equal(t, "running answered failed invalid", fmt.Sprint(StateRunning, StateAnswered, StateFailed, State(9)))
	require.Equal(t, " not_run ran unknown", fmt.Sprintf("%v %v %v %v", OutcomeNone, OutcomeNotRun, OutcomeRan, OutcomeUnknown))
	require.Equal(t, "running ok not_run failed late cancelled",
		fmt.Sprint(ResultRunning, ResultOK, ResultNotRun, ResultFailed, ResultLate, ResultCancelled))
}

// A burst of requests, requests that are never finished, or long error texts
// would otherwise grow the table until the process runs out of memory. The
// request that finished first is evicted first. A running one never is, since an
// operator may look for its status.
func TestBounds(t *testing.T) {
	begin := func(tab *Table, id string, d time.Duration) Ref { return tab.Begin(info(id, d)) }
	finish := func(tab *Table, ref Ref, d time.Duration) { tab.Finish(ref, End{State: StateAnswered, At: at(d)}) }
	cases := map[string]struct {
		options Options
		run     func(*Table)
		now     time.Duration
		want    string
	}{
		"the first finished is evicted first": {Options{MaxRequests: 2}, func(tab *Table) {
			r1, r2 := begin(tab, "r1", 0), begin(tab, "r2", 1)
			finish(tab, r2, 2)
			finish(tab, r1, 3)
			begin(tab, "r3", 4)
		}, 4, "r1+ r3"},
		"a running one is never evicted": {Options{MaxRequests: 2}, func(tab *Table) {
			begin(tab, "r1", 0)
			begin(tab, "r2", 1)
			finish(tab, begin(tab, "r3", 2), 3)
		}, 4, "r1 r2"},
		"an id in use is not reused": {Options{MaxRequests: 4}, func(tab *Table) {
			begin(tab, "r1", 0)
			finish(tab, begin(tab, "r1", 1), 1)
			begin(tab, "r2", 2)
		}, 3, "r1 r2"},
		"a finished one expires": {Options{MaxRequests: 4}, func(tab *Table) {
			finish(tab, begin(tab, "r1", 0), time.Second)
			begin(tab, "r2", time.Second)
		}, time.Second + time.Minute, "r2"},
		"one that is never finished expires": {Options{MaxRequests: 1}, func(tab *Table) {
			begin(tab, "r1", 0)
			begin(tab, "r2", time.Second+time.Minute)
		}, time.Second + time.Minute, "r2"},
		"the bound of bytes evicts finished ones": {Options{MaxRequests: 8, MaxBytes: 2*(recordBytes+preallocatedAttempts*attemptBytes) + 8}, func(tab *Table) {
			for d, id := range []string{"r1", "r2"} {
				ref := begin(tab, id, time.Duration(d))
				tab.StartAttempt(ref, AttemptStart{At: at(2)})
				finish(tab, ref, 3)
			}
			begin(tab, "r3", 4)
		}, 5, "r2+ r3"},
		"a late response does not evict its own request": {Options{MaxRequests: 8, MaxBytes: recordBytes + preallocatedAttempts*attemptBytes + 8}, func(tab *Table) {
			ref := begin(tab, "r1", 0)
			n := tab.StartAttempt(ref, AttemptStart{At: at(1)})
			finish(tab, ref, 2)
			tab.EndAttempt(ref, n, AttemptEnd{Result: ResultLate, Error: strings.Repeat("e", 100), At: at(3)})
		}, 5, "r1+"},
		"running ones up to the bound of bytes": {Options{MaxRequests: 8, MaxBytes: recordBytes + preallocatedAttempts*attemptBytes + 8}, func(tab *Table) {
			ref := begin(tab, "r1", 0)
			tab.StartAttempt(ref, AttemptStart{ID: "a", At: at(1)})
			begin(tab, "r2", 2)
		}, 5, "r1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.options.Retention = time.Minute
			tab := New(c.options)
			c.run(tab)
			require.Equal(t, c.want, knownIDs(tab, c.now, "r1", "r2", "r3"))
		})
	}
}

// An operator would see attempts of another request in a status if a request
// that was evicted recorded a late response through its Ref after its slot was
// reused.
func TestStaleRefIsIgnored(t *testing.T) {
	tab := New(Options{MaxRequests: 1, Retention: time.Minute})
	old := tab.Begin(info("r1", 0))
	tab.StartAttempt(old, AttemptStart{ID: "a1", At: at(1)})
	tab.Finish(old, End{State: StateAnswered, At: at(2)})
	current := tab.Begin(info("r2", 3))
	now := tab.StartAttempt(current, AttemptStart{ID: "b1", At: at(4)})
	before, _ := tab.Get("r2", at(5))

	require.Equal(t, NoAttempt, tab.StartAttempt(old, AttemptStart{ID: "a2", At: at(5)}))
	tab.EndAttempt(old, now, AttemptEnd{Result: ResultFailed, At: at(5)})
	tab.Finish(old, End{State: StateFailed, At: at(5)})
	after, _ := tab.Get("r2", at(5))
	require.Equal(t, before, after)
}

// A stage that a fault retries far beyond its budgets must not fill the table with
// attempts, and its status must report that some are missing.
func TestAttemptsBounded(t *testing.T) {
	tab := New(Options{MaxRequests: 2, MaxBytes: 1 << 20, Retention: time.Minute})
	ref := tab.Begin(info("r1", 0))
	for range maxAttempts {
		require.NotEqual(t, NoAttempt, tab.StartAttempt(ref, AttemptStart{At: at(1)}))
	}
	require.Equal(t, NoAttempt, tab.StartAttempt(ref, AttemptStart{At: at(1)}))
	require.Equal(t, NoAttempt, tab.StartAttempt(ref, AttemptStart{Stage: len(stages), At: at(1)}))
	got, _ := tab.Get("r1", at(2))
	require.Equal(t, 2, got.Unrecorded)
}

// runOneAttempt records a request with one attempt that ends with the given
// result.
func runOneAttempt(tab *Table, id, account string, result Result, elapsed time.Duration) {
	i := info(id, 0)
	i.Account = account
	ref := tab.Begin(i)
	n := tab.StartAttempt(ref, AttemptStart{Stage: 3, ID: "a", At: at(0)})
	tab.EndAttempt(ref, n, AttemptEnd{Result: result, Work: elapsed / 2, Tokens: 1, PrefillTokens: 2, At: at(elapsed)})
	state := StateAnswered
	if result != ResultOK {
		state = StateFailed
	}
	tab.Finish(ref, End{State: state, At: at(elapsed)})
}

func TestCountersOfOneRequest(t *testing.T) {
	cases := map[string]struct {
		result  Result
		elapsed time.Duration
		stage   Counters
		whole   Counters
	}{
		"in time": {ResultOK, 400 * time.Millisecond,
			Counters{1, 1, 400 * time.Millisecond, 200 * time.Millisecond, 0, 1, 2},
			Counters{Count: 1, Attained: 1, Elapsed: 400 * time.Millisecond}},
		"past the deadline": {ResultOK, 4 * time.Second,
			Counters{1, 1, 4 * time.Second, 2 * time.Second, 2 * time.Second, 1, 2},
			Counters{Count: 1, Elapsed: 4 * time.Second}},
		"failed": {ResultFailed, 400 * time.Millisecond,
			Counters{1, 0, 400 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, 1, 2},
			Counters{Count: 1, Elapsed: 400 * time.Millisecond}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New(Options{MaxRequests: 8, Retention: time.Minute})
			runOneAttempt(tab, "r1", "wards", c.result, c.elapsed)
			want := []Row{
				{Key{"permits", "", "gold", "wards"}, c.whole},
				{Key{"permits", "generate", "gold", "wards"}, c.stage},
			}
			require.Equal(t, want, tab.Drain(SummaryLimits{Groups: 8, Accounts: 8}).Rows)
			require.Empty(t, tab.Drain(SummaryLimits{Groups: 8, Accounts: 8}).Rows)
		})
	}
}

// The response of an unused hedge may arrive after the request was answered. Its
// work must still be counted.
func TestWorkAfterRequestEndIsCounted(t *testing.T) {
	cases := map[string]struct {
		answered time.Duration
		end      AttemptEnd
		want     time.Duration
	}{
		"late response":           {1, AttemptEnd{Result: ResultLate, Work: 30, At: at(50)}, 30},
		"cancelled, no report":    {1, AttemptEnd{Result: ResultCancelled, At: at(50)}, 50},
		"never started":           {1, AttemptEnd{Result: ResultNotRun, At: at(50)}, 0},
		"used past the deadline":  {2 * time.Second, AttemptEnd{Result: ResultOK, Work: 30, At: at(50)}, 30},
		"used before the request": {1, AttemptEnd{Result: ResultOK, Work: 30, At: at(50)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New(Options{MaxRequests: 8, Retention: time.Minute})
			ref := tab.Begin(info("r1", 0))
			n := tab.StartAttempt(ref, AttemptStart{Stage: 3, ID: "a", At: at(0)})
			tab.Finish(ref, End{State: StateAnswered, At: at(c.answered)})
			tab.EndAttempt(ref, n, c.end)
			rows := tab.Drain(SummaryLimits{Groups: 8, Accounts: 8}).Rows
			require.Equal(t, "generate", rows[1].Stage)
			require.Equal(t, c.want, rows[1].Wasted)
		})
	}
}

// With thousands of accounts an unbounded summary would be too large for the
// store, and operators would get no report at all. Counters without a row of
// their own are included in the totals.
func TestSummaryIsBounded(t *testing.T) {
	tab := New(Options{MaxRequests: 1000, Retention: time.Minute})
	for i := range 20 {
		for n := range i + 1 {
			runOneAttempt(tab, fmt.Sprintf("r-%d-%d", i, n), fmt.Sprintf("account-%02d", i), ResultNotRun, 1)
		}
	}
	rows := tab.Drain(SummaryLimits{Groups: 1, Accounts: 2}).Rows
	got := map[Key]uint64{}
	for _, r := range rows {
		got[r.Key] = r.Count
	}
	const all = 20 * 21 / 2
	require.Equal(t, map[Key]uint64{
		{"permits", "", "gold", "account-18"}: 19,
		{"permits", "", "gold", "account-19"}: 20,
		{"permits", "", "gold", ""}:           all - 39,
		{OtherPipeline, "", "", ""}:           all, // the group of the stage
	}, got)
}

// Operators bill work by account. If small accounts were dropped when there are
// too many, the totals would not add up; if busy ones were, the wrong accounts
// would be listed.
func TestPruningKeepsTotalsAndBusiestAccounts(t *testing.T) {
	tab := New(Options{MaxRequests: 8, Retention: time.Minute, MaxAccounts: 16})
	const rounds = 400
	for i := range rounds {
		runOneAttempt(tab, "small", fmt.Sprint("small-", i), ResultOK, 1)
		runOneAttempt(tab, "big", "big", ResultOK, 1)
		tab.Expire(at(time.Hour))
	}
	rows := tab.Drain(SummaryLimits{Groups: 8, Accounts: 1}).Rows
	require.Equal(t, "big", rows[1].Account)
	require.Equal(t, uint64(rounds), rows[1].Count)
	require.Equal(t, uint64(rounds), rows[0].Count)
}

// Operators read the attainment of each tier since the process started. Writing a
// report to the store must not reset it, and a tool that keeps renaming tiers
// must not exhaust the memory.
func TestAttainmentByTier(t *testing.T) {
	tab := New(Options{MaxRequests: 64, Retention: time.Minute})
	end := func(id, tier string, state State, after time.Duration) {
		i := info(id, 0)
		i.Tier = tier
		tab.Finish(tab.Begin(i), End{State: state, At: at(after)})
	}
	end("in time", "gold", StateAnswered, time.Second)
	end("late", "gold", StateAnswered, time.Second+1)
	end("failed", "gold", StateFailed, 0)
	tab.Drain(SummaryLimits{Groups: 1})
	require.Equal(t, map[string]Attainment{"gold": {Ended: 3, Attained: 1}}, tab.Attainment())
	for i := range 2 * maxTiers {
		end(fmt.Sprint(i), fmt.Sprintf("tier-%d", i), StateAnswered, 0)
	}
	got := tab.Attainment()
	require.Len(t, got, maxTiers+1)
	require.Equal(t, Attainment{Ended: maxTiers + 1, Attained: maxTiers + 1}, got[OtherTier])
}

// The counters of a summary that could not be written because the store is down
// must be in the next one, exactly once.
func TestRestoreAfterFailedWrite(t *testing.T) {
	tab := New(Options{MaxRequests: 8, Retention: time.Minute})
	limits := SummaryLimits{Groups: 8, Accounts: 8}
	runOneAttempt(tab, "r1", "wards", ResultOK, 1)
	first := tab.Drain(limits)
	runOneAttempt(tab, "r2", "wards", ResultOK, 1)
	tab.Restore(first)
	rows := tab.Drain(limits).Rows
	require.Len(t, rows, 2)
	require.Equal(t, uint64(2), rows[0].Attained)
}

// For any sequence of events, the bounds hold, no Ref reaches the record of
// another request, and every attempt that ended is counted exactly once.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{MaxRequests: rapid.IntRange(1, 6).Draw(t, "max"), MaxBytes: 6000, Retention: 20, MaxAccounts: 3}
		tab := New(o)
		var now time.Duration
		var ended uint64
		type open struct {
			ref      Ref
			id       string
			attempts []int
		}
		var refs []open
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 9).Draw(t, "tick"))
			if len(refs) == 0 || rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
				i := info(id, now)
				i.Account, i.Deadline = id, 30
				if ref := tab.Begin(i); ref.Recorded() {
					refs = append(refs, open{ref: ref, id: id})
				}
				continue
			}
			r := &refs[rapid.IntRange(0, len(refs)-1).Draw(t, "ref")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				n := tab.StartAttempt(r.ref, AttemptStart{Stage: 1, ID: r.id, At: at(now)})
				r.attempts = append(r.attempts, n)
			case 1:
				if len(r.attempts) > 0 {
					before := tab.attemptRunning(r.ref, r.attempts[0])
					tab.EndAttempt(r.ref, r.attempts[0], AttemptEnd{Result: ResultOK, Error: "error", At: at(now)})
					if before {
						ended++
					}
				}
			case 2:
				tab.Finish(r.ref, End{State: StateAnswered, At: at(now)})
			case 3:
				tab.Expire(at(now))
			}
			stats := tab.Stats()
			require.LessOrEqual(t, stats.Requests, o.MaxRequests)
			require.LessOrEqual(t, stats.Bytes, o.MaxBytes)
			for id := range 10 {
				if s, ok := tab.Get(fmt.Sprint(id), at(now)); ok {
					for _, a := range s.Attempts {
						require.Equal(t, s.ID, a.ID)
					}
				}
			}
		}
		var sum uint64
		for _, row := range tab.Drain(SummaryLimits{Groups: 9, Accounts: 2}).Rows {
			if row.Stage != "" {
				sum += row.Count
			}
		}
		require.Equal(t, ended, sum)
		tab.Expire(at(time.Hour))
		require.Equal(t, Stats{Unrecorded: tab.Stats().Unrecorded}, tab.Stats())
	})
}

// attemptRunning reports whether an attempt is recorded and running.
func (t *Table) attemptRunning(ref Ref, attempt int) bool {
	r := t.shards[ref.shard].find(ref)
	return r != nil && attempt >= 0 && r.attempts[attempt].Result == ResultRunning
}

// Requests end on many cores while a summary is drained and restored after a
// failed write. A request that is counted twice or not at all would be billed
// wrongly.
func TestConcurrentUse(t *testing.T) {
	tab := New(Options{MaxRequests: 256, Retention: time.Minute})
	const workers, each = 8, 200
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range each {
				id := fmt.Sprintf("%d-%d", w, i)
				runOneAttempt(tab, id, id, ResultOK, 1)
				tab.Get(id, at(1))
				tab.Stats()
				if i%50 == 0 {
					tab.Restore(tab.Drain(SummaryLimits{Groups: 9, Accounts: 9}))
				}
			}
		})
	}
	wg.Wait()
	var sum uint64
	for _, row := range tab.Drain(SummaryLimits{Groups: 9, Accounts: 9}).Rows {
		if row.Stage == "" {
			sum += row.Attained
		}
	}
	require.Equal(t, uint64(workers*each), sum)
}
