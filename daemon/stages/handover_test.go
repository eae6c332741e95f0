package stages

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// maxFrameBytes is the maximum size of a message between instances.
const maxFrameBytes = 1 << 20

// loadedPlanner returns a planner under the heaviest load measured: 2,500 requests of three
// stages at 30 targets, all of which have a full call.
func loadedPlanner(tb testing.TB, now time.Time) *gather.Planner {
	p := gather.New(gather.Config{})
	config := gather.ServiceConfig{
		Slots: 1, MaxPieces: 128, CallTime: 200 * time.Millisecond, PieceTime: time.Millisecond,
		ResultCapacity: 8 << 20, ResultTTL: 4 * time.Second,
	}
	var calls []gather.StartCall
	for _, name := range []string{"a", "b", "c"} {
		p.SetService(name, config)
		var list []gather.Target
		for i := range 10 {
			id := fmt.Sprintf("i-%s%09d", name, i)
			list = append(list, gather.Target{Incarnation: id, Name: id, Address: "10.1.64.15:8624", DataCentre: "x"})
		}
		p.SetTargets(now, name, list)
	}
	for i := range 2500 {
		for _, a := range p.Submit(now, gather.Request{
			ID: fmt.Sprintf("%016x", i), Route: "route", Key: fmt.Sprintf("subject-%d/key", i), Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour),
			DataCentre: "x", Stages: []gather.Stage{
				{Service: "a", Pieces: 4, ResultBytes: 8 << 10},
				{Service: "b", After: []int{0}, Pieces: 4, ResultBytes: 8 << 10},
				{Service: "c", After: []int{1}, Pieces: 1, ResultBytes: 60 << 10},
			},
		}) {
			if c, ok := a.(gather.StartCall); ok {
				calls = append(calls, c)
			}
		}
	}
	for range 60 {
		c := calls[0]
		results := make([]gather.PieceResult, len(c.Pieces))
		for i := range results {
			results[i].Handle = fmt.Sprintf("10.1.64.15:8624/%s.%d-%d", c.Target.Incarnation, c.ID, i)
		}
		calls = calls[1:]
		for _, a := range p.CallDone(now, c.ID, gather.CallAnswered, results) {
			if c, ok := a.(gather.StartCall); ok {
				calls = append(calls, c)
			}
		}
	}
	require.Equal(tb, 2500, p.RequestCount())
	return p
}

// A queue under the heaviest load is handed over in messages that fit into frames, and
// arrives unchanged.
func TestHandoverOfLargeQueue(t *testing.T) {
	now := time.Now()
	state := loadedPlanner(t, now).Export(now)
	parts := splitState(state)
	var got gather.State
	bytes := 0
	for _, part := range parts {
		body, err := encode(&handoverPart{State: part})
		require.NoError(t, err)
		require.Less(t, len(body), maxFrameBytes)
		bytes += len(body)
		var request handoverPart
		require.NoError(t, msgpack.Unmarshal(body, &request))
		got.Targets = append(got.Targets, request.State.Targets...)
		got.Times = append(got.Times, request.State.Times...)
		got.Calls = append(got.Calls, request.State.Calls...)
		got.Requests = append(got.Requests, request.State.Requests...)
	}
	t.Logf("%d requests, %d calls: %d messages, %d bytes", len(state.Requests), len(state.Calls), len(parts), bytes)
	require.Equal(t, len(state.Requests), len(got.Requests))
	again := gather.New(gather.Config{})
	_, ids := again.Import(now, got)
	require.Len(t, ids, len(state.Calls))
	require.Equal(t, 2500, again.RequestCount())
}

// BenchmarkHandover measures the work of both ends of a handover.
func BenchmarkHandover(b *testing.B) {
	now := time.Now()
	p := loadedPlanner(b, now)
	for b.Loop() {
		state := p.Export(now)
		for _, part := range splitState(state) {
			if _, err := encode(&handoverPart{State: part}); err != nil {
				b.Fatal(err)
			}
		}
		p = gather.New(gather.Config{})
		p.Import(now, state)
	}
}

// Guards against an instance that has just started, is given the queue or asked for a grant, and exceeds
// the limits of targets because it hasn't heard of them.
func TestInstanceWithoutLimitsHoldsNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStages(t, newFakeCluster(2))
		known := make(chan struct{})
		s.AwaitLimits(func(ctx context.Context, _ string) {
			select {
			case <-known:
			case <-ctx.Done():
			}
		})
		part, err := encode(&handoverPart{Number: 1, Last: true})
		require.NoError(t, err)
		handOver := func() bool {
			var response handoverResponse
			body, err := s.handleHandover(t.Context(), peer.Peer{}, part)
			require.NoError(t, err)
			require.NoError(t, msgpack.Unmarshal(body, &response))
			return response.Accepted
		}
		require.False(t, handOver())
		request := &scheduleRequest{Assign: assignRequest{Redirectable: redirectableRequest{Run: *newRunRequest(time.Now(), emptyRequest("r")), Redirected: true}}}
		short, stop := context.WithTimeout(t.Context(), limitsTimeout)
		defer stop()
		_, err = s.executeFor(short, peer.Peer{}, request)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		close(known)
		require.True(t, handOver())
		_, err = s.executeFor(t.Context(), peer.Peer{}, request)
		require.NoError(t, err)
	})
}
