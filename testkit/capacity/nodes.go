package capacity

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

// Times of the measurements of a fleet, in virtual time.
const (
	// fleetWarmUp is the time after which the membership updates of a
	// simultaneous start, which each instance forwards a limited number of
	// times, are no longer sent.
	fleetWarmUp        = 16 * time.Minute
	fleetLength        = 60 * time.Second
	convergenceTimeout = 5 * time.Minute
)

// recordBytes is the size of the body of a configuration record.
const recordBytes = 200

// changesPerDay is the number of configuration changes to plan for.
const changesPerDay = 8400

func measureNodes(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, SizeUnit: "node", DesignSize: designNodes, Budget: budget}
	}
	processor := series("virtual: processor time", "ms/s a node", cpuBudget)
	probes := series("virtual: membership sent", "B/s a node", sendBudget)
	records := series("virtual: records sent", "B/s a node", sendBudget)
	loads := series("virtual: load digests sent", "B/s a node", sendBudget)
	all := series("virtual: sent in all", "B/s a node", sendBudget)
	state := series("virtual: state", "MB a node", memoryBudget)
	join := series("virtual: all see all after a common start", "s", 0)
	fresh := series("virtual: peers whose load digest is under 2 s old", "%", 0)
	age := series("virtual: mean age of the load digests held", "s", 0)
	propagation := series("virtual: a record is everywhere", "s", 3)
	for _, n := range o.sizes(8, 64, 220, 440) {
		var f *fleet
		size := heapSize(func() any { f = newFleet(n).joinAndWarmUp(&join); return f })
		if f == nil {
			return nil, errors.Newf("%d instances did not find one another", n)
		}
		f.sent = traffic{}
		start := cpuTime()
		f.runWithChanges(fleetLength)
		perNode := float64(n) * fleetLength.Seconds()
		processor.add(n, (cpuTime()-start).Seconds()*1000/perNode)
		probes.add(n, float64(f.sent.membership)/perNode)
		records.add(n, float64(f.sent.records)/perNode)
		loads.add(n, float64(f.sent.loads)/perNode)
		all.add(n, float64(f.sent.bytes())/perNode)
		state.add(n, size/float64(n)/megabyte)
		freshShare, mean := f.digestFreshness()
		fresh.add(n, freshShare)
		age.add(n, mean)
		propagation.add(n, f.propagationTime().Seconds())
	}
	return []Series{processor, probes, records, loads, all, state, fresh, age, join, propagation}, nil
}

// joinAndWarmUp runs until all instances have all others in their views and the
// traffic of the start is over. It returns nil if the views don't converge.
func (f *fleet) joinAndWarmUp(join *Series) *fleet {
	took, ok := f.converge(convergenceTimeout)
	if !ok {
		return nil
	}
	join.add(len(f.nodes), took.Seconds())
	f.run(fleetWarmUp)
	return f
}

// runWithChanges runs with configuration changes at the rate of changesPerDay.
func (f *fleet) runWithChanges(length time.Duration) {
	const every = 24 * time.Hour / changesPerDay
	revision := uint64(1)
	for end := f.now.Add(length); f.now.Before(end); revision++ {
		f.putRecord(fmt.Sprint("account-", revision), revision)
		f.run(min(every, end.Sub(f.now)))
	}
}

func (f *fleet) putRecord(name string, revision uint64) {
	r := spread.Record{Kind: recordKind, Name: name, Revision: revision, Body: make([]byte, recordBytes)}
	f.applyGossip(f.nodes[0], f.nodes[0].gossip.Put(r))
}

// propagationTime measures five times how long a record takes to reach every
// instance, and returns the longest time.
func (f *fleet) propagationTime() time.Duration {
	var longest time.Duration
	for i := range 5 {
		name, revision := fmt.Sprint("timed-", i), uint64(1_000_000+i)
		f.putRecord(name, revision)
		begun := f.now
		for !f.recordReachedAll(name, revision) && f.now.Sub(begun) < time.Minute {
			f.step()
		}
		longest = max(longest, f.now.Sub(begun))
	}
	return longest
}

// digestFreshness returns the share of the peers, in percent, whose load digest
// an instance holds and may still use, and the mean age in seconds of all the
// digests that it holds.
func (f *fleet) digestFreshness() (freshShare, mean float64) {
	var count, useful int
	var sum time.Duration
	for _, node := range f.nodes {
		for _, l := range node.gossip.Loads(f.now) {
			if l.Origin == node.self.Name {
				continue
			}
			count++
			sum += l.Age
			if l.Age < routing.DefaultDigestTTL {
				useful++
			}
		}
	}
	pairs := len(f.nodes) * (len(f.nodes) - 1)
	return 100 * float64(useful) / float64(pairs), sum.Seconds() / float64(max(count, 1))
}
