package metrics

import (
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// classLabels are the labels of the classes of calls to the platform.
var classLabels = map[platform.Class]label{
	platform.ClassRead:  {"kind", "read"},
	platform.ClassWrite: {"kind", "write"},
}

// sampleCalls reports the calls to the platform and the state of their budget.
func (s *Sampler) sampleCalls() {
	for class, kind := range classLabels {
		c := s.opts.Calls.ClassStats(class)
		// Sent includes Limited and Failed; the remaining calls were answered or abandoned.
		s.series.raiseCounter(c.Sent-c.Limited-c.Failed, "platform_calls", kind, label{"result", "answered"})
		s.series.raiseCounter(c.Limited, "platform_calls", kind, label{"result", "limited"})
		s.series.raiseCounter(c.Failed, "platform_calls", kind, label{"result", "failed"})
		s.series.raiseCounter(c.NotAdmitted, "platform_calls", kind, label{"result", "held"})
		s.series.setGauge(c.Rate, "platform_rate", kind)
	}
	outage := 0.0
	if s.opts.Calls.Stats().Outage {
		outage = 1
	}
	s.series.setGauge(outage, "platform_outage")
}

// refusalReasons are the reasons of a gate's refusals.
var refusalReasons = []tiers.Reason{tiers.ReasonQueueFull, tiers.ReasonDisplaced, tiers.ReasonTooLate}

// sampleGates reports the queues of the pools' gates.
func (s *Sampler) sampleGates() {
	s.opts.Gates.Each(func(pool string, own *gate.Gate) {
		stats := own.Stats()
		poolLabel := label{"pool", pool}
		s.series.setGauge(float64(stats.Capacity), "gate_capacity", poolLabel)
		for rank := range tiers.MaxRanks {
			s.setRankGauges(poolLabel, rank, stats.Queued[rank], stats.InFlight[rank])
		}
		refused := own.Refused()
		for _, reason := range refusalReasons {
			s.series.raiseCounter(refused[reason], "gate_refused", poolLabel, label{"reason", string(reason)})
		}
	})
	s.series.raiseCounter(s.opts.Gates.NoCapacity(), "gate_refused_no_target")
}

// setRankGauges reports one rank of a gate. A rank that was never used has no series, but
// rank 0 always has.
func (s *Sampler) setRankGauges(pool label, rank, queued, inFlight int) {
	rankLabel := label{"rank", strconv.Itoa(rank)}
	_, known := s.series.gauges[newSeriesID("gate_queued", []label{pool, rankLabel})]
	if !known && queued == 0 && inFlight == 0 && rank != 0 {
		return
	}
	s.series.setGauge(float64(queued), "gate_queued", pool, rankLabel)
	s.series.setGauge(float64(inFlight), "gate_in_flight", pool, rankLabel)
}

// sampleRouting reports the choice of targets. Single targets have no series.
func (s *Sampler) sampleRouting(now time.Time) {
	stats := s.opts.Router.Stats(now)
	for reason, n := range stats.Picks {
		s.series.raiseCounter(n, "routing_picks", label{"reason", reason.String()})
	}
	s.series.raiseCounter(stats.Refused, "routing_refused")
	s.series.raiseCounter(stats.Ejections, "routing_ejections")
	s.series.raiseCounter(stats.EjectionsPrevented, "routing_floored")
	pools := make(map[string]targetCounts)
	for _, t := range stats.Targets {
		pools[t.Pool] = pools[t.Pool].add(t)
	}
	s.setPoolGauges(pools)
}

// sampleStatus reports the status table and removes the requests past their retention:
// without new requests nothing else removes them.
func (s *Sampler) sampleStatus(now time.Time) {
	s.opts.Status.Expire(now)
	stats := s.opts.Status.Stats()
	s.series.setGauge(float64(stats.Requests), "status_requests")
	s.series.setGauge(float64(stats.Bytes), "status_bytes")
	s.series.raiseCounter(stats.Unrecorded, "status_unrecorded")
	for tier, a := range s.opts.Status.Attainment() {
		tierLabel := label{"tier", tier}
		s.series.raiseCounter(a.Attained, "deadline_requests", tierLabel, label{"result", "attained"})
		s.series.raiseCounter(a.Ended-a.Attained, "deadline_requests", tierLabel, label{"result", "missed"})
	}
}
