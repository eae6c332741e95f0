package streams

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/peer"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// fleet is a number of directories in virtual time, connected to one another and to a store.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*node
	// stored are the versions of services in the store, by name, and storedRecords the records of instances; down makes
	// the store's calls fail, and forbidden its writes.
	stored, storedRecords map[string]platformapi.Object

	revision        uint64
	down, forbidden atomic.Bool
	// readDelay and writeDelay are how long the store takes to answer, in nanoseconds.
	readDelay, writeDelay atomic.Int64
	// received counts the writes that the store has received, writes those that took effect.
	received atomic.Int64
	// reads counts the reads of versions that the store has received, recordReads those of records.
	reads, recordReads atomic.Int64
	calls              int
	// writes counts those of versions, recordWrites those of records.
	writes, recordWrites int
	refused              int
	// present are the versions of the targets, table is the configuration.
	present []string
	table   *routes.Table
	runs    sync.WaitGroup
}

// node is an instance: its directory and its connections.
type node struct {
	*Directory
	fleet    *fleet
	member   membership.Member
	handlers map[string]peer.Handler
	// cut makes the node unreachable, frozen makes it answer nothing.
	cut, frozen atomic.Bool
	// apart makes the node reach neither the store nor the nodes that aren't apart.
	apart atomic.Bool
	// old makes the node one of a version without the methods.
	old   atomic.Bool
	stale atomic.Bool
	// listed are the versions that the instance sees, held those that it holds.
	listed []string
	held   atomic.Pointer[[]string]
	// view is the latest view, as it is replaced only when it changes.
	view *membership.View
	stop context.CancelFunc
}

// end ends all instances and waits for the calls that the store still carries out.
func (f *fleet) end() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.runs.Wait()
	time.Sleep(time.Duration(f.writeDelay.Load()) + time.Minute)
}

// settleTime is the time after which a fleet that has started has stored the versions.
const settleTime = createDelay + time.Second

func runFleet(t *testing.T, instances int, play func(f *fleet)) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{nodes: map[string]*node{}, stored: map[string]platformapi.Object{}, storedRecords: map[string]platformapi.Object{}, present: []string{"v1"}, table: table}
		for n := range instances {
			f.startNode(fmt.Sprint("instance-", n), true)
		}
		time.Sleep(settleTime)
		defer f.end()
		play(f)
	})
}

// start starts an instance, or starts it again.
func (f *fleet) start(name string) *node { return f.startNode(name, false) }

func (f *fleet) startNode(name string, first bool) *node {
	ctx, stop := context.WithCancel(context.Background())
	n := &node{
		fleet: f, handlers: map[string]peer.Handler{}, stop: stop,
		member: membership.Member{Name: name, Address: name, DataCentre: "dc-" + name[len(name)-1:], Incarnation: uint64(time.Now().UnixNano())},
	}
	n.Directory = New(Options{
		Cluster: n, Store: nodeStore{f, n}, Gossip: n.gossip, Rank: func() int { return f.rank(name) },
		KnowledgeAge: func() time.Duration {
			if n.stale.Load() {
				return time.Minute
			}
			return 0
		},
		FirstStart: first, Republish: func() { n.republish() }, Scope: tally.NoopScope,
	})
	n.list(f.present)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.changeViews()
	f.runs.Go(func() { _ = n.Run(ctx) })
	return n
}

// kill ends instances.
func (f *fleet) kill(names ...string) {
	f.mu.Lock()
	for _, name := range names {
		f.nodes[name].stop()
		delete(f.nodes, name)
	}
	f.mu.Unlock()
	f.changeViews()
}

// killAll ends all instances and starts one.
func (f *fleet) killAll() *node {
	f.mu.Lock()
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	f.mu.Unlock()
	f.kill(names...)
	return f.start("instance-0")
}

func (f *fleet) changeViews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []membership.Member
	for _, n := range f.nodes {
		members = append(members, n.member)
	}
	for name, n := range f.nodes {
		n.view = membership.NewView(1, name, members)
	}
}

func (f *fleet) rank(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for other := range f.nodes {
		names = append(names, other)
	}
	slices.Sort(names)
	return slices.Index(names, name)
}

// gossip passes a record on to the nodes that are reached.
func (n *node) gossip(r spread.Record) {
	n.fleet.mu.Lock()
	nodes := []*node{}
	for _, other := range n.fleet.nodes {
		if !other.cut.Load() && !other.frozen.Load() && other.apart.Load() == n.apart.Load() {
			nodes = append(nodes, other)
		}
	}
	n.fleet.mu.Unlock()
	for _, other := range nodes {
		other.Receive(r)
	}
}

// nodeStore is the store as a node reaches it.
type nodeStore struct {
	Store
	node *node
}

func (s nodeStore) List(ctx context.Context, kind string) (platformapi.List, error) {
	if s.node.apart.Load() {
		<-ctx.Done()
		return platformapi.List{}, ctx.Err()
	}
	return s.Store.List(ctx, kind)
}

func (s nodeStore) Update(ctx context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	if s.node.apart.Load() {
		return nil, errDown
	}
	return s.Store.Update(ctx, kind, o)
}

var table = routes.Build(routes.Table{}, []*routes.Route{{
	Kind: routes.KindStreaming, Resumable: true, TrafficSplit: []routes.WeightedService{{Service: "engine", Weight: 1}},
}}, nil)

// withoutRoutes is a configuration in which no streams may be taken up.
var withoutRoutes = routes.Build(routes.Table{}, nil, nil)

// deploy sets the versions of the targets, as all instances see them.
func (f *fleet) deploy(versions ...string) {
	f.present = versions
	for _, n := range f.nodes {
		n.list(versions)
	}
}

// configure sets the configuration at all instances.
func (f *fleet) configure(t *routes.Table) {
	f.mu.Lock()
	f.table = t
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.republish()
	}
}

// list sets the versions of the targets, as one instance sees them.
func (n *node) list(versions []string) {
	n.fleet.mu.Lock()
	n.listed = versions
	n.fleet.mu.Unlock()
	n.republish()
}

// republish passes the targets on once more.
func (n *node) republish() {
	n.fleet.mu.Lock()
	versions, table := n.listed, n.fleet.table
	n.fleet.mu.Unlock()
	var targets []routes.Target
	for _, v := range versions {
		targets = append(targets, routes.Target{Name: "target-" + v, Service: "engine", Version: v})
	}
	usable := map[string][]routes.Target{}
	if len(targets) > 0 {
		usable["engine"] = targets
	}
	held := n.SetTargets(time.Now(), table, usable)["engine"]
	n.held.Store(&held)
}

func (n *node) node(address string) *node {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.nodes[address]
}

func (n *node) View() *membership.View {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.view
}

func (n *node) AwaitPeer(context.Context) {}

func (n *node) Handle(method string, h peer.Handler, _ ...peer.HandleOption) { n.handlers[method] = h }

func (n *node) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	n.fleet.mu.Lock()
	n.fleet.calls++
	n.fleet.mu.Unlock()
	other := n.node(address)
	switch {
	case other == nil || other.cut.Load() || n.cut.Load() || other.apart.Load() != n.apart.Load():
		return nil, errors.New("unreachable")
	case other.frozen.Load():
		<-ctx.Done()
		return nil, ctx.Err()
	case other.old.Load():
		return nil, peer.ErrNoMethod
	}
	return other.handlers[method](ctx, peer.Peer{}, body)
}

var errDown = errors.New("the store is down")

// readable waits as long as a read takes, and returns an error if the store is down.
func (f *fleet) readable(kind string) error {
	if kind == platformapi.KindStreamRecords {
		f.recordReads.Add(1)
	} else {
		f.reads.Add(1)
	}
	time.Sleep(time.Duration(f.readDelay.Load()))
	if f.down.Load() {
		return errDown
	}
	return nil
}

// objects returns the objects of a kind; mu is held.
func (f *fleet) objects(kind string) map[string]platformapi.Object {
	if kind == platformapi.KindStreamRecords {
		return f.storedRecords
	}
	return f.stored
}

func (f *fleet) List(_ context.Context, kind string) (platformapi.List, error) {
	if err := f.readable(kind); err != nil {
		return platformapi.List{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := platformapi.List{Revision: f.revision}
	for _, o := range f.objects(kind) {
		list.Items = append(list.Items, o)
	}
	return list, nil
}

func (f *fleet) Get(_ context.Context, kind, name string) (*platformapi.Object, error) {
	if err := f.readable(kind); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.objects(kind)[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return &o, nil
}

// write carries out a write whose condition is checked as it takes effect.
func (f *fleet) write(kind, name string, allowed func(current platformapi.Object, exists bool) bool, apply func()) error {
	f.received.Add(1)
	time.Sleep(time.Duration(f.writeDelay.Load()))
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down.Load():
		return errDown
	case f.forbidden.Load():
		f.refused++
		return &platform.CallError{Err: platform.ErrRefused}
	}
	current, exists := f.objects(kind)[name]
	if !allowed(current, exists) {
		if !exists {
			return &platform.ConflictError{}
		}
		return &platform.ConflictError{Current: &current}
	}
	f.revision++
	if kind == platformapi.KindStreamRecords {
		f.recordWrites++
	} else {
		f.writes++
	}
	apply()
	return nil
}

func (f *fleet) Create(_ context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	err := f.write(kind, o.Metadata.Name, func(_ platformapi.Object, exists bool) bool { return !exists }, func() { f.put(kind, &o) })
	return &o, err
}

func (f *fleet) Update(_ context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	err := f.write(kind, o.Metadata.Name, func(current platformapi.Object, exists bool) bool {
		return exists && current.Metadata.Revision == o.Metadata.Revision
	}, func() { f.put(kind, &o) })
	return &o, err
}

// put stores an object; mu is held.
func (f *fleet) put(kind string, o *platformapi.Object) {
	o.Metadata.Revision = f.revision
	f.objects(kind)[o.Metadata.Name] = *o
}

func (f *fleet) Delete(_ context.Context, kind, name string, revision uint64) error {
	return f.write(kind, name, func(current platformapi.Object, exists bool) bool {
		return exists && (revision == 0 || current.Metadata.Revision == revision)
	}, func() { delete(f.objects(kind), name) })
}

// begin has an instance begin streams and returns their ids.
func (f *fleet) begin(n *node, version string, count int) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s-%s-%d-%d", n.member.Name, version, time.Now().UnixNano(), i)
		n.Began(id, resumption.Origin{Service: "engine", Version: version})
		ids = append(ids, id)
	}
	synctest.Wait()
	return ids
}

// taken counts, of streams that are taken up at an instance, those that go on at a version, at another one
// and those that are unknown.
func taken(n *node, ids []string, version string) (right, wrong, unknown int) {
	for _, id := range ids {
		switch l := n.Find(context.Background(), "engine", id); {
		case !l.Known:
			unknown++
		case l.Origin.Version == version:
			right++
		default:
			wrong++
		}
	}
	return right, wrong, unknown
}

// settle waits for what is in progress and returns the objects in the store and the number of their
// writes.
func (f *fleet) settle() (stored map[string]platformapi.Object, writes int) {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.stored), f.writes
}

// refusals returns how many writes the store has refused, of those that are not in progress.
func (f *fleet) refusals() int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// peerCalls returns how many calls the instances have made to one another.
func (f *fleet) peerCalls() int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// records returns how many records an instance has.
func (n *node) records() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Len()
}

// settledRecords waits for what is in progress and returns the names of the instances with records in the store, and the
// number of their writes.
func (f *fleet) settledRecords() (names []string, writes int) {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.storedRecords)), f.recordWrites
}
