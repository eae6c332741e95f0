package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Durations and limits of the simulated fleet.
const (
	step = 50 * time.Millisecond
	// gossipBound is how long records may take between connected instances, as users require.
	gossipBound = 3 * time.Second
	// maxLateRuns is how many runs may start later than gossipBound after the third crash,
	// before the first trial.
	maxLateRuns = 3
	// maxLoss limits the share of messages that are lost.
	maxLoss = 0.1
	// runTime is how long a run takes until it ends or crashes its target.
	runTime = 150 * time.Millisecond
)

// fleetSim simulates instances that exchange records over links that lose messages.
type fleetSim struct {
	t         *rapid.T
	now       time.Time
	instances []*Table
	// loss is the share of messages that are lost, random decides which. Instances that lose
	// a far larger share don't count as connected.
	loss    float64
	random  *rand.Rand
	targets int
	// joined has the start times of the instances.
	joined []time.Time
	// crashed has the times at which the suspect crashed a target, started the times at which
	// a run of it started at a connected instance.
	crashed, started []time.Time
	running          []run
}

// newFleetSim draws a fleet of instances.
func newFleetSim(t *rapid.T) fleetSim {
	seed := rapid.Uint64().Draw(t, "seed")
	f := fleetSim{
		t: t, now: start, loss: rapid.Float64Range(0, maxLoss).Draw(t, "loss"), random: rand.New(rand.NewPCG(seed, seed)),
	}
	for range rapid.IntRange(2, 8).Draw(t, "instances") {
		f.instances = append(f.instances, New(DefaultConfig()))
		f.joined = append(f.joined, time.Time{})
	}
	return f
}

// exchange has the instances exchange records as they do in step i.
func (f *fleetSim) exchange(i int) {
	for from := range f.instances {
		if i%2 == 0 {
			f.sendGossip(from)
		}
		if i%20 == 0 {
			f.exchangeSamples(from)
		}
	}
	if i%100 == 99 {
		f.replace(rapid.IntRange(0, len(f.instances)-1).Draw(f.t, "replaced"))
	}
}

// replace replaces an instance by a new one.
func (f *fleetSim) replace(i int) {
	f.instances[i], f.joined[i] = New(DefaultConfig()), f.now
	f.exchangeSamples(i)
}

// run is one run of the suspect.
type run struct {
	instance int
	ends     time.Time
}

// drop decides whether a message is lost.
func (f *fleetSim) drop() bool { return f.random.Float64() < f.loss }

// randomPeer returns a random other instance.
func (f *fleetSim) randomPeer(i int) *Table {
	return f.instances[(i+1+rapid.IntRange(0, len(f.instances)-2).Draw(f.t, "to"))%len(f.instances)]
}

// sendGossip sends the gossip of an instance to another one.
func (f *fleetSim) sendGossip(i int) {
	to := f.randomPeer(i)
	for _, c := range f.instances[i].Gossip(f.now, 64, 4) {
		if !f.drop() {
			to.Merge(f.now, c)
		}
	}
}

// exchangeSamples exchanges samples between an instance and another one.
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

// send sends the suspect to an instance.
func (f *fleetSim) send(instance int) {
	if f.instances[instance].Judge(f.now, suspect).State != Allowed {
		return
	}
	if f.now.Sub(f.joined[instance]) > gossipBound {
		f.started = append(f.started, f.now)
	}
	f.running = append(f.running, run{instance, f.now.Add(runTime)})
}

// end ends the runs that are due, each with its target and all requests running beside it.
func (f *fleetSim) end(concurrent []Digest) {
	running := f.running[:0]
	for _, r := range f.running {
		if r.ends.After(f.now) {
			running = append(running, r)
			continue
		}
		f.targets++
		f.crashed = append(f.crashed, f.now)
		target := fmt.Sprint("target-", f.targets)
		f.instances[r.instance].RecordCrash(f.now, suspect, target)
		for i, d := range concurrent {
			f.instances[(r.instance+i)%len(f.instances)].RecordCrash(f.now, d, target)
		}
	}
	f.running = running
}

// lateRuns counts the runs that started later than gossipBound after the third crash.
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

// Prevents a request that crashes its targets from being sent again and again, and common
// requests from being blocked for its crashes, whichever requests run beside it, whichever
// messages are lost and whichever instances are replaced.
func TestCrashingRequestIsBlockedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetSim(t)
		common := []Digest{digestOf("common-1"), digestOf("common-2")}
		every := rapid.IntRange(2, 40).Draw(t, "every")
		for i := range 400 {
			f.now = f.now.Add(step)
			if i%every == 0 {
				f.send(rapid.IntRange(0, len(f.instances)-1).Draw(t, "at"))
			}
			f.end(common)
			f.exchange(i)
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
