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

	// closing is cancelled by Close.
	closing context.Context
	// released is cancelled by release, when orders may take effect.
	released    context.Context
	release     context.CancelFunc
	cancelCalls context.CancelFunc

	mu sync.Mutex
	// attempts holds the waiting and running attempts by attempt id.
	attempts map[string]*attempt
}

// New returns a target. It serves calls once its Handler is mounted on a server.
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
	t.released, t.release = context.WithCancel(context.Background())
	if !t.options.HoldOrders {
		t.release()
	}
	return t
}

// Handler returns a handler of the interface of package targetapi and of the
// admin paths.
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
	mux.HandleFunc("POST "+PathAdminReleaseOrders, t.serveReleaseOrders)
	return mux
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(faults ...Fault) {
	t.faults.set(faults)
}

// SetLeaving sets whether the target announces that it shuts down. It continues to
// serve calls: readers of the announcement are responsible for sending no new work.
func (t *Target) SetLeaving(leaving bool) {
	t.leaving.Store(leaving)
}

// Runs returns the number of started runs of each request id.
func (t *Target) Runs() map[string]int {
	return t.runs.snapshot().Runs
}

// RunsReport returns the report that GET /admin/runs serves.
func (t *Target) RunsReport() RunsReport {
	report := t.runs.snapshot()
	report.Inputs = t.inputRuns.snapshot().Runs
	return report
}

// Orders returns the orders that took effect, the oldest first.
func (t *Target) Orders() []targetapi.Order {
	return t.orders.list()
}

// Load returns the target's current load, without the lag of its reports.
func (t *Target) Load() (active, queued int) {
	return t.scheduler.load()
}

// Close cancels every waiting and running call. It doesn't close the server on
// which the Handler is mounted.
func (t *Target) Close() {
	t.cancelCalls()
}
