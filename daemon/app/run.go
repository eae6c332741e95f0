package app

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// Timeouts of the servers and of the steps of a planned stop that don't wait for callers.
const (
	// cancelledResponseTimeout limits the time for sending the responses to requests
	// that the stop cancels. Such a response has a few hundred bytes, and its outcome is
	// recorded within half a second.
	cancelledResponseTimeout = time.Second
	drainClaimsTimeout       = 3 * time.Second
	leaveTimeout             = 2 * time.Second
	adminHeaderTimeout       = 5 * time.Second
	// adminStopTimeout limits the time for the last responses to probes and scrapes, each
	// of which takes a millisecond.
	adminStopTimeout = 100 * time.Millisecond
)

// Run runs the instance until ctx ends, then does a planned stop: it reports not ready,
// hands over its leases, waits for the balancer, completes the requests in flight, leaves
// the cluster and returns.
//
// A planned stop never waits for another instance to stop. It only announces its
// handovers, each within a timeout: two instances that stop at the same time and wait
// for each other would both be killed with requests in flight.
func (a *App) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	callers := a.callersServer()
	admin := inbound.New(a.admin, a.adminHandler(), inbound.Options{HeaderTimeout: adminHeaderTimeout})
	group.Add(func() error { return a.lifecycle(ctx, callers) }, func(error) {})
	addServer(&group, callers)
	addServer(&group, admin)
	group.Add(a.cluster.Execute, a.cluster.Interrupt)
	for _, loop := range []func(context.Context) error{
		a.sync.Run, a.claims.Run, a.gates.Run, a.exchange.Run, a.registrar.Run, a.followMembership,
		a.poller.Run, a.reporter.Run, a.tidier.Run, a.orders.Run, a.blocklist.Run, a.sampleMetrics,
	} {
		loopContext, stop := context.WithCancel(background)
		group.Add(func() error { return loop(loopContext) }, func(error) { stop() })
	}
	telemetry.InfoS("listening for callers", telemetry.Event{Address: a.callers.Addr().String()})
	telemetry.InfoS("listening for admin", telemetry.Event{Address: a.admin.Addr().String()})
	telemetry.InfoS("listening for peers", telemetry.Event{Address: a.self.Address})
	err := group.Run()
	a.targets.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (a *App) callersServer() *inbound.Server {
	limits := a.settings.Limits
	return inbound.New(a.callers, a.server.Handler(), inbound.Options{
		HeaderTimeout:  limits.HeaderTimeout,
		IdleTimeout:    limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeaderBytes,
	})
}

// addServer adds an HTTP server to the group.
func addServer(group *run.Group, server *inbound.Server) {
	group.Add(server.Serve, func(error) { server.Shutdown(adminStopTimeout) })
}

// lifecycle waits for the end of ctx and then does the planned stop.
func (a *App) lifecycle(ctx context.Context, callers *inbound.Server) error {
	<-ctx.Done()
	telemetry.InfoS("planned stop", telemetry.Event{Count: a.server.InFlight()})
	a.draining.Store(true)
	a.handOverLeases()
	sleep(a.settings.Shutdown.BalancerDelay)
	runWithTimeout(a.settings.Shutdown.Grace, "finish requests in flight", callers.Drain)
	a.server.Stop()
	runWithTimeout(cancelledResponseTimeout, "answer what did not end", callers.Drain)
	runWithTimeout(drainClaimsTimeout, "record outcomes", a.claims.Drain)
	runWithTimeout(leaveTimeout, "write the last report", func(ctx context.Context) error {
		a.reporter.Write(ctx)
		return nil
	})
	runWithTimeout(leaveTimeout, "leave the cluster", a.cluster.Leave)
	runWithTimeout(leaveTimeout, "remove the entry in the store", a.registrar.Remove)
	return context.Canceled
}

// runWithTimeout runs a step of the planned stop and logs its error.
func runWithTimeout(limit time.Duration, step string, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := do(ctx); err != nil {
		telemetry.ErrorS(err, "step of the planned stop not finished", telemetry.Event{Reason: step})
	}
}

func sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// followMembership passes each change of the membership on to the account budgets and
// to the call budget.
func (a *App) followMembership(ctx context.Context) error {
	version := uint64(0)
	for ctx.Err() == nil {
		view := a.cluster.View()
		if view.Version != version {
			version = view.Version
			a.setMembers(view)
		}
		_ = a.cluster.WaitView(ctx, func(v *membership.View) bool { return v.Version != version })
	}
	return nil
}

func (a *App) setMembers(view *membership.View) {
	names := make([]string, 0, len(view.Live()))
	for _, m := range view.Live() {
		names = append(names, m.Name)
	}
	listed := int(a.listedCount.Load())
	a.budgetLedger.SetMembers(time.Now(), names, listed)
	a.callBudget.SetInstances(max(listed, len(names)))
}
