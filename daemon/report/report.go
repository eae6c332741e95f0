// Package report writes a summary of an instance's requests to the platform, at a low,
// fixed rate. Operators can read it after the instance has ended.
package report

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// interval is the mean time between two writes of an instance.
const interval = 30 * time.Second

// limits bound the size of a report, however many accounts there are.
var limits = requests.SummaryLimits{Groups: 64, Accounts: 8}

// Reporter writes the reports of one instance.
type Reporter struct {
	store  platform.Store
	name   string
	status *requests.Table
	now    func() time.Time

	mu sync.Mutex
	// lastEnd is the end of the previous report's period.
	lastEnd time.Time
}

// New returns a reporter of the instance with the given name.
func New(store platform.Store, name string, status *requests.Table, now func() time.Time) *Reporter {
	return &Reporter{store: store, name: name, status: status, now: now, lastEnd: now()}
}

// Run writes reports until the context ends. The intervals are random, so that instances
// started together don't write together.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-timer.C:
			r.Write(ctx)
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// Write writes the sums since the last successful write. While the store is unavailable,
// they accumulate for the next report. It may be called concurrently with Run, for the last
// report.
func (r *Reporter) Write(ctx context.Context) {
	summary := r.status.Drain(limits)
	if len(summary.Rows) == 0 {
		return
	}
	from, to := r.period()
	if r.write(ctx, summary, from, to) != nil {
		r.status.Restore(summary)
		return
	}
	r.setLastEnd(to)
}

// period returns the period of a report that is written now.
func (r *Reporter) period() (from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEnd, r.now()
}

// setLastEnd sets the start of the next report's period. The last report of a planned stop
// may overtake a periodic one, so the time never goes back.
func (r *Reporter) setLastEnd(to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.After(r.lastEnd) {
		r.lastEnd = to
	}
}

func (r *Reporter) write(ctx context.Context, summary requests.Summary, from, to time.Time) error {
	spec, err := json.Marshal(platformapi.DigestEntry{
		Instance: r.name,
		From:     from.UTC(),
		To:       to.UTC(),
		Rows:     rows(summary),
	})
	if err != nil {
		return errors.Wrap(err, "report: encode")
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: r.name}, Spec: spec}
	_, err = r.store.Update(ctx, platformapi.KindDigests, object)
	if errors.Is(err, platform.ErrNotFound) {
		_, err = r.store.Create(ctx, platformapi.KindDigests, object)
	}
	return errors.Wrap(err, "write report")
}

func rows(summary requests.Summary) []platformapi.DigestRow {
	out := make([]platformapi.DigestRow, 0, len(summary.Rows))
	for _, row := range summary.Rows {
		out = append(out, platformapi.DigestRow{
			Pipeline:      row.Pipeline,
			Stage:         row.Stage,
			Tier:          row.Tier,
			Account:       row.Account,
			Count:         row.Count,
			Attained:      row.Attained,
			ElapsedMS:     row.Elapsed.Milliseconds(),
			WorkMS:        row.Work.Milliseconds(),
			WastedMS:      row.Wasted.Milliseconds(),
			Tokens:        row.Tokens,
			PrefillTokens: row.PrefillTokens,
		})
	}
	return out
}
