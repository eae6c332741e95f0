package capacity

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// fault is one failure of a fleet of the target size.
type fault struct {
	name string
	// begin makes the failure, end ends it after length; both may be nil.
	inject, heal func(*fleet)
	duration     time.Duration
}

// rackNodes is an instance rack's share of the fleet: 22 of 440.
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

// faultsAtOnce bounds the fleets that are played at once.
const maxParallelFaults = 2

// measureFaults reports each failure as series of one point.
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

// play lets the fault happen to a fleet at rest.
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

// minute measures the minute after an event.
func (f *fleet) measureMinute(name string) []Series {
	f.sent = traffic{}
	begun := f.now
	took, ok := f.converge(convergenceTimeout)
	if rest := time.Minute - f.now.Sub(begun); rest > 0 {
		f.run(rest)
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
