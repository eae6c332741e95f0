package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// writesAfterOutage simulates an outage of 15 s, after which n instances together
// need three quarters of the platform's write limit. The peak of the result is a
// share of that limit.
func writesAfterOutage(n int) recovery {
	const writeLimit, writesEach = 400, 40
	f := newFleet(n, true)
	f.platformLimit = rate.NewLimiter(writeLimit, writeLimit/10)
	for i := range f.limiters {
		o := BudgetOptions{ReadsPerSecond: writesEach, WritesPerSecond: 1, Burst: DefaultBurst, MaxWait: DefaultMaxWait, Rand: testRand(uint64(i))}
		b := NewBudget(o)
		b.SetInstances(n)
		f.limiters[i] = b.limiter
	}
	// The limiters run in virtual time, so their pacers must start at its beginning.
	for _, l := range f.limiters {
		for class := range l.pacers {
			l.pacers[class].advancedTo = epoch
		}
	}
	out := f.run(0.75 * writeLimit / float64(n))
	out.peak *= readLimit / writeLimit
	return out
}

// Hundreds of instances resume their writes after an outage. If each one restarted at
// the rate of an instance in a fleet of eight, and increased it as fast, the platform
// would get several times its limit and refuse a seventh of the writes for a minute,
// claims of requests among them.
func TestWritesOfLargeFleetDoNotOverloadThePlatform(t *testing.T) {
	out := writesAfterOutage(440)
	require.Less(t, out.peak, 1.75)
	require.Less(t, out.limited, 0.04)
	require.Greater(t, out.served, 330.0)
	require.Equal(t, writesAfterOutage(8).limited, 0.0)
}

// BenchmarkWritesAfterOutage reports the busiest tenth of a second as a share of the
// platform's limit, the share of refused writes, and the writes per second that the
// platform executes from 10 s after the outage on.
func BenchmarkWritesAfterOutage(b *testing.B) {
	for _, n := range []int{8, 64, 440} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			for b.Loop() {
				out := writesAfterOutage(n)
				b.ReportMetric(out.peak, "peak-of-limit")
				b.ReportMetric(100*out.limited, "refused-%")
				b.ReportMetric(out.served, "served/s")
			}
		})
	}
}
