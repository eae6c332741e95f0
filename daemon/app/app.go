// Package app assembles an instance from its components and runs them as one group.
// It contains wiring only and makes no decisions.
package app

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/budget"
	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/accounts"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/claims"
	"github.com/ivyhollow/ivyhollow/daemon/cluster"
	"github.com/ivyhollow/ivyhollow/daemon/confsync"
	"github.com/ivyhollow/ivyhollow/daemon/discovery"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/load"
	"github.com/ivyhollow/ivyhollow/daemon/orders"
	"github.com/ivyhollow/ivyhollow/daemon/poll"
	"github.com/ivyhollow/ivyhollow/daemon/register"
	"github.com/ivyhollow/ivyhollow/daemon/report"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/serve"
	"github.com/ivyhollow/ivyhollow/daemon/tidy"
	"github.com/ivyhollow/ivyhollow/protocol/requestid"
	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
	"github.com/ivyhollow/ivyhollow/transport/platform"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// watchersKey is the key whose owners watch the store.
const watchersKey = "configuration-watchers"

// sweeperKey is the key whose first owner removes the claims past their retention.
const sweeperKey = "claims-sweeper"

// callerWriteTimeout limits the wait for a caller that doesn't read its stream.
const callerWriteTimeout = 10 * time.Second

// maxEventGap is the maximum time without a byte on a stream. Engines send a token, or
// else a comment, every hundred milliseconds. A longer silence means that a network
// element between the two ends has dropped the connection's state.
const maxEventGap = 2 * time.Second

// retryReserve is the number of extra attempts that a pool has before it has earned any.
// An instance with few requests earns slowly: with a reserve of two, and one of two
// engines broken, the sixth stream that was sent to the broken engine failed.
const retryReserve = 10

// App is one instance.
type App struct {
	settings   settings.Settings
	self       membership.Member
	telemetry  *telemetry.Telemetry
	store      platform.Store
	callBudget *platform.Budget
	targets    *target.Client

	cluster        *cluster.Cluster
	sync           *confsync.Sync
	router         *routing.Table
	marking        discovery.MarkingTable
	gates          *gate.Group
	retryBudgets   *retrybudget.Budgets
	accountBudgets *accounts.Budgets
	budgetLedger   *budget.Ledger
	claims         *claims.Service
	status         *requests.Table
	server         *serve.Server
	registrar      *register.Registrar
	exchange       *load.Exchange
	discovery      *discovery.Discovery
	poller         *poll.Poller
	orders         *orders.Group
	reporter       *report.Reporter
	tidier         *tidy.Tidier
	// blocklist blocks the requests that crash their targets.
	blocklist *blocklist.Blocklist

	callers  net.Listener
	admin    net.Listener
	draining atomic.Bool
	// listedCount is the number of instances in the platform's last list.
	listedCount atomic.Int64
}

// New assembles an instance and opens its ports. If store is nil, the instance uses the
// platform named in the settings.
func New(s settings.Settings, t *telemetry.Telemetry, store platform.Store) (*App, error) {
	a := &App{settings: s, telemetry: t, store: store, callBudget: newCallBudget(s)}
	if store == nil {
		a.store = newStore(s, a.callBudget)
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.self = membership.Member{
		Name:        s.Instance.Name,
		CallerURL:   "http://" + a.callers.Addr().String(),
		DataCentre:  s.Instance.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	a.buildLocalParts()
	if err := a.buildCluster(); err != nil {
		return nil, err
	}
	a.buildClaims()
	a.buildOrders()
	a.buildServer()
	a.registerHandlers()
	return a, nil
}

func newStore(s settings.Settings, calls *platform.Budget) platform.Store {
	return platform.New(platform.Options{
		BaseURL:  s.Platform.URL,
		Instance: s.Instance.Name,
		Timeout:  s.Platform.Timeout,
		Budget:   calls,
	})
}

func newCallBudget(s settings.Settings) *platform.Budget {
	calls := s.Platform.CallsPerSecond
	return platform.NewBudget(platform.BudgetOptions{
		ReadsPerSecond:  calls,
		WritesPerSecond: calls * writeRateShare,
	})
}

// writeRateShare is the share of the call budget for writes. The platform accepts far
// fewer writes than reads.
const writeRateShare = 0.4

func (a *App) listen() error {
	var err error
	a.callers, err = net.Listen("tcp", a.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	a.admin, err = net.Listen("tcp", a.settings.Listen.Admin)
	return errors.Wrap(err, "listen for admin")
}

// buildLocalParts creates the components that don't depend on the cluster.
func (a *App) buildLocalParts() {
	s := a.settings
	a.router = routing.New(routing.Config{
		Instance:        s.Instance.Name,
		LocalDataCentre: s.Instance.DataCentre,
		SubsetSize:      s.Routing.Subset,
	})
	a.gates = gate.NewGroup(gate.GroupConfig{Tiers: tiers.Config{Preempt: true}}, time.Now)
	a.budgetLedger = budget.NewLedger(time.Now(), budget.Config{Self: s.Instance.Name})
	a.retryBudgets = retrybudget.New(retry.Config{Reserve: retryReserve})
	a.status = requests.New(requests.Options{
		MaxRequests: s.Status.RingSize,
		Retention:   s.Status.Retention,
	})
	a.targets = target.New(target.Options{BodyIdleTimeout: maxEventGap, Tracer: a.telemetry.Tracer})
	a.registrar = register.New(a.store, func() membership.Member { return a.self })
}

func (a *App) buildCluster() error {
	s := a.settings
	var files *peer.TLSFiles
	if s.Peers.TLS() {
		files = &peer.TLSFiles{Cert: s.Peers.TLSCert, Key: s.Peers.TLSKey, CA: s.Peers.TLSCA}
	}
	var err error
	a.cluster, err = cluster.New(cluster.Options{
		Transport: peer.Options{
			Cluster: s.Instance.Cluster,
			Self:    a.self,
			Listen:  s.Listen.Peers,
			TLS:     files,
			Scope:   a.telemetry.Scope,
		},
		Membership:    membership.DefaultConfig(),
		Gossip:        load.GossipConfig(),
		Seeds:         s.Peers.Seeds,
		ListInstances: a.listInstances,
		OnRecord:      func(r spread.Record) { a.sync.Receive([]spread.Record{r}) },
	})
	if err != nil {
		return err
	}
	a.self = a.cluster.Self()
	a.discovery = discovery.New(a.router, a.gates, time.Now)
	a.marking = discovery.MarkingTable{Table: a.router, MarkLeaving: func(incarnation string) { a.sync.MarkLeaving(incarnation) }}
	a.sync = confsync.New(confsync.Options{
		Store:       a.store,
		Publisher:   peers{a.cluster},
		Peers:       peers{a.cluster},
		WatcherRank: a.watcherRank,
		OnSnapshot:  a.discovery.SetSnapshot,
		OnTargets:   a.discovery.SetTargets,
		OnLeaving:   func(incarnation string) { a.router.Leaving(time.Now(), incarnation) },
		Scope:       a.telemetry.Scope,
	})
	a.accountBudgets = accounts.New(a.budgetLedger, peers{a.cluster}, a.sync.Snapshot, time.Now)
	a.exchange = load.New(s.Instance.Name, a.cluster, a.router, a.gates, a.liveCount)
	a.poller = poll.New(a.targets, a.marking, a.engines, a.discovery.SetLoaded)
	a.reporter = report.New(a.store, s.Instance.Name, a.status, time.Now)
	a.tidier = tidy.New(a.store, a.isFirstWatcher, a.isLive, time.Now)
	return nil
}

// engines returns the engines in this instance's routing table.
func (a *App) engines() []poll.Engine {
	kept := make(map[string]bool)
	for _, t := range a.router.Stats(time.Now()).Targets {
		kept[t.Incarnation] = true
	}
	entries := a.discovery.Engines(func(incarnation string) bool { return kept[incarnation] })
	engines := make([]poll.Engine, 0, len(entries))
	for _, e := range entries {
		engines = append(engines, poll.Engine{Incarnation: e.Incarnation, Address: e.Address})
	}
	return engines
}

func (a *App) isFirstWatcher() bool {
	rank, ok := a.watcherRank()
	return ok && rank == 0
}

// isFirstOwner reports whether this instance is the first owner of a key.
func (a *App) isFirstOwner(key string) bool {
	owners := a.cluster.Owners(key, 1)
	return len(owners) > 0 && owners[0].Name == a.self.Name
}

func (a *App) isLive(name string) bool {
	member, ok := a.cluster.View().Find(name)
	return ok && member.Live()
}

func (a *App) listInstances(ctx context.Context) ([]membership.Member, error) {
	members, err := a.registrar.List(ctx)
	if err == nil {
		a.listedCount.Store(int64(len(members)))
	}
	return members, err
}

func (a *App) liveCount() int { return len(a.cluster.View().Live()) }

// watcherRank returns this instance's rank among the watchers of the store, or false if
// this instance isn't a watcher.
func (a *App) watcherRank() (int, bool) {
	for i, owner := range a.cluster.Owners(watchersKey, confsync.Watchers) {
		if owner.Name == a.self.Name {
			return i, true
		}
	}
	return 0, false
}

func (a *App) buildClaims() {
	a.claims = claims.New(claims.Options{
		Owner:        claim.Owner{Instance: a.self.Name, Incarnation: a.self.Incarnation},
		Storage:      claims.NewObjectStorage(a.store),
		StatusClient: claimStatusClient{a.cluster},
		Retention:    a.settings.Claims.Retention,
		IsSweeper:    func() bool { return a.isFirstOwner(sweeperKey) },
		Scope:        a.telemetry.Scope,
	})
}

func (a *App) buildServer() {
	a.blocklist = blocklist.New(a.cluster, quarantine.DefaultConfig(), a.telemetry.Scope)
	executor := execute.New(execute.Options{
		Router:  a.marking,
		Targets: a.targets,
		Gate:    a.gates,
		Budgets: a.retryBudgets,
		Times:   deadline.NewTimes(deadline.Config{}),
		Status:  a.status,
		Config:  a.sync.Snapshot,
		Tracer:  a.telemetry.Tracer,

		Blocklist:      a.blocklist,
		NothingListens: forward.NothingListens,
	})
	limits := a.settings.Limits
	a.server = serve.New(serve.Options{
		Config:             a.sync.Snapshot,
		Executor:           executor,
		Claims:             a.claims,
		Budgets:            a.accountBudgets,
		Status:             a.status,
		Forward:            forwarder{a.cluster},
		IDs:                requestid.NewGenerator(a.self.Name, a.self.Incarnation),
		Scope:              a.telemetry.Scope,
		Tracer:             a.telemetry.Tracer,
		MaxBodyBytes:       limits.MaxBodyBytes,
		MaxInFlight:        limits.MaxInFlight,
		MaxStreams:         limits.MaxStreams,
		CallerWriteTimeout: callerWriteTimeout,
	})
}

// CallersURL returns the base URL for callers.
func (a *App) CallersURL() string { return "http://" + a.callers.Addr().String() }

// AdminURL returns the base URL of health, readiness and metrics.
func (a *App) AdminURL() string { return "http://" + a.admin.Addr().String() }

// Ready reports whether the instance accepts new connections.
func (a *App) Ready() bool {
	return a.sync.Snapshot() != nil && !a.draining.Load()
}

// Started returns a channel that is closed once a complete configuration is in force.
func (a *App) Started() <-chan struct{} { return a.sync.Ready() }

func (a *App) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", a.telemetry.MetricsHandler())
	mux.Handle("GET /quarantine", a.blocklist)
	return mux
}
