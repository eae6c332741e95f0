package experiment

import (
	"fmt"
	"time"
)

// Fault names the fault that a run injects.
type Fault string

// The faults of the grid.
const (
	FaultNone         Fault = "none"
	FaultStraggler    Fault = "straggler"
	FaultGrey         Fault = "grey"
	FaultFailFast     Fault = "fail_fast"
	FaultBurst        Fault = "burst"
	FaultDCLost       Fault = "dc_lost"
	FaultStaleReports Fault = "stale_reports_2s"
	FaultStoreDown    Fault = "store_down"
	FaultReplaced     Fault = "replaced"
)

// Faults lists the faults of the grid.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultStraggler, FaultGrey, FaultFailFast,
		FaultBurst, FaultDCLost, FaultStaleReports, FaultStoreDown, FaultReplaced,
	}
}

const (
	stragglerSlowness = 6.0
	greySlowness      = 2.0
	// burstRate multiplies the arrival rate for burstLength every burstInterval.
	burstRate     = 2.5
	burstLength   = time.Second
	burstInterval = 6 * time.Second
	// An engine is replaced every replaceInterval; the new one is slow until it
	// has warmed up.
	replaceInterval = 4 * time.Second
	coldSlowness    = 4.0
	warmUpTime      = 3 * time.Second
	// targetListDelay is the delay until the platform's list of targets shows a
	// failure or a recovery.
	targetListDelay = 5 * time.Second
	// reportAge and staleAge are the usual age of load reports and their age
	// under FaultStaleReports.
	reportAge = 300 * time.Millisecond
	staleAge  = 2 * time.Second
)

// window is the time during which a fault is active: the middle half of a run.
type window struct{ from, to time.Duration }

func faultWindow(length time.Duration) window {
	return window{length / 4, length * 3 / 4}
}

func (w window) contains(t time.Duration) bool {
	return t >= w.from && t < w.to
}

// rateFactor returns the function that multiplies the arrival rate at a moment.
func (f Fault) rateFactor(w window) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if f == FaultBurst && w.contains(t) && (t-w.from)%burstInterval < burstLength {
			return burstRate
		}
		return 1
	}
}

// inject schedules the fault of the run. FaultStraggler, FaultGrey and
// FaultFailFast affect the first engine and the first target of one service;
// FaultStoreDown affects the first engine, and the list of targets isn't updated.
func (r *run) inject(w window) {
	engine := r.pools["engines"][0]
	switch r.config.Fault {
	case FaultStraggler:
		r.slowDown(w, stragglerSlowness, engine, r.pools["rerankers"][0])
	case FaultGrey:
		r.slowDown(w, greySlowness, engine, r.pools["retrievers"][0])
	case FaultFailFast:
		for _, t := range []*target{engine, r.pools["encoders"][0]} {
			r.clock.at(w.from, func() { t.failing = true })
			r.clock.at(w.to, func() { t.failing = false })
		}
	case FaultDCLost:
		r.failDataCentre(w, dataCentre(0))
	case FaultStoreDown:
		// An engine fails while the list of targets can't be updated.
		r.clock.at(w.from, engine.crash)
		r.clock.at(w.to, func() { engine.down = false })
	case FaultReplaced:
		for n := range int((w.to - w.from) / replaceInterval) {
			r.clock.at(w.from+time.Duration(n)*replaceInterval, func() { r.replaceEngine(n) })
		}
	case FaultNone, FaultBurst, FaultStaleReports:
	}
}

func (r *run) slowDown(w window, slowness float64, targets ...*target) {
	for _, t := range targets {
		r.clock.at(w.from, func() { t.slowness = slowness })
		r.clock.at(w.to, func() { t.slowness = 1 })
	}
}

// replaceEngine replaces an engine in the list of targets by a new incarnation,
// which is slow until it has warmed up. The old incarnation finishes its work.
func (r *run) replaceEngine(n int) {
	engines := r.pools[enginePool]
	index := n % len(engines)
	old := engines[index]
	spec := old.spec
	spec.Incarnation = fmt.Sprintf("%s-%d", spec.Incarnation, n)
	t := r.addTarget(spec, old.stage)
	engines[index] = t
	t.slowness = coldSlowness
	r.clock.after(warmUpTime, func() { t.slowness = 1 })
	r.clock.every(r.clock.now, loadSampleInterval, t.sampleLoad)
	r.publishTargets()
}

// failDataCentre stops the targets and instances of a data centre during the
// window. The balancer sends its clients to the other instances at once; the
// platform's list of targets is updated targetListDelay after the failure and
// after the recovery.
func (r *run) failDataCentre(w window, name string) {
	r.clock.at(w.from, func() {
		r.failedDataCentre = name
		for _, t := range r.targets {
			if t.spec.DataCentre == name {
				t.crash()
			}
		}
		for _, i := range r.instances {
			if i.dataCentre == name {
				i.fail()
			}
		}
	})
	r.clock.at(w.from+targetListDelay, r.publishTargets)
	r.clock.at(w.to, func() {
		r.failedDataCentre = ""
		for _, t := range r.targets {
			t.down = false
		}
		for _, i := range r.instances {
			i.failed = false
		}
	})
	r.clock.at(w.to+targetListDelay, r.publishTargets)
}

// reportAge returns the age that load reports have now.
func (r *run) reportAge() time.Duration {
	if r.config.Fault == FaultStaleReports && r.window.contains(r.clock.now) {
		return staleAge
	}
	return reportAge
}
