package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// Times of the servers and of the planned stop.
const (
	// headerTimeout bounds the reading of a request's head; callers stay well
	// within it.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection, so that
	// no request meets its close.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 256 << 10
	// exitMargin is left of the grace for the end itself. By then each request has
	// its answer; the first closeTime of it is for the answers to leave.
	exitMargin   = 600 * time.Millisecond
	closeTimeout = 300 * time.Millisecond
	// adminTime bounds the last answers to probes and scrapes: they take a millisecond.
	adminStopTimeout = 50 * time.Millisecond
	// drainPoll is how often the end of requests in flight is looked for.
	drainPollInterval = 50 * time.Millisecond
	// leaveTimeout bounds the word to the other instances.
	leaveTimeout = time.Second
)

// Run runs the instance until ctx ends, then stops it as planned: it reports that
// it isn't ready, goes on serving until the balancer has surely noticed, finishes
// what is in flight and returns.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	callers := inbound.New(g.callers, g.relay, inbound.Options{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	group.Add(func() error { return g.lifecycle(ctx, callers) }, func(error) {})
	addServer(&group, callers)
	addServer(&group, inbound.New(g.admin, g.adminHandler(), inbound.Options{HeaderTimeout: adminHeaderTimeout}))
	if g.metrics != nil {
		addServer(&group, inbound.New(g.metrics, g.adminHandler(), inbound.Options{HeaderTimeout: adminHeaderTimeout}))
	}
	group.Add(g.cluster.Execute, g.cluster.Interrupt)
	for _, loop := range []func(context.Context) error{
		g.follower.Run, g.registrar.Run, g.stages.Run, g.blocklist.Run, g.closeIdleConnections,
	} {
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
	group.Add(server.Serve, func(error) { server.Stop(adminStopTimeout) })
}

// lifecycle waits for the end of ctx and does the planned stop.
func (g *Gateway) lifecycle(ctx context.Context, callers *inbound.Server) error {
	<-ctx.Done()
	begin := time.Now()
	telemetry.InfoS("Planned stop", telemetry.Event{Count: g.relay.InFlight()})
	g.draining.Store(true)
	times := g.shutdown.Load()
	noticed, ends := begin.Add(times.BalancerDelay), begin.Add(times.Grace-exitMargin)
	g.relay.Drain(noticed, ends)
	g.stages.Handover(context.Background())
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := g.cluster.Leave(leave); err != nil {
		telemetry.ErrorS(err, "The other instances were not all told of the stop", telemetry.Event{})
	}
	g.finish(callers, noticed, ends)
	telemetry.InfoS("Instance stopped", telemetry.Event{Count: g.relay.InFlight(), Elapsed: time.Since(begin)})
	return context.Canceled
}

// finish serves on until the balancer has noticed, then closes the connections of
// callers as they become idle, so that they go elsewhere, and ends when all requests
// have their answers.
func (g *Gateway) finish(callers *inbound.Server, noticed, ends time.Time) {
	if ends.Before(noticed) {
		noticed = ends // a grace that is shorter than the balancer's delay
	}
	time.Sleep(time.Until(noticed))
	logConnections(callers.States())
	callers.Retire()
	g.awaitDrained(callers, ends)
	ctx, cancel := context.WithDeadline(context.Background(), ends.Add(closeTimeout))
	defer cancel()
	if err := callers.Finish(ctx); err != nil {
		telemetry.ErrorS(err, "Connections of callers were cut by the stop", telemetry.Event{Count: callers.Open()})
	}
}

// awaitQuiet waits until no caller has a connection and no other instance's request
// has stages here, at most until ends.
func (g *Gateway) awaitDrained(callers *inbound.Server, ends time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(ends) && (callers.Open() > 0 || g.stages.ActiveCount() > 0) {
		<-ticker.C
	}
}

// noteConnections writes what is on its way on callers' connections as the stop
// closes those without a request.
func logConnections(counts map[inbound.State]int) {
	for _, state := range []inbound.State{inbound.Idle, inbound.Unread, inbound.Busy} {
		telemetry.InfoS("Connections of callers at the stop", telemetry.Event{Reason: string(state), Count: counts[state]})
	}
}
