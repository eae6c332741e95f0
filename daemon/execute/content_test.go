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
type fakeRecords struct {
	mu    sync.Mutex
	table *quarantine.Table
	// seen counts the crashes that were recorded.
	crashes int
}

func newFakeRecords() *fakeRecords {
	return &fakeRecords{table: quarantine.New(quarantine.DefaultConfig())}
}

func (r *fakeRecords) Empty() bool { return false }

func (r *fakeRecords) Admit(_ context.Context, d quarantine.Digest, _ time.Duration) quarantine.Verdict {
	return r.Judge(d)
}

func (r *fakeRecords) Judge(d quarantine.Digest) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Judge(time.Now(), d)
}

// Crashed counts each as that of another start of its target.
func (r *fakeRecords) Crashed(d quarantine.Digest, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
	r.table.RecordCrash(time.Now(), d, fmt.Sprint(target, r.crashes))
}

func (r *fakeRecords) EndedWell(d quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordCompletion(time.Now(), d)
}

// crashRig is a rig whose targets break all connections off and are gone then.
func newCrashRig(t *testing.T) (*rig, *fakeRecords) {
	r := newRig(t, catalog.KindEncoder, catalog.ObjectiveAttainment)
	known := newFakeRecords()
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
			r, known := newCrashRig(t)
			for range 4 {
				_, err := r.do(r.job(oneStage(repeatable, false, 0), time.Second))
				require.Error(t, err)
			}
			require.Equal(t, 3, known.crashes)
			_, err := r.do(r.job(oneStage(repeatable, false, 0), time.Second))
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonCrashes, failure.Reason)
			require.Equal(t, outcome.NotRun, failure.Verdict)
			require.Positive(t, failure.RetryAfter)
			require.Equal(t, 3, known.crashes)

			other := r.job(oneStage(repeatable, false, 0), time.Second)
			other.Account = "other"
			_, err = r.do(other)
			require.ErrorAs(t, err, &failure)
			require.Equal(t, ReasonTarget, failure.Reason, "the same input of another account")
		})
	}
}

// verdicts are records that tell other things at the begin and later.
type fixedVerdicts struct {
	blocklist.None
	admit, judge quarantine.State
}

func (v fixedVerdicts) Empty() bool { return false }

func (v fixedVerdicts) Admit(context.Context, quarantine.Digest, time.Duration) quarantine.Verdict {
	return quarantine.Verdict{State: v.admit}
}

func (v fixedVerdicts) Judge(quarantine.Digest) quarantine.Verdict {
	return quarantine.Verdict{State: v.judge}
}

// TestJobIsRefusedWheneverItIsBlocked guards against a job that is sent though it was blocked
// at its begin or is blocked while it waits.
func TestBlockedJobIsRefusedAtAnyTime(t *testing.T) {
	for name, c := range map[string]struct {
		fixedVerdicts
		runs int
	}{
		"at its begin":     {fixedVerdicts{admit: quarantine.Blocked}, 0},
		"while it waits":   {fixedVerdicts{judge: quarantine.Blocked}, 0},
		"others on trial":  {fixedVerdicts{judge: quarantine.OnTrial}, 0},
		"itself on trial":  {fixedVerdicts{admit: quarantine.OnTrial, judge: quarantine.OnTrial}, 1},
		"never":            {fixedVerdicts{}, 1},
		"again, its trial": {fixedVerdicts{admit: quarantine.OnTrial, judge: quarantine.Blocked}, 0},
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

// TestJobOfATargetThatLivesIsNotBlamed guards against a broken connection being taken for a
// crash, and against crashes that a good end doesn't clear.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	r, known := newCrashRig(t)
	r.opts.NothingListens = func(context.Context, string) bool { return false }
	for range 4 {
		_, err := r.do(r.job(oneStage(false, false, 0), time.Second))
		require.Error(t, err)
	}
	require.Zero(t, known.crashes)

	r.opts.NothingListens = func(context.Context, string) bool { return true }
	for range 2 {
		_, _ = r.do(r.job(oneStage(false, false, 0), time.Second))
	}
	r.setFaults()
	_, err := r.do(r.job(oneStage(false, false, 0), time.Second))
	require.NoError(t, err)
	require.Zero(t, known.Judge(quarantine.DigestOf("", "p", "", []byte("in"))).Crashes)
}
