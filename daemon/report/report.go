// Package report writes to the platform how an instance's requests fared, at a
// low, fixed rate: that is what operators read after the instance is gone.
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

// interval is the time between two writes of an instance.
const interval = 30 * time.Second

// Bounds of a report, so that its size is fixed however many accounts there are.
var limits = requests.SummaryLimits{Groups: 64, Accounts: 8}

// Reporter is the driver.
type Reporter struct {
	store  platform.Store
	name   string
	status *requests.Table
	now    func() time.Time

	mu sync.Mutex
	// last is the end of the report before.
	lastEnd time.Time
}

// New makes a reporter of the instance with the given name.
func New(store platform.Store, name string, status *requests.Table, now func() time.Time) *Reporter {
	return &Reporter{store: store, name: name, status: status, now: now, lastEnd: now()}
}

// Run writes until the context ends, at random times so that instances started
// together don't write together.
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

// Write writes the sums since the last write. While the store is away they add
// up for the next one. It may be called beside Run, for the last report.
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

// span returns the time that a report covers which is written now.
func (r *Reporter) period() (from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEnd, r.now()
}

// written says where the next report begins. The last report of a planned stop
// may overtake the one that was due, so the time never goes back.
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
