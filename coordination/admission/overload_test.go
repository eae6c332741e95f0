package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// today is the size of today's organisations: 8 instances before a dozen
// targets of 4 slots, digests every 200 ms.
func today(ordered bool) options {
	return options{
		instances: 8, slots: 48,
		digestEvery: 200 * time.Millisecond, digestDelay: 50 * time.Millisecond,
		gate:           tiers.Config{PriorityScheduling: ordered},
		ignorePriority: !ordered,
	}
}

// load is a class that takes the given multiple of today's capacity.
func load(multiple float64, rank int, service, to time.Duration) class {
	return class{
		rank: rank, rate: multiple * 48 / service.Seconds(), to: to,
		service: service, spread: 0.5, deadline: 4 * service,
	}
}

type score struct{ offered, answered int }

func (s score) attainment() float64 {
	return 100 * float64(s.answered) / float64(max(s.offered, 1))
}

// tally counts answers by rank over some seeds; it returns the last simulation.
func tally(o options, seeds uint64, length time.Duration, classes ...class) (map[int]*score, *simulation) {
	scores := map[int]*score{0: {}, 1: {}, 2: {}}
	var s *simulation
	for seed := range seeds {
		s = newSimulation(seed+1, o)
		s.observed = func(w *work, answered bool) {
			scores[w.class.rank].offered++
			if answered {
				scores[w.class.rank].answered++
			}
		}
		for _, c := range classes {
			s.offer(c)
		}
		s.run(length + time.Minute)
	}
	return scores, s
}

// A caller of the highest tier sees late answers as soon as a caller of the
// lowest one floods every instance at ten times the capacity of the targets.
// Each instance alone keeps its order, but it does not know what the others
// dispatch: together they fill the targets with the lowest tier. The ungated
// run shows it.
func TestFloodLeavesHighestTier(t *testing.T) {
	const length, service = 5 * time.Second, 50 * time.Millisecond
	flood := load(10, 2, service, length)
	for _, ordered := range []bool{true, false} {
		for _, share := range []float64{0.5, 0.8, 0.9} {
			top := load(share, 0, service, length)
			alone, _ := tally(today(ordered), 1, length, top)
			both, s := tally(today(ordered), 1, length, top, flood)
			answered := float64(both[0].answered + both[2].answered)
			used := answered * service.Seconds() / 48 / length.Seconds()
			t.Logf("ordered %v, highest tier at %.1f: alone %.2f%%, flooded %.2f%%, capacity used %.2f, most at targets %d",
				ordered, share, alone[0].attainment(), both[0].attainment(), used, s.peak)
			require.LessOrEqual(t, alone[0].attainment()-both[0].attainment(), 1.0)
			require.Greater(t, used, 0.9, "spare capacity flows down")
		}
	}
	o := today(false)
	o.ungated, o.unchecked = true, true
	both, _ := tally(o, 1, length, load(0.5, 0, service, length), flood)
	t.Logf("no gate, targets in order of arrival: highest tier %.2f%%", both[0].attainment())
	require.Less(t, both[0].attainment(), 50.0)
}

// Generations of the lowest tier that run for 8 s hold every slot when short
// work of the highest tier comes. Order in the queue is no help: the slots
// come free too late, and the highest tier misses its deadline.
func TestPreemptionFreesSlots(t *testing.T) {
	const length = 40 * time.Second
	top := load(0.5, 0, 500*time.Millisecond, length)
	top.from, top.deadline = 10*time.Second, 1500*time.Millisecond
	low := load(1, 2, 8*time.Second, length)
	low.deadline, low.resumable = 40*time.Second, true
	for _, ordered := range []bool{true, false} {
		o := today(ordered)
		kept, _ := tally(o, 3, length, top, low)
		o.gate.Preempt = true
		freed, s := tally(o, 3, length, top, low)
		t.Logf("ordered %v: highest tier %.2f%% without and %.2f%% with preemption (%d), lowest %.2f%% and %.2f%%",
			ordered, kept[0].attainment(), freed[0].attainment(), s.preempts,
			kept[2].attainment(), freed[2].attainment())
		require.Greater(t, freed[0].attainment(), kept[0].attainment()+2)
		require.Greater(t, freed[2].attainment(), 99.0)
	}
}

// One instance gets half of all requests beyond its even part, as when the
// balancer holds on to old connections. With even parts of the targets its
// callers are refused while the other instances' slots idle.
func TestPartsFollowDemand(t *testing.T) {
	const length, service = 6 * time.Second, 50 * time.Millisecond
	top := load(0.8, 0, service, length)
	top.skew = 0.5
	o := today(true)
	follow, _ := tally(o, 1, length, top)
	o.deaf = true
	even, _ := tally(o, 1, length, top)
	t.Logf("skewed arrivals: %.2f%% with digests, %.2f%% with even parts", follow[0].attainment(), even[0].attainment())
	require.Greater(t, follow[0].attainment(), 95.0)
	require.Less(t, even[0].attainment(), 85.0)
}

// After five seconds of twice the load, the load falls to 0.7, yet callers go on
// seeing failures for good: each answer that came too late makes its caller try
// again, and the retries alone are an overload. Refusing at once what cannot
// make it, and dropping what waited too long, keeps the targets on work that is
// of use, so that the retries end.
func TestOverloadRecovers(t *testing.T) {
	const service = 50 * time.Millisecond
	tests := map[string]struct {
		hasty, ungated bool
		want           float64
	}{
		"callers heed Retry-After": {want: 99},
		"callers retry at once":    {hasty: true, want: 99},
	}
	run := func(hasty, ungated bool) (from [30]score) {
		o := today(true)
		o.ungated, o.unchecked = ungated, ungated
		s := newSimulation(1, o)
		s.observed = func(w *work, answered bool) {
			second := min(int(w.began.Sub(epoch)/time.Second), 29)
			from[second].offered++
			if answered {
				from[second].answered++
			}
		}
		for _, phase := range []struct {
			multiple float64
			from, to time.Duration
		}{{0.7, 0, 5 * time.Second}, {2, 5 * time.Second, 10 * time.Second}, {0.7, 10 * time.Second, 20 * time.Second}} {
			c := load(phase.multiple, 0, service, phase.to)
			c.from, c.deadline, c.retries, c.hasty = phase.from, 6*service, 4, hasty
			s.offer(c)
		}
		s.run(20 * time.Second)
		return from
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seconds := run(tt.hasty, false)
			for i := 9; i < 17; i++ {
				t.Logf("second %d: offered %d, answered in time %.1f%%", i, seconds[i].offered, seconds[i].attainment())
			}
			for i := 12; i < 19; i++ {
				require.GreaterOrEqual(t, seconds[i].attainment(), tt.want, "second %d", i)
			}
		})
	}
	unguarded := run(false, true)
	t.Logf("no gate, no admission: %.1f%% eight seconds after the load fell", unguarded[18].attainment())
	require.Less(t, unguarded[18].attainment(), 10.0)
}

// Under twice the load, half of the requests cannot be answered. A queue that
// starts each at the last moment of some hope answers fewer than the targets
// could: most of what it starts ends just too late.
func TestOverloadKeepsGoodput(t *testing.T) {
	const length, service = 4 * time.Second, 50 * time.Millisecond
	for _, multiple := range []float64{0.5, 0.8, 1, 1.3, 2, 5} {
		c := load(multiple, 0, service, length)
		guarded, _ := tally(today(true), 1, length, c)
		o := today(true)
		o.ungated, o.unchecked = true, true
		open, _ := tally(o, 1, length, c)
		goodput := float64(guarded[0].answered) * service.Seconds() / 48 / length.Seconds()
		t.Logf("load %.1f: attainment %.2f%%, ungated %.2f%%, goodput %.3f of capacity",
			multiple, guarded[0].attainment(), open[0].attainment(), goodput)
		if multiple <= 0.8 {
			require.Less(t, open[0].attainment()-guarded[0].attainment(), 0.5, "false refusals")
		}
		if multiple > 1 {
			require.Greater(t, goodput, 0.93)
		}
	}
}
