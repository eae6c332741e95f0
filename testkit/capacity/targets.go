package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/discovery"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

var rng = rand.New(rand.NewPCG(1, 2))

func targetList(pool string, n int) []routing.Target {
	list := make([]routing.Target, n)
	for i := range list {
		list[i] = routing.Target{
			Incarnation: fmt.Sprintf("%s-%05d-1700000000", pool, i),
			Pool:        pool,
			Address:     fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
			DataCentre:  fmt.Sprint("dc-", i%fleetDataCentres),
			Slots:       16,
			Models:      []string{fmt.Sprint("model-", i%6)},
		}
	}
	return list
}

func measureTargets(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, SizeUnit: "target", DesignSize: designTargets, Budget: budget}
	}
	memory := series("routing table", "MB", memoryBudget)
	pick := series("Pick, Started and Done", "ns", 0)
	set := series("SetTargets", "us", 0)
	digest := series("Digest", "us", 0)
	kept := series("targets kept", "", 0)
	changed := series("one target changes, in 10 pools", "us", 0)
	for _, n := range o.sizes(12, 64, 400, 4000) {
		list := targetList("engines", n)
		pool := routing.Pool{Name: "engines"}
		now := time.Unix(1_000_000, 0)
		build := func() *routing.Table {
			t := routing.New(routing.Config{Instance: "instance-1", LocalDataCentre: "dc-0"})
			t.SetTargets(now, pool, list)
			return t
		}
		memory.add(n, heapSize(func() any { return build() })/megabyte)
		table := build()
		kept.add(n, float64(len(table.Stats(now).Targets)))
		query := routing.Query{Pool: "engines", Model: "model-1", Prefix: []routing.PrefixPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 500}}}
		pick.add(n, o.nsPerOp(func() { pickOnce(table, now, query) }))
		set.add(n, o.nsPerOp(func() { table.SetTargets(now, pool, list) })/1000)
		changed.add(n, o.nsPerOp(newTargetChange(n))/1000)
		digest.add(n, o.nsPerOp(func() { table.Digest(now) })/1000)
	}
	return []Series{memory, pick, set, digest, kept, changed}, nil
}

func pickOnce(table *routing.Table, now time.Time, query routing.Query) {
	choice, err := table.Pick(now, rng, query)
	if err != nil {
		return
	}
	handle := table.Started(now, choice.Target.Incarnation, 1)
	handle.Done(now, routing.Result{Outcome: routing.OutcomeOK, Latency: time.Second, Expected: time.Second})
}

// newTargetChange returns a function that applies a list of n targets in ten
// pools in which one target has changed.
func newTargetChange(n int) func() {
	now := time.Unix(1_000_000, 0)
	table := routing.New(routing.Config{Instance: "instance-1", LocalDataCentre: "dc-0"})
	gates := gate.NewGroup(gate.GroupConfig{}, func() time.Time { return now })
	found := discovery.New(table, gates, func() time.Time { return now })
	snapshot := &catalog.Snapshot{Pools: map[string]*catalog.Pool{}}
	for p := range exchangePools {
		name := fmt.Sprint("pool-", p)
		snapshot.Pools[name] = &catalog.Pool{Name: name, Kind: catalog.KindEngine, Slots: 16}
	}
	found.SetSnapshot(snapshot)
	list := make([]platformapi.TargetEntry, 0, n)
	for i, t := range targetList("t", n) {
		list = append(list, platformapi.TargetEntry{
			Pool: fmt.Sprint("pool-", i%exchangePools), Address: t.Address, DataCentre: t.DataCentre,
			Incarnation: t.Incarnation, State: platformapi.TargetReady,
		})
	}
	at := 0
	return func() {
		at = (at + 1) % n
		list[at].Incarnation += "x"
		found.SetTargets(append([]platformapi.TargetEntry(nil), list...))
		list[at].Incarnation = list[at].Incarnation[:len(list[at].Incarnation)-1]
	}
}
