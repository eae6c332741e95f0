package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Everything fails at once, and with every stage sent up to three times the
// targets get three times the load just when they can bear least. However the
// success rate moves, the extra attempts stay a share of the first ones.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Config{})
		now, first, extra := epoch, 0, 0
		for range rapid.IntRange(1, 5).Draw(t, "phases") {
			failures := rapid.Float64Range(0, 1).Draw(t, "failures")
			slow := rapid.Float64Range(0, 1).Draw(t, "slow")
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			gap := time.Duration(rapid.IntRange(1, 2000).Draw(t, "gap ms")) * time.Millisecond
			for range rapid.IntRange(1, 400).Draw(t, "requests") {
				now = now.Add(time.Duration(rng.Int64N(int64(gap))))
				first++
				if rng.Float64() < slow && b.TakeHedge(now) {
					extra++
				}
				failed := rng.Float64() < failures
				for attempt := 1; failed && attempt < 3 && b.TakeRetry(now); attempt++ {
					extra++
					failed = rng.Float64() < failures
				}
				if !failed {
					b.Succeeded(now)
				}
			}
		}
		require.LessOrEqual(t, float64(extra), (DefaultRetryRatio+DefaultHedgeRatio)*float64(first)+2*DefaultReserve)
	})
}

// A long good time earns many tokens; spent all at once in a brown-out they
// would be a wave of retries.
func TestBrownOut(t *testing.T) {
	for _, rate := range []int{1, 10, 100, 1000} {
		b := NewBudget(Config{})
		now, every := epoch, time.Second/time.Duration(rate)
		for range 600 * rate {
			now = now.Add(every)
			b.Succeeded(now)
		}
		first, extra := 0, 0
		for range 30 * rate {
			now = now.Add(every)
			first++
			if b.TakeHedge(now) {
				extra++
			}
			for attempt := 1; attempt < 3 && b.TakeRetry(now); attempt++ {
				extra++
			}
		}
		amplification := float64(first+extra) / float64(first)
		t.Logf("%d requests a second, all fail for 30 s after ten good minutes: amplification %.3f", rate, amplification)
		require.LessOrEqual(t, amplification, 1.2)
	}
}

// A stage has an attempt and a hedge under way, and answers come late, twice or for
// nobody. The caller must get one answer, and nothing may run on for no one.
func TestRace(t *testing.T) {
	repeatable := Stage{Repeatable: true, MaxAttempts: 3, LatestStart: epoch.Add(time.Second), HedgeAfter: 50 * time.Millisecond}
	once := repeatable
	once.Repeatable = false
	single := repeatable
	single.MaxAttempts = 1
	late := epoch.Add(2 * time.Second)
	end := func(now time.Time, attempt int, result Result) func(*Race) []Action {
		return func(r *Race) []Action { return r.Ended(now, newRand(), attempt, result) }
	}
	hedge := func(now time.Time) func(*Race) []Action {
		return func(r *Race) []Action { return r.HedgeDue(now) }
	}
	tests := map[string]struct {
		stage  Stage
		broke  bool
		events []func(*Race) []Action
		want   []Action
	}{
		"answered":                         {repeatable, false, []func(*Race) []Action{end(epoch, 0, Answered)}, []Action{{Kind: Deliver}}},
		"the loser is cancelled":           {repeatable, false, []func(*Race) []Action{hedge(epoch), end(epoch, 1, Answered)}, []Action{{Kind: Cancel, Attempt: 0}, {Kind: Deliver, Attempt: 1}}},
		"a late second answer is dropped":  {repeatable, false, []func(*Race) []Action{hedge(epoch), end(epoch, 1, Answered), end(epoch, 0, Answered)}, nil},
		"an answer that comes twice":       {repeatable, false, []func(*Race) []Action{end(epoch, 0, Answered), end(epoch, 0, Answered)}, nil},
		"an answer nobody asked for":       {repeatable, false, []func(*Race) []Action{end(epoch, 7, Answered)}, nil},
		"the hedge goes on alone":          {repeatable, false, []func(*Race) []Action{hedge(epoch), end(epoch, 0, Failed)}, nil},
		"one hedge at most":                {repeatable, false, []func(*Race) []Action{hedge(epoch), hedge(epoch)}, nil},
		"no hedge when it is too late":     {repeatable, false, []func(*Race) []Action{hedge(late)}, nil},
		"no hedge beyond the attempts":     {single, false, []func(*Race) []Action{hedge(epoch)}, nil},
		"no hedge without a token":         {repeatable, true, []func(*Race) []Action{hedge(epoch)}, nil},
		"no retry without a token":         {repeatable, true, []func(*Race) []Action{end(epoch, 0, Failed)}, []Action{{Kind: GiveUp, Reason: ReasonBudget}}},
		"no retry when it is too late":     {repeatable, false, []func(*Race) []Action{end(late, 0, Failed)}, []Action{{Kind: GiveUp, Reason: ReasonTooLate}}},
		"no retry beyond the attempts":     {single, false, []func(*Race) []Action{end(epoch, 0, Failed)}, []Action{{Kind: GiveUp, Reason: ReasonAttempts}}},
		"never twice what may run once":    {once, false, []func(*Race) []Action{end(epoch, 0, Failed)}, []Action{{Kind: GiveUp, Reason: ReasonNotRepeatable}}},
		"stopped: all open ones cancelled": {repeatable, false, []func(*Race) []Action{hedge(epoch), func(r *Race) []Action { return r.Stop() }}, []Action{{Kind: Cancel, Attempt: 0}, {Kind: Cancel, Attempt: 1}}},
		"stopped twice":                    {repeatable, false, []func(*Race) []Action{func(r *Race) []Action { return r.Stop() }, func(r *Race) []Action { return r.Stop() }}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(Config{})
			for tt.broke && (b.TakeRetry(epoch) || b.TakeHedge(epoch)) {
				continue
			}
			r := NewRace(tt.stage, b)
			r.Start()
			var got []Action
			for _, event := range tt.events {
				got = event(r)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// A work order that may run once is sent again only when the target vouches
// that it did not start; it is never sent beside itself.
func TestRaceOfWhatMayRunOnce(t *testing.T) {
	stage := Stage{MaxAttempts: 3, LatestStart: epoch.Add(time.Second), HedgeAfter: time.Millisecond}
	r := NewRace(stage, NewBudget(Config{}))
	require.Equal(t, []Action{{Kind: Dispatch}}, r.Start(), "no hedge is set up")
	again := r.Ended(epoch, newRand(), 0, NotRun)
	require.Len(t, again, 1)
	require.Equal(t, Dispatch, again[0].Kind)
	require.LessOrEqual(t, again[0].Delay, backoffMax)
	require.Equal(t, []Action{{Kind: GiveUp, Reason: ReasonNotRepeatable}}, r.Ended(epoch, newRand(), 1, Failed))
}

// Whatever happens in whatever order, a race ends once, delivers at most one
// answer, and leaves no attempt running.
func TestRaceEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stage := Stage{
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
			LatestStart: epoch.Add(time.Second), HedgeAfter: time.Millisecond,
		}
		r := NewRace(stage, NewBudget(Config{Reserve: 5}))
		open, sent, ends, failed := map[int]bool{}, 0, 0, false
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a.Kind {
				case Dispatch:
					require.False(t, failed && !stage.Repeatable, "sent again although it may have run")
					require.True(t, stage.Repeatable || len(open) == 0)
					open[a.Attempt] = true
					sent++
				case Cancel:
					require.True(t, open[a.Attempt])
					delete(open, a.Attempt)
				case Deliver, GiveUp:
					ends++
				}
			}
		}
		apply(r.Start())
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			if rapid.Bool().Draw(t, "hedge") {
				apply(r.HedgeDue(epoch))
				continue
			}
			attempt := rapid.IntRange(0, 4).Draw(t, "attempt")
			result := Result(rapid.IntRange(1, 3).Draw(t, "result"))
			failed = failed || open[attempt] && result == Failed
			delete(open, attempt)
			apply(r.Ended(epoch, newRand(), attempt, result))
		}
		require.LessOrEqual(t, sent, stage.MaxAttempts)
		require.LessOrEqual(t, ends, 1)
		require.Equal(t, len(open) == 0, ends == 1, "it has ended when nothing runs any more")
	})
}

func BenchmarkRace(b *testing.B) {
	budget, rng := NewBudget(Config{}), newRand()
	stage := Stage{Repeatable: true, MaxAttempts: 3, LatestStart: epoch.Add(time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		r := NewRace(stage, budget)
		r.Start()
		r.Ended(epoch, rng, 0, Answered)
	}
}

func BenchmarkBudget(b *testing.B) {
	budget, now := NewBudget(Config{}), epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Succeeded(now)
		budget.TakeRetry(now)
	}
}
