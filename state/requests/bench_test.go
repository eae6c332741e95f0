package requests

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkRequest measures recording one request of four stages while others
// are in flight.
func BenchmarkRequest(b *testing.B) {
	for _, inFlight := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("in_flight=%d", inFlight), func(b *testing.B) {
			tab := New(Options{MaxRequests: 2 * inFlight, Retention: time.Minute})
			for i := range inFlight {
				ref := tab.Begin(info("open-"+strconv.Itoa(i), 0))
				tab.StartAttempt(ref, AttemptStart{Stage: 3, ID: "a", Target: "t", At: at(0)})
			}
			ids := make([]string, 4*inFlight)
			for i := range ids {
				ids[i] = "request-" + strconv.Itoa(i)
			}
			var next atomic.Uint64
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					runFourStages(tab, ids[next.Add(1)%uint64(len(ids))])
				}
			})
			b.StopTimer()
			s := tab.Stats()
			b.ReportMetric(float64(s.Bytes)/float64(s.Requests), "charged_B/request")
			b.ReportMetric(float64(s.Unrecorded)/float64(b.N), "unrecorded/op")
		})
	}
}

func runFourStages(tab *Table, id string) {
	ref := tab.Begin(info(id, 0))
	for stage := range stages {
		n := tab.StartAttempt(ref, AttemptStart{Stage: stage, ID: "a", Target: "t", At: at(1)})
		tab.EndAttempt(ref, n, AttemptEnd{Result: ResultOK, Work: 1, At: at(2)})
	}
	tab.Finish(ref, End{State: StateAnswered, Outcome: OutcomeRan, At: at(3)})
}

// BenchmarkDigestOfNewAccounts measures the worst case of the aggregates: every
// attempt is of a new account, so pruning is as frequent as possible.
func BenchmarkDigestOfNewAccounts(b *testing.B) {
	accounts := make([]string, 16*defaultAccounts)
	for i := range accounts {
		accounts[i] = strconv.Itoa(i)
	}
	d := newAggregates(defaultAccounts / maxStripes)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		d.add(Key{"permits", "generate", "gold", accounts[i%len(accounts)]}, Counters{Count: 1})
		i++
	}
}
