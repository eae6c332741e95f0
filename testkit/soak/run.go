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
	Answers, Served int
	// Losses are counted in runs of planned work only.
	Losses Losses
	// Broken are the promises that were broken, Faults what was done.
	Broken, Faults []string
}

const (
	// settle is how long after the last fault the fleet has to be well again.
	settle = 4 * time.Second
	// calm is how long it is watched then, and calmShare what it must serve.
	calm      = 2 * time.Second
	calmShare = 0.9
	// restAmongFaults is the time between two series of planned stops where other
	// faults come as well, restPlanned where they don't.
	restAmongFaults = 3 * time.Second
	restPlanned     = 200 * time.Millisecond
)

// Run plays one seed.
func Run(o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	time.Sleep(time.Second) // the instances find one another
	report := Report{Seed: o.Seed}
	var all []answer
	if o.Planned {
		all, report.Losses = w.runPlanned()
	} else {
		all = w.runFaults()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	report.Answers, report.Broken, report.Faults = len(all), w.broken, w.faults
	for _, a := range all {
		if a.status == http.StatusOK && a.whole {
			report.Served++
		}
	}
	return report, nil
}

// runFaults harms the fleet in all ways while callers use it.
func (w *world) runFaults() []answer {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	crashes := make(chan []answer, 1)
	go func() { crashes <- w.crashCaller(ctx) }()
	all, calmFrom := during(w.callers, func() {
		until := time.Now().Add(w.options.Faults)
		var wg sync.WaitGroup
		wg.Go(func() { w.plan(until, restAmongFaults) })
		wg.Go(func() { w.troubleEngines(until) })
		w.harm(until)
		wg.Wait()
		w.leaveAfterSilences(w.options.Silences)
	})
	stop()
	crashing := <-crashes
	s := w.seen()
	w.checkCrashing(crashing, s, calmFrom)
	w.check(all, crashing, s, calmFrom)
	return all
}

// runPlanned does planned work only while callers use the fleet.
func (w *world) runPlanned() ([]answer, Losses) {
	exchanges, calmFrom := during(w.keepers, func() {
		w.plan(time.Now().Add(w.options.Faults), restPlanned)
	})
	all := make([]answer, 0, len(exchanges))
	for _, x := range exchanges {
		all = append(all, x.answer)
	}
	s := w.seen()
	w.check(all, nil, s, calmFrom)
	return all, w.checkPlanned(exchanges, s)
}

// during has callers use the fleet while it is harmed, and until it must be well
// again: from calmFrom on.
func during[T any](use func(context.Context) []T, harm func()) (all []T, calmFrom time.Time) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	results := make(chan []T, 1)
	go func() { results <- use(ctx) }()
	harm()
	calmFrom = time.Now().Add(settle)
	time.Sleep(settle + calm)
	stop()
	return <-results, calmFrom
}
