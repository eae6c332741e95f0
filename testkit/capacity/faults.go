package capacity

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// fault is a failure that is injected into a fleet of the design size.
type fault struct {
	name string
	// inject starts the failure, heal ends it after duration. heal is nil for
	// a failure that lasts.
	inject, heal func(*fleet)
	duration     time.Duration
}

// rackNodes is the number of instances in a rack: 22 of 440.
const rackNodes = designNodes / 20

func faults() []fault {
	return []fault{
		{
			name:     "regions parted for an hour",
			inject:   func(f *fleet) { f.partitioned = true },
			heal:     func(f *fleet) { f.partitioned = false },
			duration: time.Hour,
		},
		{name: "nothing", inject: func(*fleet) {}},
		{name: "one instance lost", inject: func(f *fleet) { f.stopNodes(1) }},
		{name: "a rack of 22 lost", inject: func(f *fleet) { f.stopNodes(rackNodes) }},
		{name: "a data centre of 88 lost", inject: func(f *fleet) { f.stopDataCentre() }},
	}
}

func (f *fleet) stopNodes(n int) {
	for _, node := range f.nodes[1 : 1+n] {
		node.down = true
	}
}

func (f *fleet) stopDataCentre() {
	centre := f.nodes[1].self.DataCentre
	for _, node := range f.nodes {
		if node.self.DataCentre == centre {
			node.down = true
		}
	}
}

// maxParallelFaults is the largest number of fleets that are simulated at once.
const maxParallelFaults = 2

// measureFaults returns series of one point for each failure.
func measureFaults(o Options) ([]Series, error) {
	n := designNodes
	if o.Quick {
		n = 40
	}
	list := faults()
	results := make([][]Series, len(list))
	var group errgroup.Group
	group.SetLimit(maxParallelFaults)
	for i, fault := range list {
		group.Go(func() error {
			results[i] = fault.measure(n, o.Quick)
			return nil
		})
	}
	err := group.Wait()
	return slices.Concat(results...), err
}

// measure injects the fault into a fleet that has converged, and measures the
// minute after the fault's start. Unless quick is set or the fault is permanent, it
// also measures the minute after the fault's end.
func (fault fault) measure(n int, quick bool) []Series {
	f := newFleet(n)
	f.converge(convergenceTimeout)
	f.run(fleetWarmUp)
	fault.inject(f)
	all := f.measureMinute(fault.name)
	if fault.heal == nil || quick {
		return all
	}
	f.run(fault.duration - time.Minute)
	fault.heal(f)
	return append(all, f.measureMinute(fault.name+", over")...)
}

// measureMinute measures the traffic of the next minute, or of the time until
// the views have converged if this takes more than a minute.
func (f *fleet) measureMinute(name string) []Series {
	f.sent = traffic{}
	begun := f.now
	took, ok := f.converge(convergenceTimeout)
	if remaining := time.Minute - f.now.Sub(begun); remaining > 0 {
		f.run(remaining)
	}
	lasted := f.now.Sub(begun).Seconds()
	n := len(f.nodes)
	point := func(quantity, unit string, budget, value float64) Series {
		s := Series{Quantity: name + ": " + quantity, Unit: unit, SizeUnit: "node", DesignSize: float64(n), Budget: budget}
		s.add(n, value)
		return s
	}
	if !ok {
		name += " (NOT steady within the limit)"
	}
	perNode := float64(n) * lasted
	return []Series{
		point("until all views are right", "s", 0, took.Seconds()),
		point("messages", "1/s a node", 0, float64(f.sent.messages)/perNode),
		point("sent", "B/s a node", sendBudget, float64(f.sent.bytes())/perNode),
	}
}
