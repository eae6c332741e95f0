package execute

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	emulated "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

const (
	rigPool   = "pool"
	rigTokens = 6
	// rigBodyIdle is how long a stream that another attempt may continue may be silent.
	rigBodyIdle = 200 * time.Millisecond
)

// rig is an executor with two emulated targets of one pool.
type rig struct {
	*Executor
	targets []*emulated.Target
	budgets *retrybudget.Budgets
}

func newRig(t *testing.T, kind catalog.PoolKind, objective catalog.Objective) *rig {
	t.Helper()
	return newRigListed(t, kind, objective, "")
}

// newRigListed returns a rig whose targets are listed under their incarnations plus a suffix.
func newRigListed(t *testing.T, kind catalog.PoolKind, objective catalog.Objective, suffix string) *rig {
	t.Helper()
	r := &rig{budgets: retrybudget.New(retry.Config{Reserve: 100})}
	table := routing.New(routing.Config{Instance: "test"})
	var listed []routing.Target
	for _, name := range []string{"a", "b"} {
		e := emulated.New(emulated.Options{Kind: kind, Incarnation: name, Slots: 4, QueueLimit: -1, TokenTime: time.Millisecond})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(func() { e.Close(); server.CloseClientConnections(); server.Close() })
		r.targets = append(r.targets, e)
		listed = append(listed, routing.Target{Incarnation: name + suffix, Pool: rigPool, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4})
	}
	table.SetTargets(time.Now(), routing.Pool{Name: rigPool, Objective: objective, EjectionFloor: 1}, listed)
	gates := gate.NewGroup(gate.GroupConfig{
		Tiers: tiers.Config{Preempt: true, MinRunTime: time.Nanosecond}, OvercommitOrdered: 1, OvercommitUnordered: 1,
	}, time.Now)
	gates.SetCapacity(rigPool, 8, kind == catalog.KindEngine)
	client := target.New(target.Options{BodyIdleTimeout: rigBodyIdle})
	t.Cleanup(client.Close)
	snapshot := &catalog.Snapshot{Pools: map[string]*catalog.Pool{rigPool: {Name: rigPool, Objective: objective}}}
	r.Executor = New(Options{
		Router: table, Targets: client, Gate: gates, Budgets: r.budgets,
		Times:  deadline.NewTimes(deadline.Config{}),
		Status: requests.New(requests.Options{MaxRequests: 16, Retention: time.Minute}),
		Config: func() *catalog.Snapshot { return snapshot },
	})
	return r
}

// runs counts the runs that were started for a request on all targets.
func (r *rig) runs(id string) int {
	total := 0
	for _, e := range r.targets {
		total += e.Runs()[id]
	}
	return total
}

// oneStage returns a pipeline with one stage. With tokens above 0 the stage generates tokens.
func oneStage(repeatable, resumable bool, tokens int) *catalog.Pipeline {
	return &catalog.Pipeline{
		Key: catalog.PipelineKey{Name: "p", SchemaVersion: 1},
		Stages: []catalog.Stage{{
			Name: "s", Pool: rigPool, ExpectedDuration: 20 * time.Millisecond,
			Repeatable: repeatable, Resumable: resumable, MaxTokens: tokens,
		}},
	}
}

// jobs numbers the jobs of all rigs. Attempts of two jobs of one ID would have the same ID, and
// the late cancellation of the first would end the second.
var jobs atomic.Int64

func (r *rig) job(p *catalog.Pipeline, within time.Duration) Job {
	return Job{
		ID: fmt.Sprintf("test.1.%d", jobs.Add(1)), Pipeline: p, Tier: &catalog.Tier{Name: "gold"}, Input: "in",
		Deadline: time.Now().Add(within),
	}
}

func (r *rig) do(job Job) (Result, error) { return r.Run(context.Background(), job) }
