package target

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Target is one emulated target. It is safe for concurrent use.
type Target struct {
	options     Options
	faults      *faultSet
	scheduler   *scheduler
	cache       *prefixCache
	events      *eventLog
	loadHistory *loadHistory
	orders      *orderState
	runs        *runCounter
	inputRuns   *runCounter
	leaving     atomic.Bool

	// closing ends when Close is called.
	closing     context.Context
	cancelCalls context.CancelFunc

	mu sync.Mutex
	// attempts are those that wait or run, by attempt id.
	attempts map[string]*attempt
}

// New returns a target that serves nothing until its Handler is mounted.
func New(options Options) *Target {
	options = options.withDefaults()
	t := &Target{
		options:     options,
		faults:      newFaultSet(options.Seed),
		events:      newEventLog(options),
		loadHistory: newLoadHistory(options.Now, options.ReportLag),
		orders:      newOrderState(options),
		runs:        newRunCounter(),
		inputRuns:   newRunCounter(),
		attempts:    make(map[string]*attempt),
	}
	t.cache = newPrefixCache(options.CacheTokens, t.events.add)
	t.scheduler = &scheduler{
		slots:      options.Slots,
		queueLimit: options.QueueLimit,
		priorities: options.Kind == catalog.KindEngine,
		onChange:   t.loadHistory.record,
	}
	t.closing, t.cancelCalls = context.WithCancel(context.Background())
	return t
}

// Handler serves the interface of package targetapi and the paths of /admin.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathRun, t.serveRun)
	mux.HandleFunc("POST "+targetapi.PathCancel, t.serveCancel)
	mux.HandleFunc("GET "+targetapi.PathLoad, t.serveLoad)
	mux.HandleFunc("GET "+targetapi.PathHealth, t.serveHealth)
	mux.HandleFunc("POST "+targetapi.PathOrders, t.serveOrder)
	mux.HandleFunc("GET "+targetapi.PathCacheEvents, t.serveCacheEvents)
	mux.HandleFunc("POST "+targetapi.PathKVExport, t.serveKVExport)
	mux.HandleFunc("POST "+targetapi.PathKVImport, t.serveKVImport)
	mux.HandleFunc("GET "+PathAdminFaults, t.serveListFaults)
	mux.HandleFunc("POST "+PathAdminFaults, t.serveSetFaults)
	mux.HandleFunc("POST "+PathAdminLeaving, t.serveSetLeaving)
	mux.HandleFunc("GET "+PathAdminRuns, t.serveRuns)
	mux.HandleFunc("GET "+PathAdminOrders, t.serveOrders)
	return mux
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(faults ...Fault) {
	t.faults.set(faults)
}

// SetLeaving makes the target announce that it shuts down. It goes on serving:
// to send it no new work is the duty of those who read the announcement.
func (t *Target) SetLeaving(leaving bool) {
	t.leaving.Store(leaving)
}

// Runs tells how often work was started for each request id.
func (t *Target) Runs() map[string]int {
	return t.runs.snapshot().Runs
}

// RunsReport tells what GET /admin/runs does.
func (t *Target) RunsReport() RunsReport {
	report := t.runs.snapshot()
	report.Inputs = t.inputRuns.snapshot().Runs
	return report
}

// Orders returns the orders that took effect, the oldest first.
func (t *Target) Orders() []targetapi.Order {
	return t.orders.list()
}

// Load returns the target's load of this moment, without the lag of its reports.
func (t *Target) Load() (active, queued int) {
	return t.scheduler.load()
}

// Close ends every call that the target still holds. It does not close the
// server on which the Handler is mounted.
func (t *Target) Close() {
	t.cancelCalls()
}
