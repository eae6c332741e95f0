package capacity

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// designInFlight is the peak number of requests in flight at an instance, if
// each takes the longest deadline: 95 per second for 12 s.
const designInFlight = 1146

var stageNames = []string{"encode", "retrieve", "rerank", "generate"}

func measureRequests(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, SizeUnit: "request", DesignSize: designInFlight, Budget: budget}
	}
	status := series("status of requests in flight", "MB", memoryBudget)
	record := series("recording one request of four stages", "us", 0)
	gates := series("a gate's requests in flight", "MB", memoryBudget)
	acquire := series("Acquire and Release", "us", 0)
	now := time.Unix(1_000_000, 0)
	for _, n := range o.sizes(10, 1000, 10000) {
		status.add(n, heapSize(func() any { return newRequestTable(n, now) })/megabyte)
		table, next := newRequestTable(n, now), 0
		record.add(n, o.nsPerOp(func() {
			next++
			recordRequest(table, "r"+strconv.Itoa(next), now, true)
		})/1000)
		gates.add(n, heapSize(func() any { return newFilledGate(n, now) })/megabyte)
		g := newFilledGate(n, now)
		acquire.add(n, o.nsPerOp(func() {
			grant, err := g.Acquire(context.Background(), gate.Request{LatestStart: now.Add(time.Hour)})
			if err == nil {
				grant.Release()
			}
		})/1000)
	}
	spans, err := measureTelemetry(o)
	return append([]Series{status, record, gates, acquire}, spans...), err
}

func newRequestTable(n int, now time.Time) *requests.Table {
	table := requests.New(requests.Options{MaxRequests: 2 * n, Retention: time.Minute})
	for i := range n {
		recordRequest(table, "open-"+strconv.Itoa(i), now, false)
	}
	return table
}

func recordRequest(table *requests.Table, id string, now time.Time, finish bool) {
	ref := table.Begin(requests.Info{
		ID: id, Pipeline: "dossier", SchemaVersion: 1, Account: "account-1", Tier: "gold",
		Stages: stageNames, Deadline: 12 * time.Second, StartedAt: now,
	})
	for stage := range stageNames {
		attempt := table.StartAttempt(ref, requests.AttemptStart{Stage: stage, ID: id + "-a", Target: "engines-00001", At: now})
		if finish {
			table.EndAttempt(ref, attempt, requests.AttemptEnd{Result: requests.ResultOK, At: now})
		}
	}
	if finish {
		table.Finish(ref, requests.End{State: requests.StateAnswered, Outcome: requests.OutcomeRan, At: now})
	}
}

func newFilledGate(n int, now time.Time) *gate.Gate {
	g := gate.New("engines", tiers.Config{}, n+1, func() time.Time { return now })
	for range n {
		g.TryAcquire(gate.Request{LatestStart: now.Add(time.Hour)})
	}
	return g
}

// measureTelemetry measures the cost of the spans and counters of a request. A
// request has one span for each hop.
func measureTelemetry(o Options) ([]Series, error) {
	tel, err := telemetry.Start(context.Background(), telemetry.Options{Instance: "capacity"})
	if err != nil {
		return nil, err
	}
	defer func() { _ = tel.Shutdown(context.Background()) }()
	spans := Series{Quantity: "spans of a request, traces off", Unit: "us", SizeUnit: "span", DesignSize: 13}
	counts := Series{Quantity: "counters of a request", Unit: "us", SizeUnit: "counter", DesignSize: 13}
	for _, n := range o.sizes(1, 5, 13) {
		spans.add(n, o.nsPerOp(func() {
			for i := range n {
				_, span := tel.Tracer.Start(context.Background(), stageNames[i%len(stageNames)])
				span.End()
			}
		})/1000)
		counts.add(n, o.nsPerOp(func() {
			for i := range n {
				tel.Scope.Tagged(map[string]string{"stage": stageNames[i%len(stageNames)]}).Counter("attempts").Inc(1)
			}
		})/1000)
	}
	return []Series{spans, counts}, nil
}

// instanceName returns the name of the i-th instance of a measurement.
func instanceName(i int) string { return fmt.Sprintf("instance-%03d", i) }
