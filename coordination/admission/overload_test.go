package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// smallDeployment has 8 instances in front of a dozen targets with 4 slots each, and
// digests every 200 ms.
func smallDeployment(ordered bool) options {
	return options{
		instances: 8, slots: 48,
		digestInterval: 200 * time.Millisecond, digestDelay: 50 * time.Millisecond,
		gate:           tiers.Config{PriorityScheduling: ordered},
		ignorePriority: !ordered,
	}
}

// classOfLoad returns a class whose load is a multiple of the small deployment's capacity.
func classOfLoad(multiple float64, rank int, service, until time.Duration) class {
	return class{
		rank: rank, rate: multiple * 48 / service.Seconds(), until: until,
		serviceTime: service, sigma: 0.5, deadline: 4 * service,
	}
}

type attainmentCount struct{ offered, answered int }

func (s attainmentCount) attainment() float64 {
	return 100 * float64(s.answered) / float64(max(s.offered, 1))
}

// countByRank counts the requests and those that met their deadline by rank, over some
// seeds. It also returns the last simulation.
func countByRank(o options, seeds uint64, length time.Duration, classes ...class) (map[int]*attainmentCount, *simulation) {
	scores := map[int]*attainmentCount{0: {}, 1: {}, 2: {}}
	var s *simulation
	for seed := range seeds {
		s = newSimulation(seed+1, o)
		s.onEnd = func(req *request, answered bool) {
			scores[req.class.rank].offered++
			if answered {
				scores[req.class.rank].answered++
			}
		}
		for _, c := range classes {
			s.addClass(c)
		}
		s.run(length + time.Minute)
	}
	return scores, s
}

// Requests of the highest tier miss their deadlines as soon as a caller of the lowest
// tier floods all instances with ten times the capacity of the targets. Each instance
// orders its own requests, but without digests it doesn't know what the others dispatch,
// and together they fill the targets with requests of the lowest tier. The run without
// gates shows it.
func TestFloodDoesNotHarmHighestTier(t *testing.T) {
	const length, service = 5 * time.Second, 50 * time.Millisecond
	flood := classOfLoad(10, 2, service, length)
	for _, ordered := range []bool{true, false} {
		for _, share := range []float64{0.5, 0.8, 0.9} {
			top := classOfLoad(share, 0, service, length)
			alone, _ := countByRank(smallDeployment(ordered), 1, length, top)
			both, s := countByRank(smallDeployment(ordered), 1, length, top, flood)
			answered := float64(both[0].answered + both[2].answered)
			used := answered * service.Seconds() / 48 / length.Seconds()
			t.Logf("ordered %v, highest tier at %.1f: alone %.2f%%, flooded %.2f%%, capacity used %.2f, peak load of targets %d",
				ordered, share, alone[0].attainment(), both[0].attainment(), used, s.peakLoad)
			require.LessOrEqual(t, alone[0].attainment()-both[0].attainment(), 1.0)
			require.Greater(t, used, 0.9, "lower tiers get the spare capacity")
		}
	}
	o := smallDeployment(false)
	o.noGate, o.noAdmission = true, true
	both, _ := countByRank(o, 1, length, classOfLoad(0.5, 0, service, length), flood)
	t.Logf("no gate, targets in order of arrival: highest tier %.2f%%", both[0].attainment())
	require.Less(t, both[0].attainment(), 50.0)
}

// Generations of the lowest tier, which run for 8 s, occupy all slots when short requests
// of the highest tier arrive. The order of the queue doesn't help, since no slot becomes
// free before the deadline.
func TestPreemptionFreesSlots(t *testing.T) {
	const length = 40 * time.Second
	top := classOfLoad(0.5, 0, 500*time.Millisecond, length)
	top.from, top.deadline = 10*time.Second, 1500*time.Millisecond
	low := classOfLoad(1, 2, 8*time.Second, length)
	low.deadline, low.resumable = 40*time.Second, true
	for _, ordered := range []bool{true, false} {
		o := smallDeployment(ordered)
		kept, _ := countByRank(o, 3, length, top, low)
		o.gate.Preempt = true
		freed, s := countByRank(o, 3, length, top, low)
		t.Logf("ordered %v: highest tier %.2f%% without and %.2f%% with preemption (%d), lowest %.2f%% and %.2f%%",
			ordered, kept[0].attainment(), freed[0].attainment(), s.preemptions,
			kept[2].attainment(), freed[2].attainment())
		require.Greater(t, freed[0].attainment(), kept[0].attainment()+2)
		require.Greater(t, freed[2].attainment(), 99.0)
	}
}

// One instance gets half of all requests on top of its even share, as when a load balancer
// keeps old connections. With even shares of the slots, its callers would be refused while
// slots of the other instances are idle.
func TestSlotSharesFollowDemand(t *testing.T) {
	const length, service = 6 * time.Second, 50 * time.Millisecond
	top := classOfLoad(0.8, 0, service, length)
	top.skew = 0.5
	o := smallDeployment(true)
	follow, _ := countByRank(o, 1, length, top)
	o.ignoreDigests = true
	even, _ := countByRank(o, 1, length, top)
	t.Logf("skewed arrivals: %.2f%% with digests, %.2f%% with even shares", follow[0].attainment(), even[0].attainment())
	require.Greater(t, follow[0].attainment(), 95.0)
	require.Less(t, even[0].attainment(), 85.0)
}

// After five seconds at twice the capacity the load falls to 0.7, but without admission the
// failures never end: each missed deadline makes its caller retry, and the retries alone
// are an overload. Refusing requests that can't meet their deadline and dropping those that
// have waited too long leaves the targets for the others, so the retries end.
func TestOverloadRecovers(t *testing.T) {
	const service = 50 * time.Millisecond
	tests := map[string]struct {
		ignoresRetryAfter, noGate bool
		want                      float64
	}{
		"callers obey Retry-After": {want: 99},
		"callers retry at once":    {ignoresRetryAfter: true, want: 99},
	}
	run := func(ignoresRetryAfter, noGate bool) (from [30]attainmentCount) {
		o := smallDeployment(true)
		o.noGate, o.noAdmission = noGate, noGate
		s := newSimulation(1, o)
		s.onEnd = func(req *request, answered bool) {
			second := min(int(req.arrived.Sub(epoch)/time.Second), 29)
			from[second].offered++
			if answered {
				from[second].answered++
			}
		}
		for _, phase := range []struct {
			multiple float64
			from, to time.Duration
		}{{0.7, 0, 5 * time.Second}, {2, 5 * time.Second, 10 * time.Second}, {0.7, 10 * time.Second, 20 * time.Second}} {
			c := classOfLoad(phase.multiple, 0, service, phase.to)
			c.from, c.deadline, c.retries, c.ignoresRetryAfter = phase.from, 6*service, 4, ignoresRetryAfter
			s.addClass(c)
		}
		s.run(20 * time.Second)
		return from
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seconds := run(tt.ignoresRetryAfter, false)
			for i := 9; i < 17; i++ {
				t.Logf("second %d: offered %d, answered in time %.1f%%", i, seconds[i].offered, seconds[i].attainment())
			}
			for i := 12; i < 19; i++ {
				require.GreaterOrEqual(t, seconds[i].attainment(), tt.want, "second %d", i)
			}
		})
	}
	unprotected := run(false, true)
	t.Logf("no gate, no admission: %.1f%% eight seconds after the load fell", unprotected[18].attainment())
	require.Less(t, unprotected[18].attainment(), 10.0)
}

// At twice the capacity, half of the requests can't be served. A queue that starts each
// request at the last moment with any chance serves fewer than the targets could: most of
// those it starts just miss their deadline.
func TestOverloadKeepsGoodput(t *testing.T) {
	const length, service = 4 * time.Second, 50 * time.Millisecond
	for _, multiple := range []float64{0.5, 0.8, 1, 1.3, 2, 5} {
		c := classOfLoad(multiple, 0, service, length)
		gated, _ := countByRank(smallDeployment(true), 1, length, c)
		o := smallDeployment(true)
		o.noGate, o.noAdmission = true, true
		ungated, _ := countByRank(o, 1, length, c)
		goodput := float64(gated[0].answered) * service.Seconds() / 48 / length.Seconds()
		t.Logf("load %.1f: attainment %.2f%%, ungated %.2f%%, goodput %.3f of capacity",
			multiple, gated[0].attainment(), ungated[0].attainment(), goodput)
		if multiple <= 0.8 {
			require.Less(t, ungated[0].attainment()-gated[0].attainment(), 0.5, "false refusals")
		}
		if multiple > 1 {
			require.Greater(t, goodput, 0.93)
		}
	}
}
