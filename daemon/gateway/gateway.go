// Package gateway assembles an instance that serves callers of an external platform.
// The platform holds the configuration of the targets and the list of instances. The
// package contains wiring only and makes no decisions.
package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/accountshares"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/cluster"
	"github.com/ivyhollow/ivyhollow/daemon/detour"
	"github.com/ivyhollow/ivyhollow/daemon/follow"
	"github.com/ivyhollow/ivyhollow/daemon/limits"
	"github.com/ivyhollow/ivyhollow/daemon/register"
	"github.com/ivyhollow/ivyhollow/daemon/relay"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/daemon/streams"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Platform is what an adapter of a platform provides: names, formats and calls.
type Platform struct {
	Dialect  exchange.Dialect
	Spelling platform.Codec
	Source   follow.Source
	// DialTarget opens the connections to targets; nil means TCP.
	DialTarget forward.DialFunc
}

// ejectionFloor is the minimum share of a service's targets that stay routable,
// whatever their failure rates.
const ejectionFloor = 0.5

// Limits of the connections between instances. Each request with stages is a peer
// call that takes seconds, so there are as many calls as requests in flight.
const (
	maxPeerCalls       = gather.DefaultMaxRequests
	peerQueueLength    = 1024
	peerCallTimeout    = 30 * time.Second
	listInterval       = 30 * time.Minute
	listRetryInterval  = 800 * time.Millisecond
	idleCloseInterval  = 2 * time.Second
	adminHeaderTimeout = 5 * time.Second
)

// Recovery from an outage of the platform's store. A configuration has to be in force
// within two seconds after the store accepted it, even right after an outage. The store is
// therefore probed more than once a second, and calls resume at the few per second that
// watches need under a burst of changes.
const (
	probeInterval    = 600 * time.Millisecond
	restartRateShare = 0.1
)

// targetSubsetSize is the number of targets of a service that an instance may choose
// from. It covers all existing fleets: if each instance had a subset of its own, they
// would route the same prompt prefix to different engines. With 140 engines, a third of
// all prompt tokens were processed again.
const targetSubsetSize = 1024

// Gateway is one instance.
type Gateway struct {
	settings  settings.Settings
	telemetry *telemetry.Telemetry
	self      membership.Member

	cluster    *cluster.Cluster
	callBudget *platform.Budget
	follower   *follow.Follower
	router     *routing.Table
	client     *forward.Client
	stages     *stages.Stages
	relay      *relay.Relay
	// blocklist blocks the requests that crash their targets.
	blocklist *blocklist.Blocklist
	// limits are the limits that targets name.
	limits *limits.Limits
	// streams knows where streams began that callers take up again.
	streams *streams.Directory
	// accounts shares what targets accept between client accounts; nil if they don't share.
	accounts  *accountshares.Shares
	registrar *register.Registrar

	callers  net.Listener
	admin    net.Listener
	metrics  net.Listener
	draining atomic.Bool
	// shutdown holds the settings of the planned stop, as last loaded.
	shutdown atomic.Pointer[settings.Shutdown]
	// usedNames holds the names of the usable targets.
	usedNames atomic.Pointer[map[string]bool]
	// shares holds, by service and data centre, the share of the service's usable targets
	// that is in the data centre.
	shares atomic.Pointer[map[string]map[string]float64]
	// targets holds the services of the usable targets, by address.
	targets atomic.Pointer[detour.Targets]
}

// New assembles an instance and opens its ports.
func New(s settings.Settings, t *telemetry.Telemetry, p Platform) (*Gateway, error) {
	g := &Gateway{settings: s, telemetry: t}
	g.shutdown.Store(&s.Shutdown)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.self = membership.Member{
		Name:        s.Instance.Name,
		CallerURL:   "http://" + g.CallersAddr(),
		DataCentre:  s.Instance.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
		Capacity:    uint32(s.Instance.Capacity * 1000),
	}
	g.callBudget = platform.NewBudget(platform.BudgetOptions{
		ReadsPerSecond:   s.Platform.CallsPerSecond,
		RestartPerSecond: s.Platform.CallsPerSecond * restartRateShare,
		MaxProbeInterval: probeInterval,
	})
	store := platform.New(platform.Options{
		BaseURL: s.Platform.URL, Instance: s.Instance.Name, Timeout: s.Platform.Timeout,
		Budget: g.callBudget, Codec: p.Spelling, WatchSlack: time.Second,
	})
	g.registrar = register.New(store, func() membership.Member { return g.self })
	if p.DialTarget == nil {
		p.DialTarget = forward.DialFrom(net.ParseIP(s.Targets.SourceAddress))
	}
	if err := g.buildCluster(p.DialTarget); err != nil {
		return nil, err
	}
	g.client = forward.New(forward.ClientOptions{
		Dial: p.DialTarget, Detour: detour.NewDialer(g.cluster, t.Scope), OnPathChange: g.recordPathChange,
	})
	g.countLostPaths(0) // the gauge is served before the first path is lost
	g.router = routing.New(routing.Config{Instance: s.Instance.Name, LocalDataCentre: s.Instance.DataCentre, SubsetSize: targetSubsetSize, MaxOrigins: maxDigestOrigins, CostPlacement: s.Scheduling.CostPlacement})
	source := p.Source
	if !s.Platform.DataCentreDrains {
		source.DrainKind = ""
	}
	g.follower = follow.New(follow.Options{
		Store: store, Source: source,
		Gossip:    g.cluster.Put,
		OnChange:  g.setTargets,
		OnLeaving: g.router.Leaving,
		Scope:     t.Scope,
		Fleet:     fleet{g},

		AskConfirmer: g.askConfirmer,
	})
	g.cluster.Handle(methodConfirm, g.handleConfirm, peer.Idempotent())
	g.cluster.Handle(methodReport, func(context.Context, peer.Peer, []byte) ([]byte, error) {
		return msgpack.Marshal(g.follower.Report())
	}, peer.Idempotent())
	g.cluster.Handle(methodFresh, func(context.Context, peer.Peer, []byte) ([]byte, error) {
		return msgpack.Marshal(g.follower.Report().IsFresh())
	}, peer.Idempotent())
	g.stages = stages.New(g.cluster, p.Dialect, g.client, g.follower, pacing.Limits(s.Warmup), planning(s.Scheduling), t.Scope)
	if s.Scheduling.CostPlacement {
		g.stages.PlaceByCost()
	}
	g.limits = limits.New(limits.Options{Cluster: g.cluster, Gossip: g.cluster.Put, OnChange: g.stages.SetLimits, Scope: t.Scope})
	g.stages.OnResponse(g.limits.Observe)
	g.stages.AwaitLimits(g.limits.AwaitFrom)
	g.blocklist = blocklist.New(g.cluster, quarantine.DefaultConfig(), t.Scope)
	g.streams = streams.New(streams.Options{
		Cluster: g.cluster, Store: store, Gossip: g.cluster.Put, Rank: fleet{g}.Rank, KnowledgeAge: g.follower.TargetsAge,
		FirstStart: s.Instance.FirstStart, Republish: g.follower.Republish, Scope: t.Scope,
	})
	g.buildAccounts()
	g.relay = relay.New(relay.Options{
		Dialect:           p.Dialect,
		Table:             g.follower.Table,
		AwaitReady:        g.awaitReady,
		Confirm:           g.follower.Confirm,
		Outdated:          g.follower.Outdated,
		KnowledgeAge:      g.follower.TargetsAge,
		Instance:          s.Instance.Name,
		Router:            g.router,
		Client:            g.client,
		TargetShares:      g.dataCentreShares,
		Stages:            g.stages,
		ExplainStages:     g.stages.Explain,
		RetryReservations: s.Scheduling.RetryReservations,
		Streams:           g.streams,
		Paced:             g.stages.Paced,
		Budgets:           retrybudget.New(g.retryConfig()),
		Accounts:          g.sharing(),
		Blocklist:         g.blocklist,
		OnLeaving:         g.follower.Leaving,
		OnEnded:           g.follower.Ended,
		OnResponse:        g.observeResponse,
		Usable:            g.follower.Usable,
		InUse:             func(name string) bool { return contains(&g.usedNames, name) },
		Tracer:            t.Tracer,
		Scope:             t.Scope,

		CostPlacement: s.Scheduling.CostPlacement,
	})
	return g, nil
}

const (
	// retryRatioShare is the part of the configured retry ratio that the budget of an
	// instance uses. The remainder covers repeats that the budget doesn't count, such
	// as those of stage calls.
	retryRatioShare = 0.5
	// retryReserveShare is the part of the configured slack that the budget of an
	// instance holds at its start. It suffices for a small fleet.
	retryReserveShare = 1.0 / 16
	// maxRetryReserve limits, in retries, what an instance's budget holds at its start.
	// With this limit, even 90 instances that start at once stay below a slack of 220:
	// together they hold 216.
	maxRetryReserve = 2.4
)

// planning returns the part of the scheduling that the holder of the stage queue does.
func planning(s settings.Scheduling) gather.Config {
	return gather.Config{
		AccountSharing: s.AccountSharing, AccountWeights: s.AccountWeights,
		RetryReservations: s.RetryReservations, ResultFlowControl: s.ResultFlowControl,
	}
}

// retryConfig returns the configuration of this instance's retry budget, which is a share
// of the fleet's budget.
func (g *Gateway) retryConfig() retry.Config {
	return retry.Config{
		RetryRatio: g.settings.Retries.Share * retryRatioShare,
		HalfLife:   g.settings.Retries.Window,
		Reserve:    min(g.settings.Retries.Slack*retryReserveShare, maxRetryReserve),
	}
}

func (g *Gateway) listen() error {
	var err error
	if g.callers, err = net.Listen("tcp", g.settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if g.admin, err = net.Listen("tcp", g.settings.Listen.Admin); err != nil {
		return errors.Wrap(err, "listen for admin")
	}
	if g.settings.Listen.Metrics != "" {
		g.metrics, err = net.Listen("tcp", g.settings.Listen.Metrics)
	}
	return errors.Wrap(err, "listen for metrics")
}

func (g *Gateway) buildCluster(dialTarget forward.DialFunc) error {
	s := g.settings
	var files *peer.TLSFiles
	if s.Peers.TLS() {
		files = &peer.TLSFiles{Cert: s.Peers.TLSCert, Key: s.Peers.TLSKey, CA: s.Peers.TLSCA}
	}
	var err error
	g.cluster, err = cluster.New(cluster.Options{
		Transport: peer.Options{
			Cluster: s.Instance.Cluster, Self: g.self, Listen: s.Listen.Peers,
			TLS: files, Cleartext: s.Peers.Cleartext, Scope: g.telemetry.Scope,
			CallTimeout: peerCallTimeout, MaxHandlers: maxPeerCalls, MaxPendingCalls: maxPeerCalls,
			QueueLength: peerQueueLength, DialTarget: g.tunnelServer(dialTarget).DialTarget,
		},
		Membership:        membership.DefaultConfig(),
		Gossip:            g.spreadConfig(),
		Seeds:             s.Peers.Seeds,
		ListInstances:     g.registrar.List,
		ListInterval:      listInterval,
		ListRetryInterval: listRetryInterval,
		OnRecord:          g.receiveRecord,
	})
	if err != nil {
		return err
	}
	g.self = g.cluster.Self()
	return nil
}

// pushBytesPerSecond is high enough for the entries of all targets to reach all instances
// within the limit of two seconds. Larger records are fetched and don't count.
const pushBytesPerSecond = 256 << 10

func (g *Gateway) spreadConfig() spread.Config {
	c := spread.DefaultConfig()
	c.PushBytesPerSecond = pushBytesPerSecond
	if g.settings.Scheduling.CostPlacement {
		c = withDigests(c)
	}
	return c
}

// receiveRecord passes a record that is new to its receiver.
func (g *Gateway) receiveRecord(r spread.Record) {
	switch r.Kind {
	case limits.RecordKind:
		g.limits.Receive(r)
	case streams.RecordKind:
		g.streams.Receive(r)
	default:
		g.follower.Receive(r)
	}
}

// setTargets passes the usable targets on to the router and to the stages.
func (g *Gateway) setTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	held := g.streams.SetTargets(now, table, usable)
	names, incarnations := map[string]bool{}, map[string]bool{}
	services := detour.Targets{}
	shares := map[string]map[string]float64{}
	forWork := map[string][]routes.Target{}
	for name, service := range table.Services {
		list := make([]routing.Target, 0, len(usable[name]))
		for _, t := range usable[name] {
			names[t.Name], incarnations[t.Incarnation()] = true, true
			services[t.Address] = name
			if shares[name] == nil {
				shares[name] = map[string]float64{}
			}
			shares[name][t.DataCentre] += 1 / float64(len(usable[name]))
			if slices.Contains(held[name], t.Version) {
				continue
			}
			forWork[name] = append(forWork[name], t)
			list = append(list, routing.Target{
				Incarnation: t.Incarnation(), Name: t.Name, Pool: name, Address: t.Address,
				DataCentre: t.DataCentre, Version: t.RunningVersion(), Slots: max(t.Slots, service.Slots), Memory: service.CacheTokens,
			})
		}
		if service.Batch == nil {
			pool := routing.Pool{Name: name, Objective: catalog.ObjectiveAttainment, EjectionFloor: ejectionFloor}
			g.router.SetTargets(now, pool, list)
		}
	}
	g.stages.SetTargets(now, table, forWork)
	g.limits.Forget(func(incarnation string) bool { return incarnations[incarnation] })
	g.usedNames.Store(&names)
	g.shares.Store(&shares)
	g.targets.Store(&services)
}

// awaitReady waits until the instance has the state that it needs to serve a request:
// the configuration, the targets, the requests that other instances block, and the limits that
// targets name.
func (g *Gateway) awaitReady(ctx context.Context) {
	g.follower.AwaitReady(ctx)
	g.blocklist.AwaitInitialSync(ctx)
	g.limits.AwaitInitialSync(ctx)
}

// dataCentreShares returns, by data centre, the share of a service's usable targets that
// is in the data centre.
func (g *Gateway) dataCentreShares(service string) map[string]float64 {
	if shares := g.shares.Load(); shares != nil {
		return (*shares)[service]
	}
	return nil
}

// Reload applies settings that were loaded again. Only the settings of the planned stop
// change; all others, such as identity and listen addresses, stay until the next start.
func (g *Gateway) Reload(s settings.Settings) {
	g.shutdown.Store(&s.Shutdown)
	telemetry.InfoS("Settings read again", telemetry.Event{Elapsed: s.Shutdown.Grace})
}

// CallersAddr returns the address for callers.
func (g *Gateway) CallersAddr() string { return g.callers.Addr().String() }

// AdminAddr returns the address of health, readiness and metrics.
func (g *Gateway) AdminAddr() string { return g.admin.Addr().String() }

// Paced reports whether sends to the targets of a service need grants.
func (g *Gateway) Paced(service string) bool { return g.stages.Paced(service) }

// Usable reports whether an incarnation of a target may receive new work.
func (g *Gateway) Usable(incarnation string) bool { return g.follower.Usable(incarnation) }

// InFlight returns the number of callers' requests without their final response.
func (g *Gateway) InFlight() int { return g.relay.InFlight() }

// InstanceCount returns the number of live instances that this one knows, itself included.
func (g *Gateway) InstanceCount() int { return len(g.cluster.View().Live()) }

// Ready reports whether the instance accepts new connections.
func (g *Gateway) Ready() bool {
	return g.follower.Ready() && g.limits.Synced() && !g.draining.Load()
}

func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", g.telemetry.MetricsHandler())
	mux.Handle("GET /quarantine", g.blocklist)
	mux.HandleFunc("GET /drains", g.serveDrains)
	mux.HandleFunc("GET "+explainapi.Path, g.serveExplain)
	if g.accounts != nil {
		mux.Handle("GET /accounts", g.accounts)
	}
	return mux
}

// serveDrains lists the drains of data centres that are in force on this instance.
func (g *Gateway) serveDrains(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.follower.Drains()); err != nil {
		telemetry.ErrorS(err, "List of drains not sent", telemetry.Event{})
	}
}

// contains reports whether a set has a member. The pointer is nil before the first set is
// stored. A stored set is never changed, only replaced by another one.
func contains(set *atomic.Pointer[map[string]bool], member string) bool {
	members := set.Load()
	return members != nil && (*members)[member]
}

// closeIdleConnections closes connections to targets that are no longer in use.
func (g *Gateway) closeIdleConnections(ctx context.Context) error {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.client.CloseIdle(g.follower.Usable)
		}
	}
}
