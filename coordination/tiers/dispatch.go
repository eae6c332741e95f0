package tiers

import (
	"math"
	"time"
)

// dispatch appends the actions that are due to out: refusals of items past
// their LatestStart, then dispatches in order of rank.
func (g *Gate) dispatch(now time.Time, out []Action) []Action {
	out = g.refuseExpired(now, out)
	if len(g.waiting) == 0 {
		return out
	}
	limit := g.inFlightLimits()
	upTo := 0
	for r := range g.queues {
		upTo += g.inFlight[r]
		for len(g.queues[r]) > 0 && float64(upTo)+1 <= limit[r]+roundingSlack {
			out = append(out, g.dispatchFirst(now, r)...)
			upTo++
		}
	}
	return out
}

// roundingSlack prevents rounding errors from withholding the last slot.
const roundingSlack = 1e-6

// dispatchFirst dispatches the first item of a rank and preempts an item of a
// lower rank if one has to make way. The item is dispatched even if lower ranks
// hold all slots: they dispatch nothing until the excess has drained, and until
// then the targets queue the item by the priority passed to them. Delaying it
// here by the in-flight figures of the peers would stall short stages: those
// figures are older than the duration of such a stage, so all instances would
// wait for one another while the targets are idle.
func (g *Gate) dispatchFirst(now time.Time, rank int) []Action {
	var out []Action
	if victim := g.preemptionVictim(now, rank); victim != nil {
		victim.preempting = true
		out = append(out, Action{Kind: Preempt, ID: victim.ID})
	}
	it := g.queues[rank].first()
	g.dequeue(now, it)
	g.running[it.ID] = &running{Item: it.Item, startedAt: now}
	g.inFlight[rank]++
	g.demandAverages[rank].add(now, g.config.DemandWindow, 1)
	return append(out, Action{Kind: Dispatch, ID: it.ID})
}

func (g *Gate) refuseExpired(now time.Time, out []Action) []Action {
	for r := range g.queues {
		for {
			it := g.queues[r].first()
			if it == nil || !now.After(it.LatestStart) {
				break
			}
			g.dequeue(now, it)
			out = append(out, g.refusal(now, it.Item, ReasonTooLate))
		}
	}
	return out
}

// inFlightLimits computes how many requests this instance may have in flight.
// It uses the demand that this instance last reported to its peers, not its
// current one, and the lesser of the last two reports: the peers' digests are an
// interval old too, and an instance that counted its own share of a load spike
// before the shares of its peers would take all slots. A peer without a digest is
// assumed to have the same demand as this instance: it uses the targets even if
// it is unreachable, and assuming it idle would let each side of a network
// partition fill the targets alone.
func (g *Gate) inFlightLimits() rankLimits {
	d := demand{instances: float64(g.peers.Instances)}
	notReporting := float64(max(g.peers.Instances-1-g.peers.Reporting, 0))
	for r := range d.own {
		d.own[r] = float64(min(g.lastDigest.Ranks[r].Demand, g.previousDigest.Ranks[r].Demand))
		if g.peers.Instances == 1 {
			d.own[r] = float64(g.demandAverages[r].current)
		}
		d.total[r] = d.own[r]*(1+notReporting) + float64(g.peers.Ranks[r].Demand)
	}
	return g.atLeastOne(divideCapacity(float64(g.capacity), d, g.config.PriorityScheduling))
}

// atLeastOne raises the limits so that this instance may dispatch one request of
// its highest queued rank if nothing of that rank or above is in flight: with
// fewer slots than instances, every share would round down to zero.
func (g *Gate) atLeastOne(l rankLimits) rankLimits {
	if g.capacity == 0 {
		return l
	}
	for r := range l {
		if g.inFlight[r] > 0 {
			return l
		}
		if len(g.queues[r]) > 0 {
			l[r] = math.Max(l[r], 1)
			return l
		}
	}
	return l
}

// totalInFlight estimates the number of requests that all instances have in
// flight.
func (g *Gate) totalInFlight() float64 {
	total := float64(len(g.running))
	for r := range g.peers.Ranks {
		total += float64(g.peers.Ranks[r].InFlight)
	}
	return total
}

// preemptionVictim returns the running item to cancel so that the first item of
// rank can start. It returns nil if the targets have a free slot or will have
// one soon enough, because the prompt of a cancelled generation is processed
// twice. The victim is of the lowest rank and, within it, the one that started
// last and so loses the least work.
func (g *Gate) preemptionVictim(now time.Time, rank int) *running {
	over := g.totalInFlight() + 1 - float64(g.capacity)
	if !g.config.Preempt || over <= 0 || g.slotFreesInTime(now, rank, over) {
		return nil
	}
	var out *running
	for _, r := range g.running {
		if r.Rank > rank && g.preemptible(now, r) && (out == nil || cheaperToPreempt(r, out)) {
			out = r
		}
	}
	return out
}

func cheaperToPreempt(a, b *running) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	if !a.startedAt.Equal(b.startedAt) {
		return a.startedAt.After(b.startedAt)
	}
	return a.ID < b.ID
}

func (g *Gate) preemptible(now time.Time, r *running) bool {
	return r.Resumable &&
		!r.preempting &&
		r.Preemptions < g.config.MaxPreemptions &&
		now.Sub(r.startedAt) >= g.config.MinRunTime
}

// slotFreeSafetyFactor is how many times the expected wait for a free slot must
// fit into the time to an item's LatestStart for preemption to be unnecessary.
const slotFreeSafetyFactor = 4

func (g *Gate) slotFreesInTime(now time.Time, rank int, over float64) bool {
	wait := over / g.holdTime.completionRate(g.totalInFlight())
	timeToStart := g.queues[rank].first().LatestStart.Sub(now)
	return wait*slotFreeSafetyFactor <= timeToStart.Seconds()
}
