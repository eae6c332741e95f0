package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is an eligible target with what a pick computed of it.
type candidate struct {
	target       *targetView
	load         float64 // estimated requests at the target
	score        float64 // lower is better
	cachedTokens int
	ejection     ejectionState
}

// Pick chooses a target. It returns *NoTargetError when the pool has none that
// is eligible: an unknown pool, all leaving, excluded or unfit.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q Query) (Choice, error) {
	p := t.view.Load().pools[q.Pool]
	if p == nil {
		return Choice{}, &NoTargetError{Pool: q.Pool}
	}
	pick := pick{table: t, pool: p, query: &q, rng: rng, now: now.UnixNano()}
	if err := pick.collectEligible(); err != nil {
		t.counts.noTarget.Add(1)
		return Choice{}, err
	}
	chosen, reason := pick.choose()
	chosen.target.picks.Add(1)
	t.counts.reasons[reason].Add(1)
	pick.recordPrefix(chosen)
	return Choice{
		Target:       chosen.target.Target,
		Reason:       reason,
		CachedTokens: chosen.cachedTokens,
		Load:         chosen.load,
	}, nil
}

// pick is the work of one Pick.
type pick struct {
	table *Table
	pool  *poolView
	query *Query
	rng   *rand.Rand
	now   int64
	// candidates are pointers, so that drawing may reorder them while an earlier
	// choice is still held.
	candidates   []*candidate
	prefixHashes []uint64
	// tried are the data centres of the excluded targets.
	triedDataCentres []string
}

// collect finds the eligible targets.
func (p *pick) collectEligible() error {
	eligible := make([]candidate, 0, len(p.pool.targets))
	none := NoTargetError{Pool: p.query.Pool, Known: len(p.pool.targets)}
	for _, target := range p.pool.targets {
		switch {
		case target.leaving:
			none.Leaving++
		case slices.Contains(p.query.Exclude, target.Incarnation):
			none.Excluded++
			p.triedDataCentres = append(p.triedDataCentres, target.DataCentre)
		case !target.Fits(p.query):
			none.Unfit++
		default:
			eligible = append(eligible, candidate{target: target})
		}
	}
	if len(eligible) == 0 {
		return &none
	}
	p.candidates = make([]*candidate, len(eligible))
	for i := range eligible {
		p.candidates[i] = &eligible[i]
	}
	return nil
}

// choose applies the rules in their order: probe, floor, affinity, load.
func (p *pick) choose() (*candidate, Reason) {
	if len(p.candidates) == 1 {
		p.scoreCandidates()
		return p.candidates[0], ReasonOnly
	}
	floored := false
	if !p.table.config.disabled(MechanismEjection) {
		if probe := p.probe(); probe != nil {
			return probe, ReasonProbe
		}
		floored = p.dropEjected()
	}
	p.scoreCandidates()
	c, reason := p.byRule()
	if floored && c.ejection != notEjected {
		reason = ReasonFloor
	}
	return c, reason
}

func (p *pick) byRule() (*candidate, Reason) {
	if c := p.preferred(); c != nil {
		return c, ReasonPreferred
	}
	if p.query.HomeKey != "" {
		return p.byHome()
	}
	if len(p.query.Prefix) > 0 && !p.table.config.disabled(MechanismAffinity) {
		return p.byPrefix()
	}
	return p.byLoad()
}

// preferred is the candidate that the query prefers; nil if it isn't among them.
func (p *pick) preferred() *candidate {
	if p.query.Preferred == "" {
		return nil
	}
	for _, c := range p.candidates {
		if c.target.Incarnation == p.query.Preferred {
			return c
		}
	}
	return nil
}

// probePatience is how long a due probe waits for a request of a lower tier.
const probeLowerTierWait = int64(time.Second)

// probe returns an ejected target whose time is over and which this pick may
// try. One probe at a time guards against the stampede on a target that is
// back; requests of the highest tier are risked only when no other came.
func (p *pick) probe() *candidate {
	for _, c := range p.candidates {
		h := &c.target.health
		c.ejection = h.ejectionState(p.now)
		if c.ejection != probeDue {
			continue
		}
		if p.query.Rank == 0 && p.now-h.ejectedUntil.Load() < probeLowerTierWait {
			continue
		}
		if h.claimProbe(p.now) {
			return c
		}
	}
	return nil
}

// dropEjected leaves ejected targets out, but for as many of those whose time
// ends first as the floor asks for. It tells whether it kept some.
func (p *pick) dropEjected() bool {
	slices.SortStableFunc(p.candidates, func(a, b *candidate) int {
		return cmp.Compare(a.ejectedUntil(), b.ejectedUntil())
	})
	healthy := 0
	for _, c := range p.candidates {
		if c.ejection == notEjected {
			healthy++
		}
	}
	keep := max(healthy, p.pool.minRoutable(len(p.candidates)))
	p.candidates = p.candidates[:keep]
	return keep > healthy
}

func (c *candidate) ejectedUntil() int64 {
	if c.ejection == notEjected {
		return 0
	}
	return c.target.health.ejectedUntil.Load()
}

// floor is the least number of n targets that stay routable.
func (p *poolView) minRoutable(n int) int {
	return min(n, max(1, int(math.Ceil(p.pool.EjectionFloor*float64(n)))))
}

// headroomWeight is what a busy but not yet full target counts: it breaks ties
// towards the emptier one, since batching slows an engine a little.
const utilizationWeight = 0.3

// triedPenalty is added to the score of targets in a data centre where the
// stage was already sent: when a data centre is lost, an attempt there fails,
// and a second one beside it would fail alike and use up the retries.
const triedPenalty = 1.0

// assess estimates each candidate's load and score: how long a request takes
// there, relative to its usual time on an idle target.
func (p *pick) scoreCandidates() {
	config := &p.table.config
	cost := p.query.Cost
	if cost <= 0 {
		cost = 1
	}
	for _, c := range p.candidates {
		c.load = c.target.estimatedLoad(p.now, config)
		use := (c.load + cost) / c.target.slots(c.target.Slots)
		c.score = 1 + utilizationWeight*math.Min(use, 1) + math.Max(0, use-1)
		if !config.disabled(MechanismLatency) {
			c.score *= max(c.target.health.slowdown(p.now), c.target.attemptAges.slowdown(p.now, use))
		}
		if slices.Contains(p.triedDataCentres, c.target.DataCentre) && !config.disabled(MechanismRetryElsewhere) {
			c.score += triedPenalty
		}
	}
}

// remotePenalty is how much better a target of another data centre has to be:
// a third of its slots more free than the local one's.
const remotePenalty = 0.1

// byLoad compares a sample of the local targets with one of the others, and
// takes the farther one where it is better by a margin. The samples share
// Config.Choices between them: with a full sample of each, instances whose
// digests are equally old chase the same few targets.
func (p *pick) byLoad() (*candidate, Reason) {
	if p.table.config.disabled(MechanismLocalFirst) {
		return p.bestOfChoices(func(*candidate) bool { return true }), ReasonLoad
	}
	isLocal := func(c *candidate) bool { return c.target.local }
	isRemote := func(c *candidate) bool { return !c.target.local }
	half := (p.table.config.Choices + 1) / 2
	local := p.bestOfSample(half, isLocal)
	remote := p.bestOfSample(half, isRemote)
	switch {
	case remote == nil:
		return p.bestOfChoices(isLocal), ReasonLoad
	case local == nil:
		return p.bestOfChoices(isRemote), ReasonOverflow
	case remote.score+remotePenalty < local.score:
		return remote, ReasonOverflow
	default:
		return local, ReasonLoad
	}
}

// sample draws Config.Choices distinct candidates and returns the best.
func (p *pick) bestOfChoices(from func(*candidate) bool) *candidate {
	return p.bestOfSample(p.table.config.Choices, from)
}

// best draws up to limit distinct candidates and returns the best. Each is
// passed over with the probability that its share asks for, unless all are.
func (p *pick) bestOfSample(limit int, from func(*candidate) bool) *candidate {
	var best, fallback *candidate
	seen := 0
	n := len(p.candidates)
	// A partial Fisher-Yates shuffle draws without replacement.
	for i := 0; i < n && seen < limit; i++ {
		j := i + p.rng.IntN(n-i)
		p.candidates[i], p.candidates[j] = p.candidates[j], p.candidates[i]
		c := p.candidates[i]
		if !from(c) {
			continue
		}
		if p.passedOver(c) {
			fallback = better(fallback, c)
			continue
		}
		seen++
		best = better(best, c)
	}
	if best == nil {
		return fallback
	}
	return best
}

func (p *pick) passedOver(c *candidate) bool {
	share := c.target.trafficShare(p.now, &p.table.config)
	return share < 1 && p.rng.Float64() >= share
}

func better(a, b *candidate) *candidate {
	if a == nil || b.score < a.score {
		return b
	}
	return a
}

// remember notes that the chosen target will cache the prompt's parts.
func (p *pick) recordPrefix(c *candidate) {
	if p.table.config.disabled(MechanismAffinity) {
		return
	}
	p.hashPrefix()
	for _, h := range p.prefixHashes {
		c.target.prefixes.add(p.now, h)
	}
}

func (p *pick) hashPrefix() {
	if p.prefixHashes != nil || len(p.query.Prefix) == 0 {
		return
	}
	p.prefixHashes = make([]uint64, len(p.query.Prefix))
	for i, part := range p.query.Prefix {
		p.prefixHashes[i] = xxhash.Sum64String(part.ID)
	}
}
