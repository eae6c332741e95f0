package poll

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// fakeClient responds like engines and records the times of the polls by address.
type fakeClient struct {
	mu     sync.Mutex
	polled map[string][]time.Time
	after  map[string]uint64
}

func (f *fakeClient) Load(_ context.Context, address string) (targetapi.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polled[address] = append(f.polled[address], time.Now())
	return targetapi.Load{Incarnation: address}, nil
}

func (f *fakeClient) CacheEvents(_ context.Context, address string, after uint64) (targetapi.CacheEvents, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after[address] = after
	return targetapi.CacheEvents{Incarnation: address, Next: after + 1}, nil
}

type noRouter struct{}

func (noRouter) Report(time.Time, string, routing.Load)            {}
func (noRouter) Leaving(time.Time, string)                         {}
func (noRouter) CacheEvent(time.Time, string, routing.CacheUpdate) {}

// The rate of polls is limited, however many engines an instance routes to: polling hundreds
// every two seconds would exceed the control traffic many times and keep a core busy. New
// engines are polled soon, and every engine is polled again.
func TestPollsAreLimitedAndReachEveryEngine(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		synctest.Test(t, func(t *testing.T) {
			var engines []Engine
			for i := range n {
				engines = append(engines, Engine{Incarnation: fmt.Sprint(i), Address: fmt.Sprint(i)})
			}
			f := &fakeClient{polled: map[string][]time.Time{}, after: map[string]uint64{}}
			poller := New(f, noRouter{}, func() []Engine { return engines }, func(string, []string, []string) {})
			start := time.Now()
			const length = 10 * time.Minute
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			require.NoError(t, poller.Run(ctx))
			polls := 0
			longest := time.Duration(2+n/maxRepeatPolls) * interval * 2
			for _, e := range engines {
				times := f.polled[e.Address]
				require.NotEmpty(t, times)
				require.Less(t, times[0].Sub(start), time.Duration(2+n/maxFirstPolls)*2*interval)
				for i := 1; i < len(times); i++ {
					require.Less(t, times[i].Sub(times[i-1]), longest)
				}
				require.Equal(t, uint64(len(times)-1), f.after[e.Address])
				polls += len(times) - 1
			}
			ticks := int(length / (interval / 2))
			require.LessOrEqual(t, polls, ticks*maxRepeatPolls)
		})
	}
}
