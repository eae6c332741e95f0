package gather

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/fairshare"
)

const (
	// demandHalfLife is the half-life of the rates at which accounts ask for a service. An account
	// that begins or ends is known within a second or two; a shorter one would take the scatter
	// of a few requests a second for a change.
	demandHalfLife = time.Second
	// maxSharingAccounts bounds the accounts that are remembered for a service and a rank. Beyond
	// it the one that asked least recently counts as new.
	maxSharingAccounts = 1024
	// shareInterval is how often the shares are computed: some times in the shortest objective.
	shareInterval = 50 * time.Millisecond
	// contestedYieldingShare and heldYieldingShare replace minYieldingShare while accounts ask for
	// more than a service's capacity, for requests of several stages and where other accounts get part
	// of it. Requests that yield rarely get more before the overload ends, and admitting more of them
	// runs first stages for nothing. What was admitted so is refused only for a wait three times as
	// long as at its admission: at the same bound, the next change in the queue would refuse it.
	contestedYieldingShare = minYieldingShare / 2
	heldYieldingShare      = 3 * contestedYieldingShare
)

// shares divides the capacity of one service between client accounts.
type shares struct {
	weights map[string]float64
	// ranks has the demands by the base rank of requests. Each rank divides what the higher
	// ones leave.
	ranks      map[float64]*rankShares
	computedAt time.Time
	// keysRenewedAt is when the keys of what waits were set anew.
	keysRenewedAt time.Time
	// boundSince is since when accounts ask for more than the capacity.
	boundSince time.Time
	// queued has the work that waits, by account, rank and objective.
	queued map[string]*accountWork
}

// rankShares has the demands of one rank.
type rankShares struct {
	demands *fairshare.Rates
	// capacity is what the accounts divide, in target-seconds a second. level is the share for
	// each unit of weight, +Inf if the demands fit.
	capacity, level float64
	// accounts is the number of accounts that ask.
	accounts int
	// timely has the pieces of the requests that were admitted without yielding.
	timely rate
}

// newShares returns nil if accounts don't share capacity.
func newShares(c *Config) *shares {
	if !c.AccountSharing {
		return nil
	}
	return &shares{weights: c.AccountWeights, ranks: map[float64]*rankShares{}, queued: map[string]*accountWork{}}
}

func (h *shares) weight(account string) float64 {
	if w := h.weights[account]; w > 0 {
		return w
	}
	return 1
}

func (h *shares) rank(rank float64) *rankShares {
	r := h.ranks[rank]
	if r == nil {
		r = &rankShares{demands: fairshare.NewRates(demandHalfLife, maxSharingAccounts), level: math.Inf(1), timely: rate{halfLife: demandHalfLife}}
		h.ranks[rank] = r
	}
	return r
}

// exceeds reports whether an account asks for more than its share.
func (r *rankShares) exceeds(now time.Time, account string, weight float64) bool {
	return r.demands.Rate(now, account) > r.level*weight
}

// withinShare reports whether accounts ask for more than the service's capacity, and the stage's account
// for no more than its share.
func (s *heldStage) withinShare(now time.Time) bool {
	return s.service.sharesBind() && !s.service.sharesOf(now, s.request).exceeds(now, s.request.Account, s.service.shares.weight(s.request.Account))
}

// countTimely counts a request that was admitted without yielding.
func (p *Planner) countTimely(now time.Time, req *heldRequest) {
	if !p.config.AccountSharing || req.yields {
		return
	}
	for _, s := range req.stages {
		if s.Pieces > 0 {
			s.service.shares.rank(req.baseRank()).timely.add(now, s.Pieces)
		}
	}
}

// timelyLoad returns the share of the service used by requests of higher rank that were admitted without
// yielding.
func (s *service) timelyLoad(now time.Time, rank float64) float64 {
	pieces := 0.0
	for other, r := range s.shares.ranks {
		if other < rank {
			pieces += r.timely.perSecond(now)
		}
	}
	capacity := s.capacity(now)
	return pieces * (s.callTime().Seconds()/float64(max(s.config.MaxPieces, 1)) + s.config.PieceTime.Seconds()) / capacity
}

// cost returns the time that the stage takes of a target, as part of full calls.
func (s *heldStage) cost() float64 {
	return s.service.workTime(queuedWork{s.Pieces, time.Duration(s.Pieces) * s.pieceTime()})
}

// workTime returns how many seconds of one target some work takes in full calls.
func (s *service) workTime(w queuedWork) float64 {
	return float64(w.pieces)/float64(max(s.config.MaxPieces, 1))*s.callTime().Seconds() + w.pieceTime.Seconds()
}

// countDemand counts what a new request asks of the services, whether or not it is admitted. A
// request that can't meet its deadline even at idle targets takes nothing from others.
func (p *Planner) countDemand(now time.Time, req *heldRequest) {
	if !p.config.AccountSharing || now.Add(p.minRemaining(req)).After(req.Deadline) {
		return
	}
	for _, s := range req.stages {
		if s.Pieces > 0 {
			s.service.shares.rank(req.baseRank()).demands.Add(now, req.Account, s.cost())
			s.service.sharesOf(now, req)
			if req.predictions == nil {
				p.renewKeys(now, s.service)
			}
		}
	}
}

// sharesOf returns the shares of the request's rank.
func (s *service) sharesOf(now time.Time, req *heldRequest) *rankShares {
	if now.Sub(s.shares.computedAt) >= shareInterval || now.Before(s.shares.computedAt) {
		s.computeShares(now)
	}
	return s.shares.rank(req.baseRank())
}

// expireShares computes the shares anew without a request, so that they follow demands that end.
func (s *service) expireShares(now time.Time) {
	if s.shares != nil {
		s.computeShares(now)
	}
}

// computeShares divides the capacity between the accounts of each rank. A rank gets what the higher
// ones leave, and at least what predictions leave to work that yields.
func (s *service) computeShares(now time.Time) {
	s.shares.computedAt = now
	bound := s.sharesBind()
	total := s.capacity(now) * float64(max(s.config.Slots, 1))
	left := total
	for _, rank := range slices.Sorted(maps.Keys(s.shares.ranks)) {
		r := s.shares.ranks[rank]
		r.demands.Prune(now)
		demands := r.demands.Demands(now, s.shares.weight)
		if len(demands) == 0 {
			delete(s.shares.ranks, rank)
			continue
		}
		r.accounts = len(demands)
		r.capacity = max(left, minYieldingShare*total)
		if r.level = math.Inf(1); r.capacity > 0 {
			r.level = fairshare.Level(r.capacity, demands)
		}
		for _, d := range demands {
			left -= d.Rate
		}
	}
	if !bound && s.sharesBind() {
		s.shares.boundSince = now
	}
}

// ownAhead returns the queued work of the request's account that precedes the request at a position.
// Where accounts compete, work that yields precedes only later work that yields: otherwise it would
// keep all requests of the account behind those of others until they yield too.
func (h *shares) ownAhead(r *rankShares, req *heldRequest, at queuePosition) queuedWork {
	own := h.queued[req.Account]
	if own == nil {
		return queuedWork{}
	}
	last := bucketOf(req.Objective)
	sum := own.timely.upTo(at.rank, last)
	if at.yields || r.accounts == 1 {
		sum.add(own.yielding.upTo(at.rank, last))
	}
	if base := req.baseRank(); at.yields && base != at.rank {
		sum.add(own.timely.upTo(base, math.MaxInt64))
		sum.add(own.yielding.upTo(base, math.MaxInt64))
	}
	return sum
}

// sharesBind reports whether accounts ask for more than the service's capacity.
func (s *service) sharesBind() bool {
	if s.shares == nil {
		return false
	}
	for _, r := range s.shares.ranks {
		if !math.IsInf(r.level, 1) {
			return true
		}
	}
	return false
}

// ownWait returns the wait for the work of higher ranks and for the work of the stage's own account,
// which takes longer by what the other accounts get of the rank. For an account that gets all, this
// is the wait by position. A position that yields is behind all work of the account.
func (s *heldStage) ownWait(now time.Time, at queuePosition, capacity float64) float64 {
	sv := s.service
	if sv.shares == nil {
		return 0
	}
	r := sv.sharesOf(now, s.request)
	if math.IsInf(r.level, 1) {
		return 0
	}
	own := sv.workTime(sv.shares.ownAhead(r, s.request, at))
	stretch := r.capacity / (r.level * sv.shares.weight(s.request.Account))
	wait := (sv.workTime(sv.backlog.above(s.request.baseRank())) + own*max(stretch, 1)) / capacity
	return min(wait, maxKeyDelay.Seconds()) * float64(time.Second)
}

// upTo returns the work of a rank up to a bucket.
func (b *backlog) upTo(rank float64, last int64) queuedWork {
	if r := b.ranks[rank]; r != nil {
		return r.upTo(last)
	}
	return queuedWork{}
}

// above returns the work of higher ranks.
func (b *backlog) above(rank float64) queuedWork {
	var sum queuedWork
	for other, r := range b.ranks {
		if other < rank {
			sum.add(r.total)
		}
	}
	return sum
}

// accountWork has the queued work of one account, that of requests that yield apart.
type accountWork struct{ timely, yielding backlog }

func (w *accountWork) of(req *heldRequest) *backlog {
	if req.yields {
		return &w.yielding
	}
	return &w.timely
}

// addQueued adds a stage's entry in the backlog to the queued work of its account.
func (h *shares) addQueued(s *heldStage) {
	if h == nil {
		return
	}
	own := h.queued[s.request.Account]
	if own == nil {
		own = &accountWork{newBacklog(), newBacklog()}
		h.queued[s.request.Account] = own
	}
	e := &s.backlogEntry
	own.of(s.request).add(e.rank, e.objective, e.queuedWork)
}

// removeQueued removes what addQueued added.
func (h *shares) removeQueued(s *heldStage) {
	if h == nil {
		return
	}
	own, e := h.queued[s.request.Account], &s.backlogEntry
	own.of(s.request).remove(e.rank, e.objective, e.queuedWork)
	if len(own.timely.ranks)+len(own.yielding.ranks) == 0 {
		delete(h.queued, s.request.Account)
	}
}

// minYieldingShare returns the minimum share of the service's capacity that predictions leave to the
// stage if its request yields.
func (s *heldStage) minYieldingShare(now time.Time) float64 {
	if s.service.shares == nil {
		return minYieldingShare
	}
	r := s.service.sharesOf(now, s.request)
	if math.IsInf(r.level, 1) || len(s.request.stages) == 1 && r.accounts == 1 {
		return minYieldingShare
	}
	within, left := s.withinShare(now), 0.0
	if within {
		left = 1 - s.service.timelyLoad(now, s.request.baseRank()+missedObjectivePenalty)
	}
	switch {
	case s.request.held:
		return max(heldYieldingShare, left)
	case within:
		// The others are admitted by less. Where nearly all requests yield, their arrivals don't go first.
		return max(minYieldingShare, left)
	case now.After(s.request.latestStart):
		// It would be late at idle targets, and so would all of its kind: they don't yield to others.
		return minYieldingShare
	default:
		return contestedYieldingShare
	}
}

// clearQueued forgets the queued work of all accounts.
func (h *shares) clearQueued() {
	if h != nil {
		clear(h.queued)
	}
}
