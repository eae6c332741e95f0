// Package capacity measures how the state, the messages and the CPU time of an
// instance grow with one size of the deployment at a time, and extrapolates
// linearly to the design size. The decision logic runs in virtual time; what
// needs sockets runs over loopback.
package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Options set the effort of a measurement.
type Options struct {
	// Repeat is the number of repetitions of each point, of which the median is
	// used.
	Repeat int
	// Quick leaves out the largest sizes, for tests.
	Quick bool
}

// Measurement is a set of series that are measured together.
type Measurement struct {
	Name string
	// About describes what is varied and what is constant.
	About string
	Run   func(Options) ([]Series, error)
}

// Measurements returns all measurements in the order of the capacity page.
func Measurements() []Measurement {
	return []Measurement{
		{"nodes", "membership, records and load digests, n instances in virtual time", measureNodes},
		{"loopback", "the same over TCP on loopback, n instances in this process", measureLoopback},
		{"owners", "views and owners of duties among n instances", measureOwners},
		{"faults", "what the cluster sends after a failure, 440 instances in virtual time", measureFaults},
		{"digest", "taking in the peers' load digests, every 200 ms", measureExchange},
		{"targets", "one pool of n targets, a subset of 64 kept", measureTargets},
		{"accounts", "n client accounts in force, records of about 200 bytes", measureAccounts},
		{"budgets", "questions for account budgets, 440 instances, 95 requests/s each", measureBudgets},
		{"requests", "n requests in flight", measureRequests},
		{"path", "whole requests of four stages, n callers", measurePath},
		{"polls", "asking n engines of a pool for their load, over loopback", measurePolls},
		{"claims", "n claims of requests that may not be repeated", measureClaims},
		{"leases", "one pool, n instances that compete for its lease", measureLeases},
	}
}

// sizes returns the sizes to measure: all of them, or the first two of a quick run.
func (o Options) sizes(all ...int) []int {
	if o.Quick {
		return all[:min(len(all), 2)]
	}
	return all
}

// medianOf runs f Repeat times and returns the median of its results.
func (o Options) medianOf(f func() float64) float64 {
	values := make([]float64, max(o.Repeat, 1))
	for i := range values {
		values[i] = f()
	}
	return median(values)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// sampleTime is the duration of one sample of nsPerOp.
const sampleTime = 30 * time.Millisecond

// nsPerOp returns the median CPU time of one call of f in nanoseconds.
func (o Options) nsPerOp(f func()) float64 {
	f()
	return o.medianOf(func() float64 {
		start, begun, n := cpuTime(), time.Now(), 0
		for time.Since(begun) < sampleTime {
			f()
			n++
		}
		return float64(cpuTime()-start) / float64(n)
	})
}

// cpuTime returns the CPU time that this process has used. Other processes
// disturb it less than wall-clock time.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapSize returns the heap bytes that the result of build occupies.
func heapSize(build func() any) float64 {
	before := heapAlloc()
	kept := build()
	size := float64(heapAlloc()) - float64(before)
	runtime.KeepAlive(kept)
	return size
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
