package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// costUnit is the fixed-point scale of costs kept in atomics.
const costUnit = 1000

// HashTarget returns the hash that digests name a target by.
func HashTarget(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}

// targetState is the mutable state of one incarnation. It outlives views; every
// field after the first block is an atomic. Times are Unix nanoseconds.
type targetState struct {
	hash  uint32
	added int64 // 0 for a target of the first list: it needs no slow start

	inFlight        atomic.Int64 // sum of costs, in 1/costUnit
	attemptAges     attemptAges
	inFlightHistory inFlightHistory
	peerInFlight    atomic.Int64 // requests in flight at peers
	peerInFlightAt  atomic.Int64
	report          atomic.Pointer[reportState]
	health          health
	prefixes        prefixIndex
	picks           atomic.Uint64
}

// reportState is a report, reduced to what others had at the target.
type reportState struct {
	otherLoad  float64
	totalLoad  float64
	slots      int
	measuredAt int64
}

func newTargetState(t Target, added int64, prefixSlots int) *targetState {
	s := &targetState{hash: HashTarget(t.Incarnation), added: added}
	s.prefixes.size = prefixSlots
	return s
}

func (s *targetState) ownLoad() float64 {
	return float64(s.inFlight.Load()) / costUnit
}

func (s *targetState) addInFlight(now int64, cost int64) {
	s.inFlightHistory.record(now, s.inFlight.Add(cost))
}

// The history covers historyBuckets × historyStep: more than the age at which
// a report is still of use.
const (
	historyBuckets = 32
	historyStep    = int64(100 * time.Millisecond)
)

// history remembers the own in-flight cost of the last seconds, so that a late
// report is compared with what this instance had at the target back then.
// Concurrent writers may lose one another's sample; the next one mends it.
type inFlightHistory struct {
	steps  [historyBuckets]atomic.Int64
	values [historyBuckets]atomic.Int64
}

func (h *inFlightHistory) record(now, value int64) {
	step := now / historyStep
	i := step % historyBuckets
	h.values[i].Store(value)
	h.steps[i].Store(step)
}

// before returns the newest value recorded at or before the moment; without
// one, current.
func (h *inFlightHistory) at(moment, current int64) int64 {
	step := moment / historyStep
	oldest := step - historyBuckets
	best := oldest
	value := current
	for i := range h.steps {
		at := h.steps[i].Load()
		if at <= step && at > best {
			best = at
			value = h.values[i].Load()
		}
	}
	return value
}

// applyReport keeps what others had at the target: the report's total less the
// own requests at the moment the report was taken.
func (s *targetState) applyReport(now time.Time, load Load, correct bool) {
	nowNS := now.UnixNano()
	own := s.inFlight.Load()
	if correct {
		own = s.inFlightHistory.at(nowNS-int64(load.Age), own)
	}
	total := float64(load.Active + load.Queued)
	r := &reportState{
		otherLoad:  math.Max(0, total-float64(own)/costUnit),
		totalLoad:  total,
		slots:      load.Slots,
		measuredAt: nowNS - int64(load.Age),
	}
	// Reports may arrive in another order than they were taken.
	if old := s.report.Load(); old != nil && old.measuredAt > r.measuredAt {
		return
	}
	s.report.Store(r)
}

// estimate returns the number of requests believed to be at the target.
func (s *targetState) estimatedLoad(now int64, c *Config) float64 {
	own := s.ownLoad()
	peers, fresh := s.peerLoad(now, c)
	r := s.report.Load()
	if r == nil || c.disabled(MechanismReports) {
		return own + peers
	}
	if c.disabled(MechanismAgeCorrection) {
		return math.Max(own+peers, r.totalLoad)
	}
	trust := 1 - float64(now-r.measuredAt)/float64(c.ReportTTL)
	if trust <= 0 {
		return own + peers
	}
	if !fresh {
		return own + trust*r.otherLoad
	}
	return own + trust*math.Max(peers, r.otherLoad) + (1-trust)*peers
}

func (s *targetState) peerLoad(now int64, c *Config) (load float64, fresh bool) {
	if c.disabled(MechanismPeerDigest) || now-s.peerInFlightAt.Load() > int64(c.DigestTTL) {
		return 0, false
	}
	return float64(s.peerInFlight.Load()), true
}

// slots returns the reported number of slots, else the configured one.
func (s *targetState) slots(configured int) float64 {
	if r := s.report.Load(); r != nil && r.slots > 0 {
		return float64(r.slots)
	}
	return float64(max(configured, 1))
}
