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

// If everything fails and every stage is sent up to three times, the targets get
// three times the load when they can handle it least. For any success rate, the
// extra attempts stay within their share of the first attempts.
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
				if rng.Float64() < slow && b.SpendHedge(now) {
					extra++
				}
				failed := rng.Float64() < failures
				for attempt := 1; failed && attempt < 3 && b.SpendRetry(now); attempt++ {
					extra++
					failed = rng.Float64() < failures
				}
				if !failed {
					b.AddSuccess(now)
				}
			}
		}
		require.LessOrEqual(t, float64(extra), (DefaultRetryRatio+DefaultHedgeRatio)*float64(first)+2*DefaultReserve)
	})
}

// The tokens of a long period of successes, all spent in a brown-out, would
// cause a retry storm.
func TestBudgetInBrownOut(t *testing.T) {
	for _, rate := range []int{1, 10, 100, 1000} {
		b := NewBudget(Config{})
		now, every := epoch, time.Second/time.Duration(rate)
		for range 600 * rate {
			now = now.Add(every)
			b.AddSuccess(now)
		}
		first, extra := 0, 0
		for range 30 * rate {
			now = now.Add(every)
			first++
			if b.SpendHedge(now) {
				extra++
			}
			for attempt := 1; attempt < 3 && b.SpendRetry(now); attempt++ {
				extra++
			}
		}
		amplification := float64(first+extra) / float64(first)
		t.Logf("%d requests a second, all fail for 30 s after ten good minutes: amplification %.3f", rate, amplification)
		require.LessOrEqual(t, amplification, 1.2)
	}
}

// A work order that is retried after it may have run sends two crews; one that is
// not retried after a mere refusal sends none.
func TestAttempts(t *testing.T) {
	latest := epoch.Add(time.Second)
	repeatable := Stage{Repeatable: true, MaxAttempts: 3}
	once := Stage{MaxAttempts: 3}
	resumable := Stage{Repeatable: true, Streaming: true, Resumable: true, MaxAttempts: 3}
	plain := Stage{Repeatable: true, Streaming: true, MaxAttempts: 3}
	single := Stage{Repeatable: true, MaxAttempts: 1}
	failed, refused := Failure{Kind: Failed}, Failure{Kind: Refused}
	alone, preempted := Failure{Kind: NoConnection}, Failure{Kind: Preempted, TokensDelivered: true}
	broken := Failure{Kind: Failed, TokensDelivered: true}
	paid := Decision{Retry: true, UsesBudget: true}
	tests := map[string]struct {
		stage Stage
		ends  []Failure
		want  Decision // without its delay
	}{
		"retry":                                {repeatable, []Failure{failed}, paid},
		"retry after a refusal":                {once, []Failure{refused}, paid},
		"retry without a connection is free":   {repeatable, []Failure{alone}, Decision{Retry: true}},
		"once, no connection":                  {once, []Failure{alone, alone}, Decision{Retry: true}},
		"not repeatable, failed":               {once, []Failure{failed}, Decision{Reason: ReasonNotRepeatable}},
		"once, refused and then failed":        {once, []Failure{refused, failed}, Decision{Reason: ReasonNotRepeatable}},
		"once, a refusal does not undo a run":  {once, []Failure{failed, refused}, Decision{Reason: ReasonNotRepeatable}},
		"attempts used up":                     {repeatable, []Failure{failed, failed, failed}, Decision{Reason: ReasonAttemptsUsedUp}},
		"attempts used up by refusals":         {once, []Failure{refused, refused, refused}, Decision{Reason: ReasonAttemptsUsedUp}},
		"attempts used up without connections": {once, []Failure{alone, alone, alone}, Decision{Reason: ReasonAttemptsUsedUp}},
		"a single attempt":                     {single, []Failure{failed}, Decision{Reason: ReasonAttemptsUsedUp}},
		"at least one attempt":                 {Stage{Repeatable: true}, []Failure{failed}, Decision{Reason: ReasonAttemptsUsedUp}},
		"a broken stream resumes":              {resumable, []Failure{broken}, paid},
		"a broken stream never restarts":       {plain, []Failure{broken}, Decision{Reason: ReasonTokensDelivered}},
		"a refused stream never restarts":      {plain, []Failure{{Kind: Refused, TokensDelivered: true}}, Decision{Reason: ReasonTokensDelivered}},
		"a stream without tokens yet":          {plain, []Failure{failed}, paid},
		"preempted":                            {resumable, []Failure{preempted}, Decision{Retry: true}},
		"a preemption is no attempt":           {resumable, []Failure{preempted, failed, preempted, failed}, paid},
		"once, preempted by mistake":           {once, []Failure{{Kind: Preempted}}, Decision{Reason: ReasonNotRepeatable}},
		"preempted, then used up":              {resumable, []Failure{preempted, failed, failed, failed}, Decision{Reason: ReasonAttemptsUsedUp}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, got := NewAttempts(tt.stage), Decision{}
			for _, end := range tt.ends {
				a.AddAttempt()
				got = a.AfterFailure(epoch, latest, newRand(), end)
			}
			got.Delay = 0
			require.Equal(t, tt.want, got)
		})
	}
}

// All targets of a pool are briefly full. Without a delay, a request would use up
// its attempts at once; with a fixed delay, requests that were refused together
// would be retried together; with too long a delay they would miss their
// deadline.
func TestBackoffAfterRefusal(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		result           FailureKind
		refusals         int
		left, retryAfter time.Duration
		ceiling          time.Duration
	}{
		"first refusal":            {Refused, 1, second, 0, 10 * time.Millisecond},
		"doubles":                  {Refused, 3, second, 0, 40 * time.Millisecond},
		"is bounded":               {Refused, 90, second, 0, backoffMax},
		"the target asks for less": {Refused, 3, second, 7 * time.Millisecond, 7 * time.Millisecond},
		"the target asks for more": {Refused, 1, second, time.Hour, 10 * time.Millisecond},
		"half of the time left":    {Refused, 90, 30 * time.Millisecond, 0, 15 * time.Millisecond},
		"no time is left":          {Refused, 3, 0, 0, 0},
		"past the latest start":    {Refused, 3, -second, second, 0},
		"no delay after a failure": {Failed, 3, second, 0, 0},
		"nor without a connection": {NoConnection, 3, second, 0, 0},
		"nor after a preemption":   {Preempted, 3, second, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rng, longest, differ := newRand(), time.Duration(0), map[time.Duration]bool{}
			for range 200 {
				a := NewAttempts(Stage{Repeatable: true, MaxAttempts: 100})
				var got Decision
				for range tt.refusals {
					a.AddAttempt()
					got = a.AfterFailure(epoch, epoch.Add(tt.left), rng, Failure{Kind: tt.result, RetryAfter: tt.retryAfter})
				}
				require.True(t, got.Retry)
				require.GreaterOrEqual(t, got.Delay, time.Duration(0))
				longest, differ[got.Delay] = max(longest, got.Delay), true
			}
			require.LessOrEqual(t, longest, tt.ceiling)
			require.GreaterOrEqual(t, longest, tt.ceiling*9/10, "the whole range is used")
			require.Equal(t, tt.ceiling > 0, len(differ) > 100, "jitter")
		})
	}
}

// A work order that may run only once is retried only if the target reports that
// it did not start, and is never hedged.
func TestNonRepeatableStageIsNotHedged(t *testing.T) {
	a, latest := NewAttempts(Stage{MaxAttempts: 3}), epoch.Add(time.Second)
	a.AddAttempt()
	require.False(t, a.MayHedge())
	again := a.AfterFailure(epoch, latest, newRand(), Failure{Kind: Refused})
	require.True(t, again.Retry && again.UsesBudget)
	require.LessOrEqual(t, again.Delay, backoffMax)
	a.AddAttempt()
	require.False(t, a.MayHedge())
	require.Equal(t, Decision{Reason: ReasonNotRepeatable}, a.AfterFailure(epoch, latest, newRand(), Failure{Kind: Failed}))
}

// For any sequence of events: no more attempts than allowed, no second run of a
// stage that may run once, no restart after delivered tokens, no attempt without
// a token that would give a pool more work, no delay beyond the time left.
func TestAttemptsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stage := Stage{
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			Streaming:   rapid.Bool().Draw(t, "streams"),
			Resumable:   rapid.Bool().Draw(t, "resumable"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
		}
		a, rng := NewAttempts(stage), newRand()
		sent, mayHaveRun := 0, false
		for again := true; again; {
			a.AddAttempt()
			sent++
			if a.MayHedge() && rapid.Bool().Draw(t, "hedge") {
				require.True(t, stage.Repeatable && !stage.Streaming)
				a.AddAttempt()
				sent++
			}
			require.LessOrEqual(t, sent, stage.MaxAttempts)
			end := Failure{
				Kind:            FailureKind(rapid.IntRange(1, 3).Draw(t, "result")),
				RetryAfter:      time.Duration(rapid.IntRange(0, 300).Draw(t, "retry after ms")) * time.Millisecond,
				TokensDelivered: stage.Streaming && rapid.Bool().Draw(t, "delivered"),
			}
			left := time.Duration(rapid.IntRange(-100, 500).Draw(t, "room ms")) * time.Millisecond
			mayHaveRun = mayHaveRun || end.Kind == Failed
			got := a.AfterFailure(epoch, epoch.Add(left), rng, end)
			again = got.Retry
			require.Equal(t, again, got.Reason == "")
			require.Equal(t, again && end.Kind != NoConnection, got.UsesBudget)
			require.LessOrEqual(t, got.Delay, max(left, 0))
			if again {
				require.True(t, stage.Repeatable || !mayHaveRun, "retried although it may have run")
				require.True(t, stage.Resumable || !end.TokensDelivered, "restarted after delivered tokens")
			}
		}
	})
}

// A hedge of each request would double the load; one that starts too late would
// not meet the deadline.
func TestHedge(t *testing.T) {
	const ms = time.Millisecond
	require.Equal(t, 50*ms, HedgeDelay(50*ms, time.Second, true), "the slowest of twenty")
	require.Equal(t, 200*ms, HedgeDelay(50*ms, time.Second, false), "only when it appears stuck")
	require.Equal(t, 40*ms, HedgeDelay(50*ms, 80*ms, true), "half is left for the hedge")
	require.Zero(t, HedgeDelay(50*ms, -ms, true))

	next, again := NextHedgeDelay(50*ms, 50*ms, time.Second)
	require.True(t, again)
	require.Equal(t, 100*ms, next, "ever less often")
	next, _ = NextHedgeDelay(50*ms, 50*ms, 120*ms)
	require.Equal(t, 60*ms, next, "half is left for the hedge")
	_, again = NextHedgeDelay(50*ms, 50*ms, 80*ms)
	require.False(t, again, "too late for a second attempt")
	next, _ = NextHedgeDelay(0, 0, time.Second)
	require.Positive(t, next)

	require.False(t, Stuck(50*ms, 199*ms))
	require.True(t, Stuck(50*ms, 200*ms))
	for stage, want := range map[Stage]bool{
		{Repeatable: true, MaxAttempts: 2}: true,
		{Repeatable: true, MaxAttempts: 1}: false,
		{MaxAttempts: 2}:                   false,
		{Repeatable: true, Streaming: true, Resumable: true, MaxAttempts: 2}: false,
	} {
		a := NewAttempts(stage)
		a.AddAttempt()
		require.Equal(t, want, a.MayHedge(), "%+v", stage)
		a.AddAttempt()
		require.False(t, a.MayHedge(), "one hedge at most of two attempts")
	}
}

func BenchmarkAttempts(b *testing.B) {
	rng, latest := newRand(), epoch.Add(time.Second)
	stage := Stage{Repeatable: true, MaxAttempts: 3}
	b.ReportAllocs()
	for b.Loop() {
		a := NewAttempts(stage)
		a.AddAttempt()
		a.AfterFailure(epoch, latest, rng, Failure{Kind: Refused})
	}
}

func BenchmarkBudget(b *testing.B) {
	budget, now := NewBudget(Config{}), epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.AddSuccess(now)
		budget.SpendRetry(now)
	}
}
