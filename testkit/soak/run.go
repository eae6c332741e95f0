package soak

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Report is what a run found.
type Report struct {
	Seed uint64
	// Answers counts the requests, Served those answered well.
	Requests, Served int
	// Losses are counted in runs of planned work only.
	Losses Losses
	// Broken are the promises that were broken, Faults what was done.
	Violations, Faults []string
}

const (
	// settle is how long after the last fault the fleet has to be well again.
	recoveryTime = 4 * time.Second
	// calm is how long it is watched then, and calmShare what it must serve.
	observationTime = 2 * time.Second
	minServedShare  = 0.9
	// restAmongFaults is the time between two series of planned stops where other
	// faults come as well, restPlanned where they don't.
	seriesPauseWithFaults = 3 * time.Second
	seriesPausePlanned    = 200 * time.Millisecond
)

// Run plays one seed.
func Run(o Options) (Report, error) {
	w, err := newTestbed(o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	time.Sleep(time.Second) // the instances find one another
	report := Report{Seed: o.Seed}
	var all []callResult
	if o.Planned {
		all, report.Losses = w.runPlanned()
	} else {
		all = w.runFaults()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	report.Requests, report.Violations, report.Faults = len(all), w.violations, w.faults
	for _, a := range all {
		if a.status == http.StatusOK && a.complete {
			report.Served++
		}
	}
	return report, nil
}

// runFaults harms the fleet in all ways while callers use it.
func (w *testbed) runFaults() []callResult {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	crashes := make(chan []callResult, 1)
	go func() { crashes <- w.runCrashCaller(ctx) }()
	all, calmFrom := whileInUse(w.runCallers, func() {
		until := time.Now().Add(w.options.Faults)
		var wg sync.WaitGroup
		wg.Go(func() { w.runPlannedWork(until, seriesPauseWithFaults) })
		wg.Go(func() { w.injectEngineFaults(until) })
		w.injectFaults(until)
		wg.Wait()
		w.removeTargetsAfterSilences(w.options.Silences)
	})
	stop()
	crashing := <-crashes
	s := w.readTargetLog()
	w.checkCrashes(crashing, s, calmFrom)
	w.checkResults(all, crashing, s, calmFrom)
	return all
}

// runPlanned does planned work only while callers use the fleet.
func (w *testbed) runPlanned() ([]callResult, Losses) {
	exchanges, calmFrom := whileInUse(w.runPersistentCallers, func() {
		w.runPlannedWork(time.Now().Add(w.options.Faults), seriesPausePlanned)
	})
	all := make([]callResult, 0, len(exchanges))
	for _, x := range exchanges {
		all = append(all, x.callResult)
	}
	s := w.readTargetLog()
	w.checkResults(all, nil, s, calmFrom)
	return all, w.checkPlanned(exchanges, s)
}

// during has callers use the fleet while it is harmed, and until it must be well
// again: from calmFrom on.
func whileInUse[T any](use func(context.Context) []T, harm func()) (all []T, calmFrom time.Time) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	results := make(chan []T, 1)
	go func() { results <- use(ctx) }()
	harm()
	calmFrom = time.Now().Add(recoveryTime)
	time.Sleep(recoveryTime + observationTime)
	stop()
	return <-results, calmFrom
}
