package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// recoveryBound is the time within which a fleet has to serve again after a loss of instances.
const recoveryBound = 15 * time.Second

// More than half of the instances are lost for good. The others must soon use all targets again:
// with only those that the hash assigns to the survivors, most requests are refused for hours.
func TestSurvivorsOfALastingLossGrantAllTargets(t *testing.T) {
	const instances, survivors = 7, 3
	now := time.Unix(1000, 0)
	nodes := map[string]*membership.Membership{}
	var addresses []string
	var deliver func(from *membership.Membership, actions []membership.Action)
	deliver = func(from *membership.Membership, actions []membership.Action) {
		for _, a := range actions {
			if s, ok := a.(membership.Send); ok && nodes[s.To] != nil {
				to := nodes[s.To]
				deliver(to, to.Receive(now, from.Self(), s.Message))
			}
		}
	}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, address := range addresses {
				if m := nodes[address]; m != nil {
					deliver(m, m.Tick(now))
				}
			}
		}
	}
	for i := range instances {
		self := membership.Member{Name: fmt.Sprint("i", i), Address: fmt.Sprint("10.0.0.", i, ":7"), DataCentre: "dc", Incarnation: 1}
		m := membership.New(membership.DefaultConfig(), self, rand.New(rand.NewPCG(uint64(i), 1)))
		addresses, nodes[self.Address] = append(addresses, self.Address), m
		deliver(m, m.Seed(now, []membership.Member{{Address: addresses[0]}}))
	}
	run(20 * time.Second)
	require.Nil(t, Grants(nodes[addresses[0]].View()), "no restriction while all are alive")
	for _, address := range addresses[survivors:] {
		delete(nodes, address)
	}
	run(recoveryBound)
	grants := Grants(nodes[addresses[0]].View())
	for n := range 50 {
		target := fmt.Sprint("t", n)
		require.True(t, grants == nil || grants(target), "no survivor may send to %s", target)
	}
}
