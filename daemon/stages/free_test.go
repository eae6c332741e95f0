package stages

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/transport/forward"
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

// freeingTarget is a target that responds to calls that free results, unless it is silent.
type freeingTarget struct {
	exchange.Dialect
	silent bool
	// unanswered is how many attempts to connect are left unanswered.
	unanswered int
	dials      int
	received   []string
}

func (f *freeingTarget) NewFreeRequest(address, _ string, handles []string) (*http.Request, error) {
	return http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(strings.Join(handles, " ")))
}

// dial is a forward.DialFunc.
func (f *freeingTarget) dial(ctx context.Context, _ string) (net.Conn, error) {
	if f.dials++; f.dials <= f.unanswered {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body) // a part shows in received
		f.received = append(f.received, string(body))
		if f.silent {
			time.Sleep(2 * freeTimeout)
			return
		}
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") // else received twice
	}()
	return near, nil
}

// Guards against results that are kept until they expire because the call that frees them ran out of
// time before it was sent, and against calls without end to a target that can't be reached.
func TestUnsentCallThatFreesResultsIsRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		target   freeingTarget
		dials    int
		received []string
	}{
		"answered":    {dials: 1, received: []string{"h1 h2"}},
		"not sent":    {freeingTarget{unanswered: 1}, 2, []string{"h1 h2"}},
		"unreachable": {freeingTarget{unanswered: 10}, maxFreeCalls, nil},
		"silent":      {freeingTarget{silent: true}, 1, []string{"h1 h2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &c.target
				q := newQueue(target, forward.New(forward.ClientOptions{Dial: target.dial}), nil, gather.Config{}, newMetrics(tally.NoopScope))
				q.mu.Lock()
				q.scheduleFree(gather.FreeResults{Target: gather.Target{Address: "target"}, Handles: []string{"h1", "h2"}})
				q.mu.Unlock()
				time.Sleep(10 * freeTimeout)
				synctest.Wait()
				require.Equal(t, c.dials, target.dials)
				require.Equal(t, c.received, target.received)
			})
		})
	}
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
