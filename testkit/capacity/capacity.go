// Package capacity measures how the state, the messages and the processor time
// of an instance grow, one size at a time, and extrapolates to a target size by
// a straight line. The decisions run in virtual time; what needs sockets runs
// over loopback.
package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Options set how long a measure takes.
type Options struct {
	// Repeat is how often each point is measured; the median counts.
	Repeat int
	// Quick leaves the largest sizes out, for tests.
	Quick bool
}

// Measure is one set of series that are measured together.
type Measurement struct {
	Name string
	// About says what is varied and what is kept.
	About string
	Run   func(Options) ([]Series, error)
}

// Measures lists all measures in the order of the capacity page.
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

// sizes drops the largest sizes of a quick run.
func (o Options) sizes(all ...int) []int {
	if o.Quick {
		return all[:min(len(all), 2)]
	}
	return all
}

// repeat runs f as often as the options ask for and returns the median.
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

// timed is how long one sample of nsPerOp lasts.
const sampleTime = 30 * time.Millisecond

// nsPerOp returns the median processor time of one call of f, in nanoseconds.
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

// cpu is the processor time that this process has used. It is less disturbed
// by other processes than the clock.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapOf returns the bytes of heap that what build returns takes up.
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
