package soak

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Requests counts all requests, Served those with a complete successful response.
	Requests, Served int
	// Losses are counted only in runs of planned work.
	Losses Losses
	// Streams are counted only in runs with several software versions.
	Streams StreamCounts
	// Accounts are counted only in runs with several client accounts.
	Accounts []AccountCounts
	// Violations are the guarantees that were broken, Faults the log of injected faults and
	// planned work.
	Violations, Faults []string
}

const (
	// recoveryTime is how long after the last fault the fleet must serve normally again.
	recoveryTime = 4 * time.Second
	// observationTime is how long the fleet is observed after recoveryTime, and minServedShare
	// the share of requests that it must serve in that time.
	observationTime = 2 * time.Second
	minServedShare  = 0.9
	// seriesPauseWithFaults is the time between two series of planned stops in runs with other
	// faults, seriesPausePlanned in runs without.
	seriesPauseWithFaults = 3 * time.Second
	seriesPausePlanned    = 200 * time.Millisecond
)

// Run runs the soak with one seed.
func Run(o Options) (Report, error) {
	tb, err := newTestbed(o)
	if err != nil {
		return Report{}, err
	}
	defer tb.close()
	time.Sleep(time.Second) // the instances discover each other
	report := Report{Seed: o.Seed}
	var all []callResult
	switch {
	case o.Planned:
		all, report.Losses = tb.runPlanned()
	case o.Cuts:
		all = tb.runCuts()
	case o.Accounts:
		all, report.Accounts = tb.runAccounts()
	case o.Versions:
		all, report.Streams = tb.runVersions()
	default:
		all = tb.runFaults()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	report.Requests, report.Violations, report.Faults = len(all), tb.violations, tb.faults
	for _, a := range all {
		if a.status == http.StatusOK && a.complete {
			report.Served++
		}
	}
	return report, nil
}

// runFaults injects faults of all kinds and does planned work while callers use the fleet.
func (tb *testbed) runFaults() []callResult {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	crashes := make(chan []callResult, 1)
	go func() { crashes <- tb.runCrashCaller(ctx) }()
	all, calmFrom := whileInUse(tb.runCallers, func() {
		until := time.Now().Add(tb.options.Faults)
		var wg sync.WaitGroup
		wg.Go(func() { tb.runPlannedWork(until, seriesPauseWithFaults) })
		wg.Go(func() { tb.injectEngineFaults(until) })
		wg.Go(func() { tb.runDrains(until) })
		wg.Go(func() { tb.cutInstances(until, maxOverlappingCut) })
		if tb.options.Pauses {
			wg.Go(func() { tb.pauseTargets(until) })
		}
		tb.injectFaults(until)
		wg.Wait()
		tb.removeTargetsAfterSilences(tb.options.Silences)
		time.Sleep(recoveryTime)
		tb.checkDrain()
	})
	stop()
	crashing := <-crashes
	log := tb.readTargetLog()
	tb.checkColdLimit()
	tb.checkCrashes(crashing, log, calmFrom)
	tb.checkResults(all, crashing, log, calmFrom)
	tb.checkEndings(all, log)
	return all
}

// runPlanned does only planned work while callers use the fleet.
func (tb *testbed) runPlanned() ([]callResult, Losses) {
	exchanges, calmFrom := whileInUse(tb.runPersistentCallers, func() {
		until := time.Now().Add(tb.options.Faults)
		var wg sync.WaitGroup
		wg.Go(func() { tb.runDrains(until) })
		wg.Go(func() { tb.nameLimit(until) })
		if tb.options.Pauses {
			wg.Go(func() { tb.pauseTargets(until) })
		}
		tb.runPlannedWork(until, seriesPausePlanned)
		wg.Wait()
	})
	all := make([]callResult, 0, len(exchanges))
	for _, x := range exchanges {
		all = append(all, x.callResult)
	}
	log := tb.readTargetLog()
	tb.checkColdLimit()
	tb.checkResults(all, nil, log, calmFrom)
	return all, tb.checkPlanned(exchanges, log)
}

// whileInUse runs disturb while callers use the fleet, and lets them go on until the fleet has
// been observed. The fleet must serve normally from calmFrom on.
func whileInUse[T any](use func(context.Context) []T, disturb func()) (all []T, calmFrom time.Time) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	results := make(chan []T, 1)
	go func() { results <- use(ctx) }()
	disturb()
	calmFrom = time.Now().Add(recoveryTime)
	time.Sleep(recoveryTime + observationTime)
	stop()
	return <-results, calmFrom
}
