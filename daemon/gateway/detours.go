package gateway

import (
	"github.com/ivyhollow/ivyhollow/coordination/reach"
	"github.com/ivyhollow/ivyhollow/daemon/detour"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// tunnelServer returns what opens connections to targets for other instances.
func (g *Gateway) tunnelServer(dial forward.DialFunc) detour.Server {
	return detour.Server{
		Dial:          dial,
		PathLost:      func(service string) bool { return g.client.PathLost(service) },
		PathSuspected: func(service string) bool { return g.client.PathSuspected(service) },
		Targets:       g.targetServices,
	}
}

// TunnelCount returns the number of connections of other instances to targets through this one.
func (g *Gateway) TunnelCount() int { return g.cluster.TunnelCount() }

// targetServices returns the services of the usable targets, by address.
func (g *Gateway) targetServices() detour.Targets {
	if targets := g.targets.Load(); targets != nil {
		return *targets
	}
	return nil
}

func (g *Gateway) countLostPaths(lost int) {
	g.telemetry.Scope.Gauge("target_paths_lost").Update(float64(lost))
}

// recordPathChange logs that the direct path to the targets of a service was lost or found, counts the
// services whose path is lost, and forgets what failures on a lost path seemed to show about targets.
func (g *Gateway) recordPathChange(change reach.Change, lost int) {
	g.countLostPaths(lost)
	event := telemetry.Event{Pool: change.Service, Reason: string(change.Cause), Count: lost, Elapsed: change.Duration}
	if change.Lost {
		telemetry.InfoS("Path to targets lost", event)
		g.router.ForgetFailures(change.Service)
		g.stages.ForgetFailures(change.Service)
		return
	}
	telemetry.InfoS("Path to targets found", event)
}
