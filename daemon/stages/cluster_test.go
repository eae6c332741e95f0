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
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// fakeCluster is a cluster of instances a, b and so on, as a sees it: only a runs, and
// answer stands for the others.
type fakeCluster struct {
	answer func(ctx context.Context, to, method string, body []byte) ([]byte, error)

	mu      sync.Mutex
	members []membership.Member
}

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
	defer c.mu.Unlock()
	return membership.NewView(1, "a", append([]membership.Member(nil), c.members...))
}

// Handle implements Cluster.
func (c *fakeCluster) Handle(string, peer.Handler, ...peer.HandleOption) {}

// AwaitJoin implements Cluster.
func (c *fakeCluster) AwaitJoin(context.Context) {}

// Call implements Cluster.
func (c *fakeCluster) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	return c.answer(ctx, address, method, body)
}

// silent answers nothing.
func silent(ctx context.Context, _, _ string, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// startStages runs instance a until the test ends, and waits for its tries to give the
// queue away.
func startStages(t *testing.T, c *fakeCluster) *Stages {
	s := New(c, nil, nil, nil, tally.NoopScope)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
		for s.isGiving() {
			time.Sleep(tick)
		}
	})
	return s
}

// isGiving tells whether a try to give the queue away is under way.
func (s *Stages) isGiving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.giving != nil
}

// holdCall has an instance hold the queue with one call of another, which ends within
// the given time.
func holdCall(t *testing.T, s *Stages, within time.Duration) {
	require.True(t, s.owner.takeOver(sender{"z", 1}, gather.State{
		Targets: []gather.HeldTarget{{Service: "stage", Incarnation: "t"}},
		Calls:   []gather.HeldCall{{ID: 7, Expires: within}},
	}))
}

// taken answers a message of a hand-over.
func taken(t *testing.T, body []byte) (last bool, answer []byte) {
	var ask takeAsk
	assert.NoError(t, msgpack.Unmarshal(body, &ask))
	answer, err := encode(&takeAnswer{Taken: true})
	assert.NoError(t, err)
	return ask.Last, answer
}
