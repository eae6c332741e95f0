package tiers

import (
	"math"
	"time"
)

// dispatch appends the actions that are due to out: refusals of what waited
// past the point of use, then dispatches in order of rank.
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

// slack keeps rounding from withholding the last slot.
const roundingSlack = 1e-6

// place starts the first item of a rank, cancelling lower work for it where
// that is called for. Where lower ranks hold all slots the item starts even so:
// the lower ranks start nothing until the surplus is gone, and until then the
// targets' own queues hold it, in order of the priority passed to them. Holding
// it back here by the peers' reported work in flight was tried and stalls short
// stages: the reports are older than the work, so all instances wait on one
// another while the targets idle.
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

// limits computes what this instance may have in flight. It goes by what this
// instance told its peers, not by what it wants now, and by the lesser of the
// last two words: the peers' words are a period old as well, and an instance
// that counts its own part of a flood before the peers' parts takes all slots.
// A peer whose digest is missing is taken to want what we want:
// it shares the targets whether we hear it or not, and taking it for idle would
// let each side of a parted network fill the targets alone.
func (g *Gate) inFlightLimits() rankLimits {
	d := demand{instances: float64(g.peers.Instances)}
	unheard := float64(max(g.peers.Instances-1-g.peers.Reporting, 0))
	for r := range d.own {
		d.own[r] = float64(min(g.lastDigest.Ranks[r].Demand, g.previousDigest.Ranks[r].Demand))
		if g.peers.Instances == 1 {
			d.own[r] = float64(g.demandAverages[r].current)
		}
		d.total[r] = d.own[r]*(1+unheard) + float64(g.peers.Ranks[r].Demand)
	}
	return g.atLeastOne(divideCapacity(float64(g.capacity), d, g.config.PriorityScheduling))
}

// atLeastOne lets every instance have one request of the highest queued rank in
// flight: with fewer slots than instances, every part would round to none.
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

// totalInFlight is what all instances are thought to have in flight.
func (g *Gate) totalInFlight() float64 {
	total := float64(len(g.running))
	for r := range g.peers.Ranks {
		total += float64(g.peers.Ranks[r].InFlight)
	}
	return total
}

// victim picks the running work that is cancelled so that the first item of
// rank can start, or nil when the targets have room or will have it soon
// enough: a cancelled generation pays for its prompt twice. It takes the lowest
// rank and, within it, what began last and so loses least.
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

// safety is how many times over a slot must come free within an item's slack
// before nothing is cancelled for it.
const slotFreeSafetyFactor = 4

func (g *Gate) slotFreesInTime(now time.Time, rank int, over float64) bool {
	wait := over / g.holdTime.completionRate(g.totalInFlight())
	left := g.queues[rank].first().LatestStart.Sub(now)
	return wait*slotFreeSafetyFactor <= left.Seconds()
}
