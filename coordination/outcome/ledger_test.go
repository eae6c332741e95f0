package outcome

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A caller that receives "not run" submits the work again. The work would run twice if the
// result of an attempt that was sent before the refusal weren't counted, or if a hedge were
// sent after the refusal was written.
func TestSealNeverReturnsFalseNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		open, bad := 0, false
		steps := rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "steps")
		for _, s := range steps {
			switch {
			case s == 0:
				require.True(t, l.Dispatch())
				open++
			case open > 0:
				open--
				l.Settle(Verdict(s - 1))
				bad = bad || s != 1
			}
		}
		got := l.Seal()
		require.Equal(t, !bad && open == 0, got == NotRun)
		require.False(t, l.Dispatch(), "nothing leaves after the final answer")
	})
}

// A refusal must hold for the worst of a request's attempts: one with a lost response outweighs
// all that are known not to have run.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		settle []Verdict
		open   int
		want   Verdict
	}{
		"nothing sent":                  {want: NotRun},
		"refused by the target":         {settle: []Verdict{NotRun}, want: NotRun},
		"ran and failed":                {settle: []Verdict{NotRun, Ran}, want: Ran},
		"answer lost":                   {settle: []Verdict{Ran, Unknown}, want: Unknown},
		"still out when the time is up": {settle: []Verdict{NotRun}, open: 1, want: Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			for range c.open {
				l.Dispatch()
			}
			for _, v := range c.settle {
				l.Dispatch()
				l.Settle(v)
			}
			require.Equal(t, c.want, l.Seal())
		})
	}
}
