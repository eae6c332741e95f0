package report

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

var epoch = time.Unix(1_000_000, 0).UTC()

// rig is a reporter whose clock the test sets.
type rig struct {
	t      *testing.T
	store  *emulator.Store
	status *requests.Table
	now    time.Time
	*Reporter
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t:      t,
		store:  emulator.New(emulator.Options{WritesPerSecond: emulator.Unlimited}),
		status: requests.New(requests.Options{MaxRequests: 1024, Retention: time.Minute}),
		now:    epoch,
	}
	r.Reporter = New(r.store.Local("one"), "one", r.status, func() time.Time { return r.now })
	return r
}

// serve ends one request in time.
func (r *rig) serve(id string) {
	ref := r.status.Begin(requests.Info{ID: id, Pipeline: "dossier", Tier: "gold", Account: "wards", Deadline: time.Second, StartedAt: epoch})
	r.status.Finish(ref, requests.End{State: requests.StateAnswered, At: epoch.Add(time.Millisecond)})
}

// after passes time and writes a report.
func (r *rig) after(d time.Duration) {
	r.now = r.now.Add(d)
	r.Write(r.t.Context())
}

// read returns the report that an operator finds and the requests in it.
func (r *rig) read() (entry platformapi.DigestEntry, count uint64) {
	object, err := r.store.Local("operator").Get(r.t.Context(), platformapi.KindDigests, "one")
	require.NoError(r.t, err)
	require.NoError(r.t, json.Unmarshal(object.Spec, &entry))
	for _, row := range entry.Rows {
		count += row.Count
	}
	return entry, count
}

// The store refuses a report, or takes it and the answer is lost. An operator
// who reads the next one finds the requests of both times, each counted once,
// and a span of time that covers them.
func TestReportsAddUpWhileTheStoreIsAway(t *testing.T) {
	faults := map[string]emulator.Faults{
		"down":             {Down: emulator.FailRefuse},
		"answers are lost": {LoseWrites: 2},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.serve("a")
			r.store.SetFaults(fault)
			r.after(time.Minute)
			r.store.SetFaults(emulator.Faults{})
			r.serve("b")
			r.after(time.Minute)
			entry, count := r.read()
			require.EqualValues(t, 2, count)
			require.Equal(t, [2]time.Time{epoch, epoch.Add(2 * time.Minute)}, [2]time.Time{entry.From, entry.To})
		})
	}
}

// Each report begins where the one before ended; a time without requests costs
// the store no write.
func TestReportsFollowOneAnother(t *testing.T) {
	r := newRig(t)
	r.serve("a")
	r.after(time.Minute)
	writes := r.store.Calls().Writes
	r.after(time.Minute)
	require.Equal(t, writes, r.store.Calls().Writes)
	r.serve("b")
	r.after(time.Minute)
	entry, count := r.read()
	require.EqualValues(t, 1, count)
	require.Equal(t, [2]time.Time{epoch.Add(time.Minute), epoch.Add(3 * time.Minute)}, [2]time.Time{entry.From, entry.To})
	require.Equal(t, "one", entry.Instance)
	row := platformapi.DigestRow{Pipeline: "dossier", Tier: "gold", Account: "wards", Count: 1, Attained: 1, ElapsedMS: 1}
	require.Contains(t, entry.Rows, row)
}

// A planned stop writes the last report while the one that was due is under way:
// both read and set the end of the report before, which -race shows when they
// share it without a lock.
func TestLastReportBesideTheOneThatIsDue(t *testing.T) {
	r := newRig(t)
	var wg sync.WaitGroup
	for _, writer := range []string{"due", "last"} {
		wg.Go(func() {
			for i := range 50 {
				r.serve(writer + string(rune('a'+i)))
				r.Write(t.Context())
			}
		})
	}
	wg.Wait()
}
