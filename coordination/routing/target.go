package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// costUnit is the fixed-point scale of costs that are stored in atomics.
const costUnit = 1000

// HashTarget returns the hash that identifies a target in digests.
func HashTarget(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}

// targetState is the mutable state of one incarnation. It is shared by successive
// views; all fields after the first block are changed with atomic operations. Times
// are Unix nanoseconds.
type targetState struct {
	hash  uint32
	added int64 // 0 for a target of the pool's first list, which needs no slow start

	inFlight        atomic.Int64 // cost from this instance, in 1/costUnit
	attemptAges     attemptAges
	inFlightHistory inFlightHistory
	peerInFlight    atomic.Int64 // requests in flight at peers
	peerInFlightAt  atomic.Int64
	report          atomic.Pointer[reportState]
	health          health
	prefixes        prefixIndex
	picks           atomic.Uint64
	costs           targetCosts
}

// reportState is a load report, split into this instance's part and that of others.
type reportState struct {
	otherLoad  float64
	totalLoad  float64
	slots      int
	measuredAt int64
}

func newTargetState(t Target, added int64, prefixTableSize int) *targetState {
	s := &targetState{hash: HashTarget(t.Incarnation), added: added}
	s.prefixes.size = prefixTableSize
	return s
}

func (s *targetState) ownLoad() float64 {
	return float64(s.inFlight.Load()) / costUnit
}

func (s *targetState) addInFlight(now int64, cost int64) {
	s.inFlightHistory.record(now, s.inFlight.Add(cost))
}

// The history covers historyBuckets × historyStep, which is longer than the age at
// which a report is still used.
const (
	historyBuckets = 32
	historyStep    = int64(100 * time.Millisecond)
)

// inFlightHistory holds this instance's in-flight cost over the last seconds, so that
// a delayed report is compared with the cost at the time it was taken. Concurrent
// writers may overwrite each other's sample; the next sample corrects that.
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

// at returns the latest value recorded at or before the moment, or current if there is
// none.
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

// applyReport stores a load report. The load from others is the reported total less
// this instance's in-flight cost: with correctAge set, the cost at the time the report was
// taken, otherwise the current one.
func (s *targetState) applyReport(now time.Time, load Load, correctAge bool) {
	nowNS := now.UnixNano()
	own := s.inFlight.Load()
	if correctAge {
		own = s.inFlightHistory.at(nowNS-int64(load.Age), own)
	}
	total := float64(load.Active + load.Queued)
	r := &reportState{
		otherLoad:  math.Max(0, total-float64(own)/costUnit),
		totalLoad:  total,
		slots:      load.Slots,
		measuredAt: nowNS - int64(load.Age),
	}
	// Reports may arrive out of order.
	if old := s.report.Load(); old != nil && old.measuredAt > r.measuredAt {
		return
	}
	s.report.Store(r)
}

// estimatedLoad returns the estimated number of requests at the target. The weight of
// the last report falls linearly with its age; peers' digests make up the remaining part.
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
	weight := 1 - float64(now-r.measuredAt)/float64(c.ReportTTL)
	if weight <= 0 {
		return own + peers
	}
	if !fresh {
		return own + weight*r.otherLoad
	}
	return own + weight*math.Max(peers, r.otherLoad) + (1-weight)*peers
}

func (s *targetState) peerLoad(now int64, c *Config) (load float64, fresh bool) {
	if c.disabled(MechanismPeerDigest) || now-s.peerInFlightAt.Load() > int64(c.DigestTTL) {
		return 0, false
	}
	return float64(s.peerInFlight.Load()), true
}

// slots returns the reported number of slots, or the configured number if none was
// reported.
func (s *targetState) slots(configured int) float64 {
	if r := s.report.Load(); r != nil && r.slots > 0 {
		return float64(r.slots)
	}
	return float64(max(configured, 1))
}
