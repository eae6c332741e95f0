// Package gateway puts an instance together that serves callers of an outside
// platform: what their requests go to is configured there, and the instances find
// one another there. It makes no decision of its own.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/cluster"
	"github.com/ivyhollow/ivyhollow/daemon/follow"
	"github.com/ivyhollow/ivyhollow/daemon/register"
	"github.com/ivyhollow/ivyhollow/daemon/relay"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Platform is what an adapter gives: names, formats and calls.
type Platform struct {
	Dialect  exchange.Dialect
	Spelling platform.Spelling
	Source   follow.Source
}

// ejectionFloor is the least share of a service's targets that stay routable
// however badly they do.
const ejectionFloor = 0.5

// Bounds of the connections between instances. Each request with stages is a
// call that waits for seconds, so there are as many as requests in flight.
const (
	maxPeerCalls       = gather.DefaultMaxRequests
	peerQueueLength    = 1024
	peerCallTimeout    = 30 * time.Second
	listInterval       = 30 * time.Minute
	listRetryInterval  = 800 * time.Millisecond
	idleCloseInterval  = 2 * time.Second
	adminHeaderTimeout = 5 * time.Second
)

// The return of the platform's store. A configuration is to be in force two
// seconds after the store took it, also just after an outage: so its end is looked
// for more than once a second, and calls begin again with the few a second that
// watches under a storm of changes need.
const (
	probeInterval    = 600 * time.Millisecond
	restartRateShare = 0.1
)

// knownTargets is how many targets of a service an instance may choose from: all of
// the fleets that there are. With a subset of its own each instance sends a subject
// to another engine; at 140 engines a third of all prompt tokens were read again.
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
	// blocklist holds the requests that crash their targets.
	blocklist *blocklist.Blocklist
	registrar *register.Registrar

	callers  net.Listener
	admin    net.Listener
	metrics  net.Listener
	draining atomic.Bool
	// shutdown are the times of a planned stop, as last read.
	shutdown atomic.Pointer[settings.Shutdown]
	// inUse are the incarnations of the targets in use, namesInUse their names.
	usedIncarnations, usedNames atomic.Pointer[map[string]bool]
	// shares are, by service, the shares of its targets that data centres have.
	shares atomic.Pointer[map[string]map[string]float64]
}

// New puts an instance together and opens its ports.
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
		ProbeEvery:       probeInterval,
	})
	store := platform.New(platform.Options{
		BaseURL: s.Platform.URL, Instance: s.Instance.Name, Timeout: s.Platform.Timeout,
		Budget: g.callBudget, Spelling: p.Spelling, WatchSlack: time.Second,
	})
	g.registrar = register.New(store, func() membership.Member { return g.self })
	if err := g.buildCluster(); err != nil {
		return nil, err
	}
	g.client = forward.New()
	g.router = routing.New(routing.Config{Instance: s.Instance.Name, LocalDataCentre: s.Instance.DataCentre, SubsetSize: targetSubsetSize})
	g.follower = follow.New(follow.Options{
		Store: store, Source: p.Source,
		Gossip:    g.cluster.Put,
		OnChange:  g.setTargets,
		OnLeaving: g.router.Leaving,
		Scope:     t.Scope,
		Fleet:     fleet{g},

		ConfirmerRevision: g.requestConfirmation,
	})
	g.cluster.Handle(methodConfirm, g.handleConfirm, peer.Idempotent())
	g.cluster.Handle(methodReport, func(context.Context, peer.Peer, []byte) ([]byte, error) {
		return msgpack.Marshal(g.follower.Report())
	}, peer.Idempotent())
	g.cluster.Handle(methodFresh, func(context.Context, peer.Peer, []byte) ([]byte, error) {
		return msgpack.Marshal(g.follower.Report().IsFresh())
	}, peer.Idempotent())
	g.stages = stages.New(g.cluster, p.Dialect, g.client, g.follower, t.Scope)
	g.blocklist = blocklist.New(g.cluster, quarantine.DefaultConfig(), t.Scope)
	g.relay = relay.New(relay.Options{
		Dialect:      p.Dialect,
		Table:        g.follower.Table,
		AwaitReady:   g.awaitReady,
		Confirm:      g.follower.Confirm,
		KnowledgeAge: g.follower.TargetsAge,
		Router:       g.router,
		Client:       g.client,
		TargetShares: g.dataCentreShares,
		Stages:       g.stages,
		Budgets:      retrybudget.New(g.retryConfig()),
		Blocklist:    g.blocklist,
		OnLeaving:    g.follower.Leaving,
		InUse:        func(name string) bool { return contains(&g.usedNames, name) },
		Tracer:       t.Tracer,
		Scope:        t.Scope,
	})
	return g, nil
}

const (
	// earnedShare is the part of the allowed share of repeats that an instance
	// earns; the rest is left to what it doesn't count, such as stage calls.
	retryRatioShare = 0.5
	// slackShare is an instance's part of the fleet's slack at its start. It is
	// enough for a small fleet, and for 90 instances that start at once with the
	// slack of 220 that they have.
	retryReserveShare = 1.0 / 16
	maxRetryReserve   = 2.4
)

// retryConfig is this instance's part of what the fleet may send once more.
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

func (g *Gateway) buildCluster() error {
	s := g.settings
	var files *peer.Files
	if s.Peers.TLS() {
		files = &peer.Files{Cert: s.Peers.TLSCert, Key: s.Peers.TLSKey, CA: s.Peers.TLSCA}
	}
	var err error
	g.cluster, err = cluster.New(cluster.Options{
		Transport: peer.Options{
			Cluster: s.Instance.Cluster, Self: g.self, Listen: s.Listen.Peers,
			TLS: files, Cleartext: s.Peers.Cleartext, Scope: g.telemetry.Scope,
			CallTimeout: peerCallTimeout, MaxHandlers: maxPeerCalls, MaxPending: maxPeerCalls,
			QueueLength: peerQueueLength,
		},
		Membership:        membership.DefaultConfig(),
		Gossip:            spreadConfig(),
		Seeds:             s.Peers.Seeds,
		ListInstances:     g.registrar.List,
		ListInterval:      listInterval,
		ListRetryInterval: listRetryInterval,
		OnRecord:          func(r spread.Record) { g.follower.Receive(r) },
	})
	if err != nil {
		return err
	}
	g.self = g.cluster.Self()
	return nil
}

// pushBytesPerSecond lets a configuration of a hundred kilobytes reach all
// instances within the two seconds that it has.
const pushBytesPerSecond = 256 << 10

func spreadConfig() spread.Config {
	c := spread.DefaultConfig()
	c.PushBytesPerSecond = pushBytesPerSecond
	return c
}

// setTargets hands the targets to those who use them.
func (g *Gateway) setTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	inUse, names := map[string]bool{}, map[string]bool{}
	shares := map[string]map[string]float64{}
	for name, service := range table.Services {
		list := make([]routing.Target, 0, len(usable[name]))
		for _, t := range usable[name] {
			inUse[t.Incarnation()], names[t.Name] = true, true
			if shares[name] == nil {
				shares[name] = map[string]float64{}
			}
			shares[name][t.DataCentre] += 1 / float64(len(usable[name]))
			list = append(list, routing.Target{
				Incarnation: t.Incarnation(), Name: t.Name, Pool: name, Address: t.Address,
				DataCentre: t.DataCentre, Slots: max(t.Slots, service.Slots),
			})
		}
		if service.Batch == nil {
			pool := routing.Pool{Name: name, Objective: catalog.ObjectiveAttainment, EjectionFloor: ejectionFloor}
			g.router.SetTargets(now, pool, list)
		}
	}
	g.stages.SetTargets(now, table, usable)
	g.usedIncarnations.Store(&inUse)
	g.usedNames.Store(&names)
	g.shares.Store(&shares)
}

// awaitReady waits until the instance knows what it needs to serve a request: the
// configuration, the targets, and which requests the others refuse.
func (g *Gateway) awaitReady(ctx context.Context) {
	g.follower.AwaitReady(ctx)
	g.blocklist.AwaitInitialSync(ctx)
}

// sharesOf returns the shares of a service's targets that data centres have.
func (g *Gateway) dataCentreShares(service string) map[string]float64 {
	if shares := g.shares.Load(); shares != nil {
		return (*shares)[service]
	}
	return nil
}

// Reload takes in settings that were read again. What an instance is and where it
// listens stays until its next start; what can change is the pace of a stop.
func (g *Gateway) Reload(s settings.Settings) {
	g.shutdown.Store(&s.Shutdown)
	telemetry.InfoS("Settings read again", telemetry.Event{Elapsed: s.Shutdown.Grace})
}

// CallersAddr is where callers reach the instance.
func (g *Gateway) CallersAddr() string { return g.callers.Addr().String() }

// AdminAddr is where health, readiness and metrics are.
func (g *Gateway) AdminAddr() string { return g.admin.Addr().String() }

// Ready tells whether the instance wants new connections.
func (g *Gateway) Ready() bool { return g.follower.Ready() && !g.draining.Load() }

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
	return mux
}

// has tells whether a set that is replaced as a whole holds a text.
func contains(set *atomic.Pointer[map[string]bool], text string) bool {
	texts := set.Load()
	return texts != nil && (*texts)[text]
}

// sweepIdle closes connections that are of no use any more.
func (g *Gateway) closeIdleConnections(ctx context.Context) error {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.client.CloseIdle(func(process string) bool { return contains(&g.usedIncarnations, process) })
		}
	}
}
