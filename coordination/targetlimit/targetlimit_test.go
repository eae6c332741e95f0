package targetlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_000_000)

func limited(perSecond float64) Statement { return Statement{Limited: true, PerSecond: perSecond} }

// Guards against a message to all instances for each response, and against a limit that is taken to
// be higher than the target says.
func TestOnlyChangesArePassedOn(t *testing.T) {
	steps := []struct {
		after     time.Duration
		statement Statement
		passedOn  bool
	}{
		{0, Statement{}, false},
		{0, limited(10), true},
		{0, limited(10.4), false},
		{0, limited(5), true},
		{0, limited(10), false}, // raised too soon
		{minChangeInterval, limited(10), true},
		{0, Statement{}, false}, // ended too soon
		{minChangeInterval, Statement{}, true},
		{0, limited(0), true},
		{0, limited(0), false},
	}
	table, now := New(), start
	for i, step := range steps {
		now = now.Add(step.after)
		before := table.Limits()["t"]
		c, passedOn := table.Observe(now, "t", step.statement)
		require.Equal(t, step.passedOn, passedOn, "step %d", i)
		if passedOn {
			require.Equal(t, step.statement, c.Statement)
		} else {
			require.Equal(t, before, table.Limits()["t"])
		}
	}
}

// Guards against instances that keep to different limits: the changes reach them in any order.
func TestInstancesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(), New(), New()}
		now := start
		var changes []Change
		for range rapid.IntRange(1, 30).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "pause")) * time.Millisecond)
			s := Statement{}
			if rapid.Bool().Draw(t, "limited") {
				s = limited(float64(rapid.IntRange(0, 5).Draw(t, "rate")))
			}
			if c, ok := tables[rapid.IntRange(0, 2).Draw(t, "instance")].Observe(now, "t", s); ok {
				changes = append(changes, c)
			}
		}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indexes(len(changes))).Draw(t, "order") {
				table.Apply(now, changes[i])
			}
			require.Equal(t, tables[0].Limits(), table.Limits())
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against a table that grows with each target that has ever named a limit, and against losing
// the limit of one whose entry is missing for a moment.
func TestUnlistedTargetsAreForgotten(t *testing.T) {
	table := New()
	table.Observe(start, "gone", limited(1))
	table.Observe(start, "missing", limited(1))
	table.Observe(start, "listed", limited(1))
	listed := map[string]bool{"listed": true}
	isListed := func(target string) bool { return listed[target] }
	require.Empty(t, table.Forget(start, isListed))
	listed["missing"] = true
	require.Empty(t, table.Forget(start.Add(forgetAfter/2), isListed))
	delete(listed, "missing")
	ended := table.Forget(start.Add(forgetAfter), isListed)
	require.Len(t, ended, 1)
	require.Equal(t, "gone", ended[0].Target)
	require.False(t, ended[0].Statement.Limited)
	require.Equal(t, map[string]float64{"missing": 1, "listed": 1}, table.Limits())
	require.Equal(t, 2, table.Len())
}
