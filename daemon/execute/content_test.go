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

// records are a table without other instances.
type records struct {
	mu    sync.Mutex
	table *quarantine.Table
	// seen counts the crashes that were recorded.
	seen int
}

func newRecords() *records { return &records{table: quarantine.New(quarantine.DefaultConfig())} }

func (r *records) Empty() bool { return false }

func (r *records) Admit(_ context.Context, d quarantine.Digest, _ time.Duration) quarantine.Verdict {
	return r.Judge(d)
}

func (r *records) Judge(d quarantine.Digest) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Judge(time.Now(), d)
}

// Crashed counts each as that of another start of its target.
func (r *records) RecordCrash(d quarantine.Digest, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen++
	r.table.RecordCrash(time.Now(), d, fmt.Sprint(target, r.seen))
}

func (r *records) RecordCompletion(d quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordCompletion(time.Now(), d)
}

// crashRig is a rig whose targets break all connections off and are gone then.
func crashRig(t *testing.T) (*rig, *records) {
	r := newRig(t, catalog.KindEncoder, catalog.ObjectiveAttainment)
	known := newRecords()
	r.opts.Blocklist = known
	r.opts.NothingListens = func(context.Context, string) bool { return true }
	r.setFaults(emulated.Fault{Kind: emulated.FaultLost})
	return r, known
}

// setFaults has all targets misbehave alike.
func (r *rig) setFaults(faults ...emulated.Fault) {
	for _, e := range r.targets {
		e.SetFaults(faults...)
	}
}

// TestJobThatCrashesTargetsIsRefused guards against a job that ends one target after the
// other, by its attempts and as its caller repeats it.
func TestJobThatCrashesTargetsIsRefused(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "at most once": false} {
		t.Run(name, func(t *testing.T) {
			r, known := crashRig(t)
			for range 4 {
				_, err := r.do(r.job(oneStage(repeatable, false, 0), time.Second))
				require.Error(t, err)
			}
			require.Equal(t, 3, known.seen)
			_, err := r.do(r.job(oneStage(repeatable, false, 0), time.Second))
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonCrashes, failure.Reason)
			require.Equal(t, outcome.NotRun, failure.Verdict)
			require.Positive(t, failure.RetryAfter)
			require.Equal(t, 3, known.seen)

			other := r.job(oneStage(repeatable, false, 0), time.Second)
			other.Account = "other"
			_, err = r.do(other)
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonTarget, failure.Reason, "the same input of another account")
		})
	}
}

// verdicts are records that tell other things at the begin and later.
type verdicts struct {
	blocklist.None
	admit, judge quarantine.State
}

func (v verdicts) Empty() bool { return false }

func (v verdicts) Admit(context.Context, quarantine.Digest, time.Duration) quarantine.Verdict {
	return quarantine.Verdict{State: v.admit}
}

func (v verdicts) Judge(quarantine.Digest) quarantine.Verdict {
	return quarantine.Verdict{State: v.judge}
}

// TestJobIsRefusedWheneverItIsBlocked guards against a job that is sent though it was blocked
// at its begin or is blocked while it waits.
func TestJobIsRefusedWheneverItIsBlocked(t *testing.T) {
	for name, c := range map[string]struct {
		verdicts
		runs int
	}{
		"at its begin":     {verdicts{admit: quarantine.Blocked}, 0},
		"while it waits":   {verdicts{judge: quarantine.Blocked}, 0},
		"others on trial":  {verdicts{judge: quarantine.OnTrial}, 0},
		"itself on trial":  {verdicts{admit: quarantine.OnTrial, judge: quarantine.OnTrial}, 1},
		"never":            {verdicts{}, 1},
		"again, its trial": {verdicts{admit: quarantine.OnTrial, judge: quarantine.Blocked}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindEncoder, catalog.ObjectiveAttainment)
			r.opts.Blocklist = c.verdicts
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

// TestJobOfATargetThatLivesIsNotBlamed guards against a broken connection being taken for a
// crash, and against crashes that a good end doesn't clear.
func TestJobOfATargetThatLivesIsNotBlamed(t *testing.T) {
	r, known := crashRig(t)
	r.opts.NothingListens = func(context.Context, string) bool { return false }
	for range 4 {
		_, err := r.do(r.job(oneStage(false, false, 0), time.Second))
		require.Error(t, err)
	}
	require.Zero(t, known.seen)

	r.opts.NothingListens = func(context.Context, string) bool { return true }
	for range 2 {
		_, _ = r.do(r.job(oneStage(false, false, 0), time.Second))
	}
	r.setFaults()
	_, err := r.do(r.job(oneStage(false, false, 0), time.Second))
	require.NoError(t, err)
	require.Zero(t, known.Judge(quarantine.DigestOf("", "p", "", []byte("in"))).Crashes)
}
