package placing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Instances are restarted in turn, and the queue is handed over each time. If the next holder
// didn't know the caches, it would choose another engine for each subject that isn't at its
// home, and the subject's prompt would be processed once more.
func TestNextHolderLearnsCaches(t *testing.T) {
	before, after := newFleetSim(9), newFleetSim(9)
	chosen := map[string]string{}
	prompt := func(i, own int) *Prompt {
		return &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{fmt.Sprint("subject", i), 6000}, {fmt.Sprint("own", i, own), 1000}}}
	}
	for i := range 100 {
		p := prompt(i, 1)
		c, _ := before.table.Choose(start, p, noTransferCost)
		before.table.RecordSent(start, fmt.Sprint(i), p, c)
		chosen[fmt.Sprint(i)] = c.Engine.Incarnation
	}
	caches := before.table.Caches()
	for _, k := range caches {
		for _, part := range k.Parts {
			require.NotContains(t, part.ID, "own", "no other request has it")
		}
	}
	after.table.MergeCaches(start, caches)
	for i := range 100 {
		c, _ := after.table.Choose(start, prompt(i, 2), noTransferCost)
		require.Equal(t, chosen[fmt.Sprint(i)], c.Engine.Incarnation)
	}
}
