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

// serve completes one request within its deadline.
func (r *rig) serve(id string) {
	ref := r.status.Begin(requests.Info{ID: id, Pipeline: "dossier", Tier: "gold", Account: "wards", Deadline: time.Second, StartedAt: epoch})
	r.status.Finish(ref, requests.End{State: requests.StateAnswered, At: epoch.Add(time.Millisecond)})
}

// after advances the clock and writes a report.
func (r *rig) after(d time.Duration) {
	r.now = r.now.Add(d)
	r.Write(r.t.Context())
}

// read returns the report in the store and the number of requests in it.
func (r *rig) read() (entry platformapi.DigestEntry, count uint64) {
	object, err := r.store.Local("operator").Get(r.t.Context(), platformapi.KindDigests, "one")
	require.NoError(r.t, err)
	require.NoError(r.t, json.Unmarshal(object.Spec, &entry))
	for _, row := range entry.Rows {
		count += row.Count
	}
	return entry, count
}

// The store refuses a report, or stores it and the response is lost. The next report has
// the requests of both periods, each counted once, and a period that covers them.
func TestReportsAccumulateDuringOutage(t *testing.T) {
	faults := map[string]emulator.Faults{
		"down":               {Down: emulator.FailRefuse},
		"responses are lost": {LoseWrites: 2},
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

// Each report's period starts at the end of the previous one. Nothing is written for a
// period without requests.
func TestReportPeriodsAreContiguous(t *testing.T) {
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

// A planned stop writes the last report while a periodic write is in progress. Both read
// and set the end of the previous report; with -race the test detects a missing lock.
func TestLastReportConcurrentWithPeriodicReport(t *testing.T) {
	r := newRig(t)
	var wg sync.WaitGroup
	for _, writer := range []string{"periodic", "last"} {
		wg.Go(func() {
			for i := range 50 {
				r.serve(writer + string(rune('a'+i)))
				r.Write(t.Context())
			}
		})
	}
	wg.Wait()
}
