package stages

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// TestCallsOfWhoseEndsNoWordComesAreForgotten guards against notes of calls in progress that
// stay for good, where the queue has moved on and the instance that has the call is gone.
func TestCallsOfWhoseEndsNoWordComesAreForgotten(t *testing.T) {
	const within = time.Second
	give := func(o *Owner) {
		o.freeze()
		o.moved("at-b")
	}
	keep := func(o *Owner) { o.thaw(o.freeze()) }
	cases := map[string]func(*Owner){
		"kept":                            keep,
		"given away":                      give,
		"kept by a hand-over, then given": func(o *Owner) { keep(o); keep(o); give(o) },
		"given away and taken back": func(o *Owner) {
			give(o)
			o.mayTakeBack(true)
			o.takeBack("at-b")
		},
		"given away and come back": func(o *Owner) {
			o.freeze()
			state := o.exported
			o.moved("at-b")
			o.mayTakeBack(true)
			require.True(t, o.takeOver(sender{"b", 2}, state))
		},
		"on its way": func(o *Owner) {
			o.freeze()
			time.AfterFunc(2*(within+endedMargin), func() { o.moved("at-b") })
		},
	}
	for name, move := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(2)
				c.answer = takes(t)
				s := startStages(t, c)
				holdCall(t, s, within)
				move(s.owner)
				time.Sleep(3 * (within + endedMargin))
				s.owner.adoptedEnded(sender{"z", 1}, 7, gather.CallAnswered, nil)
				s.owner.mu.Lock()
				defer s.owner.mu.Unlock()
				require.Empty(t, s.owner.movedCalls)
				require.Empty(t, s.owner.renamed)
				require.Empty(t, s.owner.adopted)
				require.Zero(t, s.owner.planner.Calls())
				if name != "on its way" {
					require.Empty(t, c.calls("at-b"), "the next holder finds out for itself")
				}
			})
		})
	}
}
