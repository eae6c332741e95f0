package baseline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/stretchr/testify/require"
)

// counts returns the number of picks per target in 1000 picks, after results in which t0
// was slow and t1 failed, with three attempts in flight at t2.
func counts(t *testing.T, s Strategy, exclude ...string) map[string]int {
	r := New(s)
	var targets []routing.Target
	for i := range 4 {
		targets = append(targets, routing.Target{Incarnation: fmt.Sprintf("t%d", i)})
	}
	r.SetTargets(time.Time{}, routing.Pool{Name: "p"}, targets)
	for range 50 {
		r.Started("t0")(routing.Result{Latency: 3 * time.Second, Expected: time.Second})
		r.Started("t1")(routing.Result{Outcome: routing.OutcomeFailed})
	}
	for range 3 {
		r.Started("t2")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	n := map[string]int{}
	for range 1000 {
		choice, err := r.Pick(time.Time{}, rng, routing.Query{Pool: "p", Exclude: exclude})
		require.NoError(t, err)
		n[choice.Target.Incarnation]++
	}
	return n
}

func TestStrategies(t *testing.T) {
	for _, tc := range []struct {
		strategy Strategy
		// least and most of 1000 picks for t0 (slow), t1 (fails), t2 (3 in flight)
		least, most [3]int
	}{
		{Random{}, [3]int{200, 200, 200}, [3]int{300, 300, 300}},
		{&RoundRobin{}, [3]int{250, 250, 250}, [3]int{250, 250, 250}},
		{LeastOutstanding{}, [3]int{280, 280, 0}, [3]int{390, 390, 0}},
		{TwoChoices{}, [3]int{280, 280, 0}, [3]int{390, 390, 0}},
		{RatingRounds{}, [3]int{0, 0, 400}, [3]int{0, 0, 600}},
	} {
		n := counts(t, tc.strategy)
		for i, name := range []string{"t0", "t1", "t2"} {
			require.GreaterOrEqual(t, n[name], tc.least[i], "%T %s", tc.strategy, name)
			require.LessOrEqual(t, n[name], tc.most[i], "%T %s", tc.strategy, name)
		}
		require.Zero(t, counts(t, tc.strategy, "t3")["t3"])
	}
	// The second round samples among the targets that the first excludes.
	require.Equal(t, 1000, counts(t, RatingRounds{}, "t0", "t2", "t3")["t1"])
}

func TestNoTargetIsAnError(t *testing.T) {
	r := New(Random{})
	_, err := r.Pick(time.Time{}, nil, routing.Query{Pool: "p"})
	require.ErrorContains(t, err, `pool "p"`)
}
