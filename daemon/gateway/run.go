package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// Timing of the servers and of the planned stop.
const (
	// headerTimeout limits the time for reading a request's head. Callers need far less.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection, so that no
	// request arrives while the connection is being closed.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes limits the size of a request's head.
	maxHeaderBytes = 256 << 10
	// exitMargin is the part at the end of the grace period that is reserved for the exit
	// itself. Every request has its response before this part begins; its first
	// closeTimeout is for sending the responses.
	exitMargin   = 600 * time.Millisecond
	closeTimeout = 300 * time.Millisecond
	// adminStopTimeout limits the last responses to probes and scrapes, which take a
	// millisecond.
	adminStopTimeout = 50 * time.Millisecond
	// drainPollInterval is the interval of the checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// leaveTimeout limits the notification of the other instances.
	leaveTimeout = time.Second
	// recordsTimeout limits the passing on of the records of streams.
	recordsTimeout = 300 * time.Millisecond
)

// Run runs the instance until ctx ends, then does a planned stop: it reports not
// ready, goes on serving until the balancer has certainly noticed, completes the
// requests in flight and returns.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	refused := g.telemetry.Scope.Counter("caller_connections_refused")
	refused.Inc(0) // so that the series is served before the first one
	callers := inbound.New(g.callers, g.relay, inbound.Options{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxConns: maxCallerConns(), OnRefuse: func() { refused.Inc(1) },
	})
	group.Add(func() error { return g.lifecycle(ctx, callers) }, func(error) {})
	addServer(&group, callers)
	addServer(&group, inbound.New(g.admin, g.adminHandler(), inbound.Options{HeaderTimeout: adminHeaderTimeout}))
	if g.metrics != nil {
		addServer(&group, inbound.New(g.metrics, g.adminHandler(), inbound.Options{HeaderTimeout: adminHeaderTimeout}))
	}
	group.Add(g.cluster.Execute, g.cluster.Interrupt)
	loops := []func(context.Context) error{
		g.follower.Run, g.registrar.Run, g.stages.Run, g.blocklist.Run, g.limits.Run, g.streams.Run, g.client.Run, g.closeIdleConnections, g.runAccounts,
	}
	if g.settings.Scheduling.CostPlacement {
		loops = append(loops, g.newDigests().Run)
	}
	for _, loop := range loops {
		loopContext, stop := context.WithCancel(background)
		group.Add(func() error { return loop(loopContext) }, func(error) { stop() })
	}
	telemetry.InfoS("Instance started", telemetry.Event{Address: g.settings.Listen.Callers, Peer: g.self.Address})
	err := group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addServer adds an HTTP server to the group.
func addServer(group *run.Group, server *inbound.Server) {
	group.Add(server.Serve, func(error) { server.Shutdown(adminStopTimeout) })
}

// lifecycle waits for the end of ctx and then does the planned stop.
func (g *Gateway) lifecycle(ctx context.Context, callers *inbound.Server) error {
	<-ctx.Done()
	start := time.Now()
	telemetry.InfoS("Planned stop", telemetry.Event{Count: g.relay.InFlight()})
	g.draining.Store(true)
	g.cluster.StopTunnels()
	times := g.shutdown.Load()
	noticed, deadline := start.Add(times.BalancerDelay), start.Add(times.Grace-exitMargin)
	g.relay.Drain(noticed, deadline)
	g.stages.Handover(context.Background())
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := g.cluster.Leave(leave); err != nil {
		telemetry.ErrorS(err, "The other instances were not all told of the stop", telemetry.Event{})
	}
	// Only now do the others no longer have this instance keep their records.
	handover, cancelHandover := context.WithTimeout(context.Background(), recordsTimeout)
	defer cancelHandover()
	g.streams.Handover(handover)
	g.finish(callers, noticed, deadline)
	telemetry.InfoS("Instance stopped", telemetry.Event{Count: g.relay.InFlight(), Elapsed: time.Since(start)})
	return context.Canceled
}

// finish goes on serving until the balancer has noticed the stop, then closes callers'
// connections as they become idle, so that callers connect to other instances. It
// returns when all requests have their responses.
func (g *Gateway) finish(callers *inbound.Server, noticed, deadline time.Time) {
	if deadline.Before(noticed) {
		noticed = deadline // the grace period is shorter than the balancer's delay
	}
	time.Sleep(time.Until(noticed))
	logConnections(callers.CountByState())
	callers.BeginDrain()
	g.awaitDrained(callers, deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(closeTimeout))
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		telemetry.ErrorS(err, "Connections of callers were cut by the stop", telemetry.Event{Count: callers.OpenConns()})
	}
}

// awaitDrained waits until no caller has a connection and no request of another
// instance has stages or a connection to a target here, at most until the deadline.
func (g *Gateway) awaitDrained(callers *inbound.Server, deadline time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(deadline) && (callers.OpenConns() > 0 || g.stages.ActiveCount() > 0 || g.cluster.TunnelCount() > 0) {
		<-ticker.C
	}
}

// logConnections logs the number of callers' connections in each state, just before
// the stop closes those without a request.
func logConnections(counts map[inbound.ConnState]int) {
	for _, state := range []inbound.ConnState{inbound.Idle, inbound.Unread, inbound.Busy} {
		telemetry.InfoS("Connections of callers at the stop", telemetry.Event{Reason: string(state), Count: counts[state]})
	}
}
