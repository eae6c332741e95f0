package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// returnOfWrites plays an outage of 15 s after which n instances together want
// three quarters of the writes that the platform takes. The peak is a share of
// its limit.
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
	// The governors live in virtual time, their pacers from its start.
	for _, g := range f.limiters {
		for class := range g.pacers {
			g.pacers[class].advancedTo = epoch
		}
	}
	out := f.run(0.75 * writeLimit / float64(n))
	out.peak *= readLimit / writeLimit
	return out
}

// Hundreds of instances come back after an outage. If each one began with as
// many calls as one of eight, and probed for more as boldly, the platform would
// see several times what it takes, refuse a seventh of it for a minute, and
// claims of clerks would be among the refused.
func TestWritesOfLargeFleetDoNotOverloadThePlatform(t *testing.T) {
	out := writesAfterOutage(440)
	require.Less(t, out.peak, 1.75)
	require.Less(t, out.limited, 0.04)
	require.Greater(t, out.served, 330.0)
	require.Equal(t, writesAfterOutage(8).limited, 0.0)
}

// BenchmarkReturnOfWrites prints the busiest tenth of a second as a share of the
// platform's limit, the share refused, and the calls a second that it carries
// from 10 s after its return on.
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
