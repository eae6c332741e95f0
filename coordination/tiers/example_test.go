package tiers_test

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// In a pool of one slot the second request waits. A later request of a higher
// tier is dispatched at once and waits in the target's own queue; the lower tier
// dispatches nothing until a slot is free again.
func ExampleGate() {
	now := time.Unix(0, 0)
	due := now.Add(time.Minute)
	gate := tiers.NewGate(tiers.Config{}, 1)
	show := func(event string, actions []tiers.Action) {
		for _, a := range actions {
			fmt.Println(event, "starts", a.ID, a.Kind == tiers.Dispatch)
		}
	}
	show("first", gate.Enqueue(now, tiers.Item{ID: 1, Rank: 2, LatestStart: due}))
	show("second", gate.Enqueue(now, tiers.Item{ID: 2, Rank: 2, LatestStart: due}))
	show("third", gate.Enqueue(now, tiers.Item{ID: 3, Rank: 0, LatestStart: due}))
	show("end of first", gate.Finished(now, 1))
	show("end of third", gate.Finished(now, 3))
	// Output:
	// first starts 1 true
	// third starts 3 true
	// end of third starts 2 true
}
