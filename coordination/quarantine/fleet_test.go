package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Times of the fleet of the tests, as far as decisions depend on them.
const (
	step = 50 * time.Millisecond
	// heard is the users' bound for the news among instances in touch.
	gossipBound = 3 * time.Second
	// late is how many runs may begin later than that after the third crash, before the
	// first trial.
	maxLateRuns = 3
	// mostLost bounds the share of messages that are lost.
	maxLoss = 0.1
	// runTime is how long a run takes to its end or its crash.
	runTime = 150 * time.Millisecond
)

// fleet are instances that exchange records over links that lose messages.
type fleetSim struct {
	t         *rapid.T
	now       time.Time
	instances []*Table
	// loss is the share of messages that are lost, random what draws them: instances that
	// lose far more aren't in touch.
	loss    float64
	random  *rand.Rand
	targets int
	// joined are the times at which the instances began.
	joined []time.Time
	// crashed are the times at which the request that crashes its targets did so, begun those
	// at which a run of it began at an instance in touch.
	crashed, started []time.Time
	running          []run
}

// join puts a new instance in a place.
func (f *fleetSim) replace(place int) {
	f.instances[place], f.joined[place] = New(DefaultConfig()), f.now
	f.exchangeSamples(place)
}

// run is one run of the request that crashes its targets.
type run struct {
	instance int
	ends     time.Time
}

// lost draws whether a message is lost.
func (f *fleetSim) drop() bool { return f.random.Float64() < f.loss }

// other draws another instance.
func (f *fleetSim) randomPeer(i int) *Table {
	return f.instances[(i+1+rapid.IntRange(0, len(f.instances)-2).Draw(f.t, "to"))%len(f.instances)]
}

// tell has an instance send its news.
func (f *fleetSim) sendGossip(i int) {
	to := f.randomPeer(i)
	for _, c := range f.instances[i].Gossip(f.now, 64, 4) {
		if !f.drop() {
			to.Merge(f.now, c)
		}
	}
}

// ask has an instance exchange samples.
func (f *fleetSim) exchangeSamples(i int) {
	from, to := f.instances[i], f.randomPeer(i)
	if f.drop() {
		return
	}
	answer := to.Sample(f.now, 16)
	for _, c := range from.Sample(f.now, 16) {
		to.Merge(f.now, c)
	}
	if f.drop() {
		return
	}
	for _, c := range answer {
		from.Merge(f.now, c)
	}
}

// send sends the request that crashes its targets to an instance.
func (f *fleetSim) send(instance int) {
	if f.instances[instance].Judge(f.now, suspect).State != Allowed {
		return
	}
	if f.now.Sub(f.joined[instance]) > gossipBound {
		f.started = append(f.started, f.now)
	}
	f.running = append(f.running, run{instance, f.now.Add(runTime)})
}

// end ends the runs whose time has come, each with its target and what runs beside it.
func (f *fleetSim) end(beside []Digest) {
	left := f.running[:0]
	for _, r := range f.running {
		if r.ends.After(f.now) {
			left = append(left, r)
			continue
		}
		f.targets++
		f.crashed = append(f.crashed, f.now)
		target := fmt.Sprint("target-", f.targets)
		f.instances[r.instance].RecordCrash(f.now, suspect, target)
		for i, d := range beside {
			f.instances[(r.instance+i)%len(f.instances)].RecordCrash(f.now, d, target)
		}
	}
	f.running = left
}

// lateRuns counts the runs that began later than the bound after the third crash.
func (f *fleetSim) lateRuns() int {
	if len(f.crashed) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.started {
		if at.Sub(f.crashed[2]) > gossipBound {
			n++
		}
	}
	return n
}

// TestCrashingRequestIsStoppedInTime guards against a request that crashes its targets
// being sent on, whatever runs beside it, whichever messages are lost and whichever
// instances are replaced, and against common requests being blocked for it.
func TestCrashingRequestIsStoppedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		f := &fleetSim{
			t: t, now: start, loss: rapid.Float64Range(0, maxLoss).Draw(t, "loss"), random: rand.New(rand.NewPCG(seed, seed)),
		}
		for range rapid.IntRange(2, 8).Draw(t, "instances") {
			f.instances = append(f.instances, New(DefaultConfig()))
			f.joined = append(f.joined, time.Time{})
		}
		common := []Digest{digestOf("common-1"), digestOf("common-2")}
		every := rapid.IntRange(2, 40).Draw(t, "every")
		for i := range 400 {
			f.now = f.now.Add(step)
			if i%every == 0 {
				f.send(rapid.IntRange(0, len(f.instances)-1).Draw(t, "at"))
			}
			f.end(common)
			for place := range f.instances {
				if i%2 == 0 {
					f.sendGossip(place)
				}
				if i%20 == 0 {
					f.exchangeSamples(place)
				}
			}
			if i%100 == 99 {
				f.replace(rapid.IntRange(0, len(f.instances)-1).Draw(t, "replaced"))
			}
			for _, d := range common {
				for _, instance := range f.instances {
					require.Equal(t, Allowed, instance.Judge(f.now, d).State)
					instance.RecordCompletion(f.now, d)
				}
			}
		}
		require.LessOrEqual(t, f.lateRuns(), maxLateRuns)
	})
}
