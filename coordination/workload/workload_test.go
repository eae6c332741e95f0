package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
)

var start = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

var second = cost.Estimate{Total: time.Second, Memory: 100}

// Fails if a request is expected to wait while a slot is free, or not to wait behind those before it.
func TestWaitForASlot(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    int
		others Others
		want   time.Duration
	}{
		{name: "idle"},
		{name: "one slot free", own: 3},
		{name: "full", own: 4, want: 250 * time.Millisecond},
		{name: "two wait", own: 6, want: 750 * time.Millisecond},
		{name: "one slot free beside others", own: 1, others: Others{Known: 2, Remaining: time.Second}},
		{name: "full with others", own: 2, others: Others{Known: 2, Remaining: time.Second}, want: 250 * time.Millisecond},
		{name: "others about to end", others: Others{Known: 4, Remaining: 100 * time.Millisecond}, want: 25 * time.Millisecond},
		{name: "perhaps one more", own: 3, others: Others{Expected: 1, Remaining: time.Second}, want: 250 * time.Millisecond},
		{name: "half a request", own: 3, others: Others{Known: 0.5, Remaining: time.Second}, want: 125 * time.Millisecond},
		{name: "far more than slots", others: Others{Known: 500, Remaining: time.Second}, want: 124*time.Second + 250*time.Millisecond},
		{name: "unknown crowd", others: Others{Expected: 1000, Remaining: time.Second}, want: 249*time.Second + 250*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a Account
			for range c.own {
				a.Start(start, 4, second)
			}
			assert.InDelta(t, c.want.Seconds(), a.Work(start, 4, c.others).Wait().Seconds(), 0.02*c.want.Seconds()+0.001)
		})
	}
}

// Fails if the age of knowledge doesn't matter: what others had running ends, and others come.
func TestKnowledgeOfOthersAges(t *testing.T) {
	fresh := OthersSince(0, 6, 2, time.Second)
	assert.Equal(t, Others{Known: 6, Remaining: time.Second}, fresh)
	old := OthersSince(10*time.Second, 6, 2, time.Second)
	assert.InDelta(t, 0, old.Known, 0.01)
	assert.InDelta(t, 2, old.Expected, 0.01)
}

// Fails if the time that a request waits counts as work, or a lost end counts for good.
func TestRequestsBeginAndEnd(t *testing.T) {
	var a Account
	first := a.Start(start, 1, second)
	second1 := a.Start(start, 1, second)
	third := a.Start(start, 1, second)
	w := a.Work(start, 1, Others{Known: 1, Memory: 50})
	assert.Equal(t, [2]int{1, 2}, [2]int{w.Running, w.Waiting})
	assert.Equal(t, [2]float64{300, 350}, [2]float64{w.OwnMemory, w.Memory})
	assert.Equal(t, 3*time.Second, w.Left)
	wait, ok := a.End(start.Add(time.Second), first)
	require.True(t, ok)
	assert.Zero(t, wait)
	a.Began(start.Add(1500*time.Millisecond), third)
	wait, _ = a.End(start.Add(2*time.Second), second1)
	assert.Equal(t, time.Second, wait)
	assert.Zero(t, a.Expire(start.Add(Expiry)))
	assert.Equal(t, 1, a.Expire(start.Add(Expiry+1)))
	_, ok = a.End(start.Add(time.Minute), third)
	assert.False(t, ok)
	assert.Equal(t, time.Duration(0), a.Work(start, 1, Others{}).Wait())
}

// Fails if requests that never end fill the memory.
func TestAccountIsBounded(t *testing.T) {
	var a Account
	for range 2 * MaxRequests {
		a.Start(start, 4, second)
	}
	assert.Equal(t, MaxRequests, a.Len())
	assert.Zero(t, a.Start(start, 4, second))
}
