package confsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/confsync"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// inForceBound is the time within which a change has to be in force everywhere.
const inForceBound = 3 * time.Second

// fleet is a set of instances on one store. Published records reach all instances that
// aren't partitioned without delay.
type fleet struct {
	t              *testing.T
	store          *emulator.Store
	ops            *emulator.Local
	operatorWrites map[string]int // by kind

	mu        sync.Mutex
	instances []*instance
}

type instance struct {
	fleet *fleet
	name  string
	sync  *confsync.Sync
	stop  context.CancelFunc
	table *spread.Table

	mu          sync.Mutex
	onCall      func() // called before each request to a peer
	partitioned bool   // no messages to or from its peers
	killed      bool
	targets     []platformapi.TargetEntry
	leaving     []string
	revisions   []uint64 // of the snapshots, in order
}

func newFleet(t *testing.T) *fleet {
	store := emulator.New(emulator.Options{TargetLag: time.Millisecond})
	f := &fleet{t: t, store: store, ops: store.Local("operator"), operatorWrites: map[string]int{}}
	f.write("pools", "p", poolSpec)
	f.write("tiers", "gold", tierSpec(900))
	return f
}

// add starts an instance; wrap, if not nil, wraps its store.
func (f *fleet) add(wrap func(platform.Store) platform.Store) *instance {
	in := f.newInstance()
	f.start(in, wrap)
	return in
}

// newInstance returns an instance that the others don't know yet.
func (f *fleet) newInstance() *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &instance{fleet: f, name: fmt.Sprint("i", len(f.instances)), table: spread.NewTable(1 << 16)}
}

// start runs a new instance. The others know it only once it is fully set up, because
// they publish records to every known instance from their own goroutines.
func (f *fleet) start(in *instance, wrap func(platform.Store) platform.Store) {
	var store platform.Store = f.store.Local(in.name)
	if wrap != nil {
		store = wrap(store)
	}
	in.sync = confsync.New(confsync.Options{
		Store: store, Publisher: in, Peers: in, WatcherRank: in.rank, Scope: tally.NoopScope,
		OnSnapshot: in.onSnapshot, OnTargets: in.onTargets, OnLeaving: in.onLeaving,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	in.stop = cancel
	f.mu.Lock()
	f.instances = append(f.instances, in)
	f.mu.Unlock()
	go func() { _ = in.sync.Run(ctx) }()
}

func (f *fleet) addN(n int) {
	for range n {
		f.add(nil)
		f.advance(time.Second)
	}
}

// advance lets virtual time pass.
func (f *fleet) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fleet) write(kind, name, spec string) uint64 {
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: name}, Spec: json.RawMessage(spec)}
	f.operatorWrites[kind]++
	written, err := f.ops.Update(f.t.Context(), kind, object)
	if errors.Is(err, platform.ErrNotFound) {
		f.operatorWrites[kind]++
		written, err = f.ops.Create(f.t.Context(), kind, object)
	}
	require.NoError(f.t, err)
	return written.Metadata.Revision
}

func (f *fleet) status(kind, name string) (platformapi.RecordStatus, string) {
	object, err := f.ops.Get(f.t.Context(), kind, name)
	require.NoError(f.t, err)
	status, state, err := record.ReadStatus(object)
	require.NoError(f.t, err)
	return status, state
}

// statusWrites counts the writes that are not the operator's.
func (f *fleet) statusWrites(kind string) int {
	return int(f.store.Calls().Kinds[kind].Writes) - f.operatorWrites[kind]
}

func (f *fleet) others(self *instance) []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*instance
	for _, in := range f.instances {
		in.mu.Lock()
		reachable := in != self && !in.partitioned && !in.killed
		in.mu.Unlock()
		if reachable {
			out = append(out, in)
		}
	}
	return out
}

func (in *instance) set(change func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	change()
}

func (in *instance) kill() {
	in.set(func() { in.killed = true })
	in.stop()
}

func (in *instance) isolated() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.partitioned || in.killed
}

// rank returns the instance's rank among the live instances, in the order of their start.
func (in *instance) rank() (int, bool) {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	rank := 0
	for _, other := range in.fleet.instances {
		if other == in {
			break
		}
		other.mu.Lock()
		if !other.killed {
			rank++
		}
		other.mu.Unlock()
	}
	return rank, rank < confsync.Watchers
}

// Publish implements confsync.Publisher. Like the cluster, it passes the records to the
// instance itself first.
func (in *instance) Publish(records []spread.Record) {
	for _, r := range records {
		in.receive(r)
	}
}

func (in *instance) receive(r spread.Record) {
	in.mu.Lock()
	isNew := !in.killed && in.table.Apply(r)
	in.mu.Unlock()
	if !isNew {
		return
	}
	in.sync.Receive([]spread.Record{r})
	if in.isolated() {
		return
	}
	for _, other := range in.fleet.others(in) {
		other.receive(r)
	}
}

func (in *instance) Others() []string {
	var names []string
	if !in.isolated() {
		for _, other := range in.fleet.others(in) {
			names = append(names, other.name)
		}
	}
	return names
}

func (in *instance) Call(_ context.Context, name, _ string, body []byte) ([]byte, error) {
	in.mu.Lock()
	onCall := in.onCall
	in.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	for _, other := range in.fleet.others(in) {
		if other.name == name && !in.isolated() {
			return other.sync.HandleSnapshot(body)
		}
	}
	return nil, errors.New("unreachable")
}

func (in *instance) onSnapshot(s *catalog.Snapshot) {
	in.set(func() { in.revisions = append(in.revisions, s.Revision) })
}

func (in *instance) onTargets(list []platformapi.TargetEntry) { in.set(func() { in.targets = list }) }

func (in *instance) onLeaving(incarnation string) {
	in.set(func() { in.leaving = append(in.leaving, incarnation) })
}

// deadline returns the deadline of tier gold that is in force, in milliseconds; 0 if none.
func (in *instance) deadline() int64 {
	if s := in.sync.Snapshot(); s != nil {
		if tier, ok := s.Tier("gold"); ok {
			return tier.Deadline.Milliseconds()
		}
	}
	return 0
}

func (in *instance) hasTarget(incarnation string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, t := range in.targets {
		if t.Incarnation == incarnation {
			return true
		}
	}
	return false
}

const poolSpec = `{"schema_version":1,"kind":"encoder","objective":"attainment","slots":8,"checks_fencing":true,"ejection_floor":0.5}`

func tierSpec(deadlineMS int) string {
	return fmt.Sprintf(`{"schema_version":1,"rank":0,"deadline_ms":%d,"engine_priority":0}`, deadlineMS)
}

func pipelineSpec(expectedMS int) string {
	return fmt.Sprintf(`{"schema_version":1,"pipeline":"chat","stages":[{"name":"s","pool":"p","expected_ms":%d,"repeatable":true}]}`, expectedMS)
}

func accountSpec(tier string, n int) string {
	return fmt.Sprintf(`{"schema_version":1,"tier":%q,"keys":[{"sha256":"%064x"}],"requests_per_s":1,"burst":1}`, tier, n)
}

func target(incarnation string) platformapi.TargetEntry {
	return platformapi.TargetEntry{Pool: "p", Address: "127.0.0.1:1", DataCentre: "a", Incarnation: incarnation, State: platformapi.TargetReady}
}
