package stages

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
)

// freeRecorder records the handles of each call that would free results.
type freeRecorder struct {
	exchange.Dialect
	mu    sync.Mutex
	calls [][]string
}

func (r *freeRecorder) NewFreeRequest(_, _ string, handles []string) (*http.Request, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, handles)
	return nil, errors.New("not sent")
}

func (r *freeRecorder) recorded() [][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// Guards against calls that free results and take a target that names a limit far above it, and against
// results that are kept back when the queue moves.
func TestResultsAtLimitedTargetsAreFreedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder freeRecorder
		q := newQueue(&recorder, nil, nil, gather.Config{}, newMetrics(tally.NoopScope))
		q.setLimits(time.Now(), map[string]float64{"limited": 10})
		target := gather.Target{Incarnation: "limited"}
		schedule := func(handle string) {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.scheduleFree(gather.FreeResults{Target: target, Handles: []string{handle}})
		}
		count := 80
		for i := range count {
			schedule(fmt.Sprint(i))
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, len(recorder.recorded()), 4)
		q.freeze()
		synctest.Wait()
		var freed []string
		for _, handles := range recorder.recorded() {
			freed = append(freed, handles...)
		}
		require.Len(t, freed, count)
		time.Sleep(2 * limitedFreeDelay)
		require.LessOrEqual(t, len(recorder.recorded()), 5)

		target.Incarnation = "other"
		schedule("last")
		time.Sleep(2 * freeDelay)
		require.Equal(t, []string{"last"}, recorder.recorded()[len(recorder.recorded())-1])
	})
}

// Guards against results that occupy a target which needs their capacity at once, and against extra
// calls to a target that names a limit.
func TestUrgentResultsAreFreedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder freeRecorder
		q := newQueue(&recorder, nil, nil, gather.Config{}, newMetrics(tally.NoopScope))
		q.setLimits(time.Now(), map[string]float64{"limited": 10})
		for _, f := range []gather.FreeResults{
			{Target: gather.Target{Incarnation: "other"}, Handles: []string{"first"}},
			{Target: gather.Target{Incarnation: "other"}, Handles: []string{"second"}, Urgent: true},
			{Target: gather.Target{Incarnation: "limited"}, Handles: []string{"third"}, Urgent: true},
		} {
			q.mu.Lock()
			q.scheduleFree(f)
			q.mu.Unlock()
		}
		synctest.Wait()
		require.Equal(t, [][]string{{"first", "second"}}, recorder.recorded())
		time.Sleep(2 * limitedFreeDelay)
		require.Len(t, recorder.recorded(), 2)
	})
}

// Guards against metrics that grow with the number of services.
func TestServiceLabelsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	for i := range 2 * maxServiceLabels {
		m.callFill(fmt.Sprint(i), 3, 4)
	}
	m.callFill("without flow control", 3, 0)
	require.LessOrEqual(t, len(scope.Snapshot().Counters()), 2*(maxServiceLabels+1))
}
