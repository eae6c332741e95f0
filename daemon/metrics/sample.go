package metrics

import (
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// classes are the kinds of calls to the platform, as label values.
var classLabels = map[platform.Class]label{
	platform.ClassRead:  {"kind", "read"},
	platform.ClassWrite: {"kind", "write"},
}

// calls reports the calls to the platform and the state of their budget.
func (s *Sampler) sampleCalls() {
	for class, kind := range classLabels {
		c := s.opts.Calls.ClassStats(class)
		// Sent holds the others; the rest got an answer or were given up.
		s.series.raiseCounter(c.Sent-c.Limited-c.Failed, "platform_calls", kind, label{"result", "answered"})
		s.series.raiseCounter(c.Limited, "platform_calls", kind, label{"result", "limited"})
		s.series.raiseCounter(c.Failed, "platform_calls", kind, label{"result", "failed"})
		s.series.raiseCounter(c.Held, "platform_calls", kind, label{"result", "held"})
		s.series.setGauge(c.Rate, "platform_rate", kind)
	}
	outage := 0.0
	if s.opts.Calls.Stats().Outage {
		outage = 1
	}
	s.series.setGauge(outage, "platform_outage")
}

// reasons are those of a gate's refusals.
var refusalReasons = []tiers.Reason{tiers.ReasonQueueFull, tiers.ReasonDisplaced, tiers.ReasonTooLate}

// gates reports the queues before the pools.
func (s *Sampler) sampleGates() {
	s.opts.Gates.Each(func(pool string, own *gate.Gate) {
		stats := own.Stats()
		by := label{"pool", pool}
		s.series.setGauge(float64(stats.Capacity), "gate_capacity", by)
		for rank := range tiers.MaxRanks {
			s.setRankGauges(by, rank, stats.Queued[rank], stats.InFlight[rank])
		}
		refused := own.Refused()
		for _, reason := range refusalReasons {
			s.series.raiseCounter(refused[reason], "gate_refused", by, label{"reason", string(reason)})
		}
	})
	s.series.raiseCounter(s.opts.Gates.NoCapacity(), "gate_refused_no_target")
}

// rank reports one rank of a gate. A rank that was never used has no series.
func (s *Sampler) setRankGauges(pool label, rank, queued, inFlight int) {
	place := label{"rank", strconv.Itoa(rank)}
	_, known := s.series.gauges[newSeriesID("gate_queued", []label{pool, place})]
	if !known && queued == 0 && inFlight == 0 && rank != 0 {
		return
	}
	s.series.setGauge(float64(queued), "gate_queued", pool, place)
	s.series.setGauge(float64(inFlight), "gate_in_flight", pool, place)
}

// routing reports the choice of targets. Single targets have no series.
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

// status reports the table of requests and empties it of what is past its
// retention: without requests nothing else does.
func (s *Sampler) sampleStatus(now time.Time) {
	s.opts.Status.Expire(now)
	stats := s.opts.Status.Stats()
	s.series.setGauge(float64(stats.Requests), "status_requests")
	s.series.setGauge(float64(stats.Bytes), "status_bytes")
	s.series.raiseCounter(stats.Unrecorded, "status_unrecorded")
	for tier, a := range s.opts.Status.Attainment() {
		by := label{"tier", tier}
		s.series.raiseCounter(a.Attained, "deadline_requests", by, label{"result", "attained"})
		s.series.raiseCounter(a.Ended-a.Attained, "deadline_requests", by, label{"result", "missed"})
	}
}
