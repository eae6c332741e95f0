package retry

import (
	"math/rand/v2"
	"time"
)

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// Answered means a whole answer.
	Answered Result = iota + 1
	// NotRun means that the target is known not to have started the stage.
	NotRun
	// Failed means that the stage may have run.
	Failed
)

// ActionKind says what the caller has to do.
type ActionKind uint8

// The kinds of action.
const (
	// Dispatch sends the attempt after Delay.
	Dispatch ActionKind = iota + 1
	// HedgeAfter asks for a call of HedgeDue after Delay.
	HedgeAfter
	// Cancel stops the attempt, whose answer is no longer wanted.
	Cancel
	// Deliver hands on the answer of the attempt.
	Deliver
	// GiveUp ends the stage without an answer.
	GiveUp
)

// Action is one thing the caller has to do.
type Action struct {
	Kind    ActionKind
	Attempt int
	Delay   time.Duration
	// Reason says why a stage was given up.
	Reason Reason
}

// Reason says why a stage was given up.
type Reason string

// The reasons to give up.
const (
	ReasonNotRepeatable Reason = "not_repeatable"
	ReasonAttempts      Reason = "attempts_used_up"
	ReasonBudget        Reason = "retry_budget_used_up"
	ReasonTooLate       Reason = "too_late"
)

// Stage is what a Race has to know of its stage.
type Stage struct {
	// Repeatable stages may run more than once.
	Repeatable bool
	// MaxAttempts bounds the attempts, the first included.
	MaxAttempts int
	// LatestStart is the last moment at which an attempt is of use.
	LatestStart time.Time
	// HedgeAfter is how long the first attempt runs before a second one is
	// sent beside it: a high quantile of the learned time. 0 means no hedge.
	HedgeAfter time.Duration
}

// Back-off between attempts.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// Race runs the attempts of one stage: the first whole answer wins and the
// others are cancelled. The caller serialises the calls.
type Race struct {
	stage  Stage
	budget *Budget
	// open holds the attempts that have not ended.
	open map[int]bool
	sent int
	done bool
	// mayHaveRun is set once an attempt ended without a word on whether it ran.
	mayHaveRun bool
}

// NewRace makes the race of one stage; budget is that of the stage's pool.
func NewRace(stage Stage, budget *Budget) *Race {
	stage.MaxAttempts = max(stage.MaxAttempts, 1)
	return &Race{stage: stage, budget: budget, open: make(map[int]bool)}
}

// Start sends the first attempt.
func (r *Race) Start() []Action {
	out := []Action{r.send(0)}
	if r.stage.Repeatable && r.stage.HedgeAfter > 0 && r.stage.MaxAttempts > 1 {
		out = append(out, Action{Kind: HedgeAfter, Delay: r.stage.HedgeAfter})
	}
	return out
}

// HedgeDue sends a second attempt beside a slow first one.
func (r *Race) HedgeDue(now time.Time) []Action {
	if r.done || len(r.open) != 1 || r.sent >= r.stage.MaxAttempts {
		return nil
	}
	if !r.stage.Repeatable {
		return nil
	}
	if now.After(r.stage.LatestStart) || !r.budget.TakeHedge(now) {
		return nil
	}
	return []Action{r.send(0)}
}

// Ended tells how an attempt ended. Ends of attempts that are not open, late or
// doubled answers, change nothing.
func (r *Race) Ended(now time.Time, rng *rand.Rand, attempt int, result Result) []Action {
	if r.done || !r.open[attempt] {
		return nil
	}
	delete(r.open, attempt)
	if result == Answered {
		r.budget.Succeeded(now)
		return append(r.finish(), Action{Kind: Deliver, Attempt: attempt})
	}
	r.mayHaveRun = r.mayHaveRun || result == Failed
	if len(r.open) > 0 {
		return nil
	}
	if reason, ok := r.mayRetry(now); !ok {
		return append(r.finish(), Action{Kind: GiveUp, Reason: reason})
	}
	return []Action{r.send(backoff(rng, r.sent))}
}

// Stop cancels every open attempt: the caller gave up or the time is over.
func (r *Race) Stop() []Action {
	if r.done {
		return nil
	}
	return r.finish()
}

// mayRetry decides on another attempt. A stage that may not be repeated is sent
// again only when every attempt so far is known not to have started, which does
// not repeat it.
func (r *Race) mayRetry(now time.Time) (Reason, bool) {
	switch {
	case !r.stage.Repeatable && r.mayHaveRun:
		return ReasonNotRepeatable, false
	case r.sent >= r.stage.MaxAttempts:
		return ReasonAttempts, false
	case now.After(r.stage.LatestStart):
		return ReasonTooLate, false
	case !r.budget.TakeRetry(now):
		return ReasonBudget, false
	}
	return "", true
}

func (r *Race) send(delay time.Duration) Action {
	attempt := r.sent
	r.sent++
	r.open[attempt] = true
	return Action{Kind: Dispatch, Attempt: attempt, Delay: delay}
}

func (r *Race) finish() []Action {
	r.done = true
	var out []Action
	for attempt := range r.sent {
		if r.open[attempt] {
			out = append(out, Action{Kind: Cancel, Attempt: attempt})
		}
	}
	clear(r.open)
	return out
}

// backoff is exponential with full jitter, so that stages that failed together
// do not come back together.
func backoff(rng *rand.Rand, sent int) time.Duration {
	ceiling := min(backoffBase<<min(sent, 10), backoffMax)
	return time.Duration(rng.Int64N(int64(ceiling) + 1))
}
