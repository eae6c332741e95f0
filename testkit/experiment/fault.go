package experiment

import (
	"fmt"
	"time"
)

// Fault names what goes wrong during a run.
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
	// burstRate multiplies the arrivals for burstLength every burstInterval.
	burstRate     = 2.5
	burstLength   = time.Second
	burstInterval = 6 * time.Second
	// An engine is replaced every replaceInterval; the new one is slow until it
	// has warmed up.
	replaceInterval = 4 * time.Second
	coldSlowness    = 4.0
	warmUpTime      = 3 * time.Second
	// listLag is how late the platform's list follows.
	targetListDelay = 5 * time.Second
	// reportAge and staleAge are how old load reports are.
	reportAge = 300 * time.Millisecond
	staleAge  = 2 * time.Second
)

// window is when a fault is on: the middle half of a run.
type window struct{ from, to time.Duration }

func faultWindow(length time.Duration) window {
	return window{length / 4, length * 3 / 4}
}

func (w window) contains(t time.Duration) bool {
	return t >= w.from && t < w.to
}

// surge returns the factor of the arrivals at a moment.
func (f Fault) rateFactor(w window) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if f == FaultBurst && w.contains(t) && (t-w.from)%burstInterval < burstLength {
			return burstRate
		}
		return 1
	}
}

// inject schedules the fault. The first engine and, for the faults of a single
// target, the first target of one service fail.
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
		// An engine dies while the list can't tell.
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

// replaceEngine takes an engine out of the list, where it ends its work, and
// puts a new incarnation in its place.
func (r *run) replaceEngine(n int) {
	engines := r.pools[enginePool]
	place := n % len(engines)
	old := engines[place]
	spec := old.spec
	spec.Incarnation = fmt.Sprintf("%s-%d", spec.Incarnation, n)
	t := r.addTarget(spec, old.stage)
	engines[place] = t
	t.slowness = coldSlowness
	r.clock.after(warmUpTime, func() { t.slowness = 1 })
	r.clock.every(r.clock.now, loadSampleInterval, t.sampleLoad)
	r.publishTargets()
}

// loseDataCentre stops the targets and the instances of a data centre. The
// balancer sends its clients to the other instances; the platform's list
// follows after listLag, and again when all are back.
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

// reportAge returns how old load reports are now.
func (r *run) reportAge() time.Duration {
	if r.config.Fault == FaultStaleReports && r.window.contains(r.clock.now) {
		return staleAge
	}
	return reportAge
}
