package placing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Instances are restarted in turn, and the queue changes hands each time. A next holder
// that knows nothing of what engines have read has the prompts of all subjects read
// once more whose engine isn't that of their hash.
func TestNextHolderKnowsWhatWasRead(t *testing.T) {
	before, after := newFleetSim(9), newFleetSim(9)
	placed := map[string]string{}
	prompt := func(i, own int) *Prompt {
		return &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{fmt.Sprint("subject", i), 6000}, {fmt.Sprint("own", i, own), 1000}}}
	}
	for i := range 100 {
		p := prompt(i, 1)
		c, _ := before.table.Choose(start, p, noTransferCost)
		before.table.RecordSent(start, fmt.Sprint(i), p, c)
		placed[fmt.Sprint(i)] = c.Engine.Incarnation
	}
	known := before.table.Caches()
	for _, k := range known {
		for _, part := range k.Parts {
			require.NotContains(t, part.ID, "own", "nobody else reads it")
		}
	}
	after.table.MergeCaches(start, known)
	for i := range 100 {
		c, _ := after.table.Choose(start, prompt(i, 2), noTransferCost)
		require.Equal(t, placed[fmt.Sprint(i)], c.Engine.Incarnation)
	}
}
