package execute

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	emulated "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// fakeRecords is a quarantine table that is shared with no other instance.
type fakeRecords struct {
	mu    sync.Mutex
	table *quarantine.Table
	// crashes counts the crashes that were recorded.
	crashes int
}

func newFakeRecords() *fakeRecords {
	return &fakeRecords{table: quarantine.New(quarantine.DefaultConfig())}
}

func (r *fakeRecords) Empty() bool { return false }

func (r *fakeRecords) Admit(_ context.Context, s quarantine.Suspects, _ time.Duration) quarantine.Verdict {
	return r.Judge(s)
}

func (r *fakeRecords) Judge(s quarantine.Suspects) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.JudgeRequest(time.Now(), s)
}

// RecordCrash records each crash as the crash of another incarnation of the target.
func (r *fakeRecords) RecordCrash(s quarantine.Suspects, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
	r.table.RecordRequestCrash(time.Now(), s, fmt.Sprint(target, r.crashes))
}

func (r *fakeRecords) RecordCompletion(s quarantine.Suspects) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordRequestCompletion(time.Now(), s)
}

// newCrashRig returns a rig whose targets break off all connections and count as crashed then.
func newCrashRig(t *testing.T) (*rig, *fakeRecords) {
	r := newRig(t, catalog.KindEncoder, catalog.ObjectiveAttainment)
	records := newFakeRecords()
	r.opts.Blocklist = records
	r.opts.NothingListens = func(context.Context, string) bool { return true }
	r.setFaults(emulated.Fault{Kind: emulated.FaultLost})
	return r, records
}

// setFaults sets the faults of all targets.
func (r *rig) setFaults(faults ...emulated.Fault) {
	for _, e := range r.targets {
		e.SetFaults(faults...)
	}
}

// Prevents a job from crashing one target after the other, by its own retries and by those of
// its caller.
func TestJobThatCrashesTargetsIsRefused(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "at most once": false} {
		t.Run(name, func(t *testing.T) {
			r, records := newCrashRig(t)
			for range 4 {
				_, err := r.do(r.job(oneStage(repeatable, false, 0), time.Second))
				require.Error(t, err)
			}
			require.Equal(t, 3, records.crashes)
			_, err := r.do(r.job(oneStage(repeatable, false, 0), time.Second))
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonCrashes, failure.Reason)
			require.Equal(t, outcome.NotRun, failure.Verdict)
			require.Positive(t, failure.RetryAfter)
			require.Equal(t, 3, records.crashes)

			other := r.job(oneStage(repeatable, false, 0), time.Second)
			other.Account = "other"
			_, err = r.do(other)
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonTarget, failure.Reason, "the same input of another account")
		})
	}
}

// fixedVerdicts are records with one state at admission and one afterwards.
type fixedVerdicts struct {
	blocklist.None
	admit, judge quarantine.State
}

func (v fixedVerdicts) Empty() bool { return false }

func (v fixedVerdicts) Admit(context.Context, quarantine.Suspects, time.Duration) quarantine.Verdict {
	return quarantine.Verdict{State: v.admit}
}

func (v fixedVerdicts) Judge(quarantine.Suspects) quarantine.Verdict {
	return quarantine.Verdict{State: v.judge}
}

// A job must not be sent if it was blocked at admission or is blocked while it waits.
func TestBlockedJobIsRefusedAtAnyTime(t *testing.T) {
	for name, c := range map[string]struct {
		fixedVerdicts
		runs int
	}{
		"at admission":                   {fixedVerdicts{admit: quarantine.Blocked}, 0},
		"while it waits":                 {fixedVerdicts{judge: quarantine.Blocked}, 0},
		"another run on trial":           {fixedVerdicts{judge: quarantine.OnTrial}, 0},
		"this run on trial":              {fixedVerdicts{admit: quarantine.OnTrial, judge: quarantine.OnTrial}, 1},
		"never":                          {fixedVerdicts{}, 1},
		"blocked again during its trial": {fixedVerdicts{admit: quarantine.OnTrial, judge: quarantine.Blocked}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindEncoder, catalog.ObjectiveAttainment)
			r.opts.Blocklist = c.fixedVerdicts
			job := r.job(oneStage(false, false, 0), time.Second)
			_, err := r.do(job)
			require.Equal(t, c.runs, r.runs(job.ID))
			if c.runs > 0 {
				require.NoError(t, err)
				return
			}
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonCrashes, failure.Reason)
		})
	}
}

// A broken connection must not count as a crash while a process listens at the target's
// address, and a run that ends well must clear the crashes before it.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	r, records := newCrashRig(t)
	r.opts.NothingListens = func(context.Context, string) bool { return false }
	for range 4 {
		_, err := r.do(r.job(oneStage(false, false, 0), time.Second))
		require.Error(t, err)
	}
	require.Zero(t, records.crashes)

	r.opts.NothingListens = func(context.Context, string) bool { return true }
	for range 2 {
		_, _ = r.do(r.job(oneStage(false, false, 0), time.Second))
	}
	r.setFaults()
	_, err := r.do(r.job(oneStage(false, false, 0), time.Second))
	require.NoError(t, err)
	require.Zero(t, records.Judge(quarantine.Suspects{Request: quarantine.DigestOf("", "p", "", []byte("in"))}).Crashes)
}

// Prevents jobs with one part of their prompts in common, no two alike, from crashing one target after
// the other.
func TestPromptPartThatCrashesTargetsIsRefused(t *testing.T) {
	r, records := newCrashRig(t)
	do := func(input string, parts ...string) *Failure {
		job := r.job(oneStage(false, false, 10), time.Second)
		job.Input = input
		for _, part := range parts {
			job.Prefix = append(job.Prefix, Part{ID: part, Tokens: 10})
		}
		_, err := r.do(job)
		var failure *Failure
		require.ErrorAs(t, err, &failure)
		return failure
	}
	for i := range 3 {
		require.Equal(t, ReasonTarget, do(fmt.Sprint("crash ", i), fmt.Sprint("rare ", i), "bad").Reason)
	}
	require.Equal(t, ReasonCrashes, do("refused", "other", "bad").Reason)
	require.Equal(t, ReasonTarget, do("another part", "rare 1").Reason)
	require.Equal(t, 4, records.crashes)
}
