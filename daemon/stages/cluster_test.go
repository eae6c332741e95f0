package stages

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// fakeCluster is a cluster of instances a, b and so on, as seen by a. Only a runs; respond
// stands for the others.
type fakeCluster struct {
	respond func(ctx context.Context, to, method string, body []byte) ([]byte, error)

	mu      sync.Mutex
	members []membership.Member
	// viewBlocked, if set, blocks View until it is closed.
	viewBlocked chan struct{}
	// sent has the calls to other instances.
	sent []sentCall
}

// sentCall is a call to an instance.
type sentCall struct{ to, method string }

func newFakeCluster(instances int) *fakeCluster {
	c := &fakeCluster{}
	for i := range instances {
		name := string(rune('a' + i))
		c.members = append(c.members, membership.Member{Name: name, Address: "at-" + name, Incarnation: uint64(i + 1)})
	}
	return c
}

// set changes the state of an instance.
func (c *fakeCluster) set(name string, state membership.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.members {
		if c.members[i].Name == name {
			c.members[i].State = state
		}
	}
}

// View implements Cluster.
func (c *fakeCluster) View() *membership.View {
	c.mu.Lock()
	gate := c.viewBlocked
	c.mu.Unlock()
	if gate != nil {
		<-gate
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return membership.NewView(1, "a", append([]membership.Member(nil), c.members...))
}

// Handle implements Cluster.
func (c *fakeCluster) Handle(string, peer.Handler, ...peer.HandleOption) {}

// AwaitJoin implements Cluster.
func (c *fakeCluster) AwaitJoin(context.Context) {}

// Call implements Cluster.
func (c *fakeCluster) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	c.mu.Lock()
	c.sent = append(c.sent, sentCall{address, method})
	c.mu.Unlock()
	return c.respond(ctx, address, method, body)
}

// methodsCalled returns the methods that were called at an instance.
func (c *fakeCluster) methodsCalled(to string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var methods []string
	for _, call := range c.sent {
		if call.to == to {
			methods = append(methods, call.method)
		}
	}
	return methods
}

// stall blocks, for a time, the work that the instance does on each tick.
func (c *fakeCluster) stall(d time.Duration) {
	gate := make(chan struct{})
	c.mu.Lock()
	c.viewBlocked = gate
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	c.viewBlocked = nil
	c.mu.Unlock()
	close(gate)
}

// acceptHandover responds as an instance that accepts a queue and serves requests.
func acceptHandover(t *testing.T) func(context.Context, string, string, []byte) ([]byte, error) {
	return func(_ context.Context, _, method string, body []byte) ([]byte, error) {
		switch method {
		case methodHandover:
			_, response := acceptPart(t, body)
			return response, nil
		case methodAssign:
			return encode(&assignResponse{})
		}
		return nil, nil
	}
}

// emptyRequest has a stage without pieces, which completes as soon as a holder has it.
func emptyRequest(id string) gather.Request {
	until := time.Now().Add(time.Minute)
	return gather.Request{ID: id, Objective: until, Deadline: until, Stages: []gather.Stage{{Service: "stage"}}}
}

// neverRespond blocks until the context ends.
func neverRespond(ctx context.Context, _, _ string, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// startStages runs instance a until the test ends, and then waits for the end of its handover
// attempts.
func startStages(t *testing.T, c *fakeCluster) *Stages {
	return startStagesWith(t, c, gather.Config{})
}

func startStagesWith(t *testing.T, c *fakeCluster, config gather.Config) *Stages {
	s := New(c, nil, nil, nil, pacing.Limits{}, config, tally.NoopScope)
	s.queue.bootClock = time.Now
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
		for s.isHandingOver() {
			time.Sleep(tick)
		}
	})
	return s
}

// isHandingOver reports whether a handover attempt is in progress.
func (s *Stages) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover != nil
}

// holdCall makes an instance hold the queue with one call that another instance carries out,
// with a timeout.
func holdCall(t *testing.T, s *Stages, within time.Duration) {
	require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{
		Targets: []gather.TargetState{{Service: "stage", Incarnation: "t"}},
		Calls:   []gather.CallState{{ID: 7, TimeoutAt: within}},
	}))
}

// acceptPart accepts a part of a handover.
func acceptPart(t *testing.T, body []byte) (last bool, response []byte) {
	var request handoverPart
	assert.NoError(t, msgpack.Unmarshal(body, &request))
	response, err := encode(&handoverResponse{Accepted: true})
	assert.NoError(t, err)
	return request.Last, response
}
