package gateway

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/load"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
)

const (
	// maxDigestOrigins bounds the instances whose digests are kept: those of the largest fleet for
	// which a second is young enough. Entries of others would count as no load.
	maxDigestOrigins = 128
)

// withDigests adds the exchange of load digests to the configuration of the gossip, within the
// control traffic that an instance may cause in a fleet of several hundred.
func withDigests(c spread.Config) spread.Config {
	c.MaxLoadBytes = load.GossipConfig().MaxLoadBytes
	return c
}

// newDigests returns the exchange of the requests in flight at targets. Instances without it ignore
// the digests.
func (g *Gateway) newDigests() *load.Exchange {
	gates := gate.NewGroup(gate.GroupConfig{}, time.Now) // stays empty: callers' requests wait at targets
	return load.New(g.settings.Instance.Name, g.cluster, g.router, gates, g.InstanceCount)
}

// observeResponse learns from the header of a target's response.
func (g *Gateway) observeResponse(incarnation string, r exchange.TargetResponse) {
	g.limits.Observe(incarnation, r)
	if r.Load == nil || !g.settings.Scheduling.CostPlacement {
		return
	}
	g.router.Report(time.Now(), incarnation, routing.Load{
		Active: r.Load.Running, Queued: r.Load.Waiting, Slots: r.Load.Slots, Slowdown: r.Load.Slowdown,
	})
}
