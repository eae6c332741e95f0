package capacity

import "github.com/ivyhollow/ivyhollow/coordination/membership"

// measureOwners measures the CPU time of a new membership view, and of finding
// the owners of a key and the neighbours of an instance in it.
func measureOwners(o Options) ([]Series, error) {
	series := func(quantity string) Series {
		return Series{Quantity: quantity, Unit: "us", SizeUnit: "node", DesignSize: designNodes}
	}
	owners, neighbours, view := series("Owners of a key"), series("Neighbours"), series("a new view")
	for _, n := range o.sizes(8, 64, 440) {
		list := make([]membership.Member, n)
		for i := range list {
			list[i] = fleetMember(i)
		}
		v := membership.NewView(1, list[0].Name, list)
		owners.add(n, o.nsPerOp(func() { membership.Owners(v, "configuration-watchers", 3) })/1000)
		neighbours.add(n, o.nsPerOp(func() { membership.Neighbours(v, rings) })/1000)
		view.add(n, o.nsPerOp(func() { membership.NewView(1, list[0].Name, list) })/1000)
	}
	return []Series{owners, neighbours, view}, nil
}
