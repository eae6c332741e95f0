// Package streams finds out at which software version of its targets a stream goes on that its caller
// takes up again, at any instance. It keeps the records of streams at a few instances each, and the versions
// of each service in the platform's store.
package streams

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

const (
	// maxRecords limits the records that an instance keeps, of its own streams and of others.
	maxRecords = 1 << 16
	// tickInterval is the interval at which records are sent to instances that lack them, in batches, and what the
	// store has is compared with what is known.
	tickInterval = 500 * time.Millisecond
	// currentAge is the age up to which this instance's knowledge of the targets counts as current.
	currentAge = 2 * time.Second
)

// Cluster connects the instances.
type Cluster interface {
	View() *membership.View
	// AwaitPeer waits until another instance is known, or the context ends. It returns at once if
	// there is none.
	AwaitPeer(ctx context.Context)
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// Store is the part of the platform's store that a Directory uses. platform.Store implements it.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	List(ctx context.Context, kind string) (platformapi.List, error)
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// Options are the dependencies of a Directory.
type Options struct {
	Cluster Cluster
	Store   Store
	// Gossip disseminates a record to the other instances.
	Gossip func(r spread.Record)
	// Rank is this instance's position among those that write for the fleet; negative if it doesn't.
	Rank func() int
	// KnowledgeAge returns the age of this instance's knowledge of the targets.
	KnowledgeAge func() time.Duration
	// FirstStart is true if no instance has run before the ones that start now.
	FirstStart bool
	// Republish has SetTargets called again, since other versions are held; nil if nobody holds any.
	Republish func()
	Scope     tally.Scope
}

// Directory knows where streams began.
type Directory struct {
	options Options
	started time.Time
	metrics metrics
	sending chan struct{}
	// wake and wakeWriter have a value when records may have to be sent, or versions stored, before the next
	// tick.
	wake, wakeWriter chan struct{}

	mu      sync.Mutex
	history *resumption.History
	table   *resumption.Table
	// own are the streams of this instance that haven't ended well.
	own map[resumption.Hash]*ownStream
	// unsent are the own streams whose records other instances may lack.
	unsent map[resumption.Hash]struct{}
	// changed is true if all records may have to be sent to other instances since the last tick, backupsDue if some that
	// this instance keeps for others may have to be distributed.
	changed, backupsDue bool

	view    *membership.View
	stored  stored
	records storedRecords
	// versionsRead is closed when all services' versions have been read after the start.
	versionsRead chan struct{}
	// held are the versions that the latest SetTargets returned.
	held map[string][]string

	keepers keepers
}

// New returns a Directory and registers the methods that other instances call.
func New(o Options) *Directory {
	now := time.Now()
	d := &Directory{
		options: o, started: now, metrics: newMetrics(o.Scope), sending: make(chan struct{}, maxSending),
		wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1),
		history: resumption.NewHistory(now, o.FirstStart), table: resumption.NewTable(maxRecords),
		own: map[resumption.Hash]*ownStream{}, unsent: map[resumption.Hash]struct{}{},
		stored: newStored(), records: storedRecords{sweptAt: now}, versionsRead: make(chan struct{}),
	}
	o.Cluster.Handle(methodKeep, d.handleKeep, peer.Idempotent())
	o.Cluster.Handle(methodFind, d.handleFind, peer.Idempotent())
	return d
}

// Run keeps records and stored versions up to date until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	go d.followVersions(ctx)
	go d.followRecords(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.wake:
		}
		now := time.Now()
		d.sendAllMissing(now)
		d.distributeBackups(now)
		d.republishHeld(now)
	}
}

// SetTargets replaces the targets that may receive new work. It returns the versions that should get no new work yet, by
// service.
func (d *Directory) SetTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) map[string][]string {
	present := make(map[string]resumption.Presence, len(usable))
	for service, targets := range usable {
		present[service] = resumption.Presence{Versions: versionsOf(targets)}
	}
	for _, service := range table.ResumableServices() {
		present[service] = resumption.Presence{Versions: present[service].Versions, Resumable: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.history.SetPresent(now, present) {
		d.noteChange()
		wake(d.wakeWriter)
	}
	d.held = d.heldVersions(now)
	return d.held
}

// heldVersions returns the versions that should get no new work yet, by service. mu must be held.
func (d *Directory) heldVersions(now time.Time) map[string][]string {
	held := map[string][]string{}
	for _, service := range d.history.Services() {
		if versions := d.history.Held(now, service); len(versions) > 0 {
			held[service] = versions
		}
	}
	return held
}

// republishHeld has the targets published again if other versions are held than when they were published.
func (d *Directory) republishHeld(now time.Time) {
	d.mu.Lock()
	same := maps.EqualFunc(d.heldVersions(now), d.held, slices.Equal)
	d.mu.Unlock()
	if !same && d.options.Republish != nil {
		d.options.Republish()
	}
}

// noteChange records that records may have to be sent to other instances, and has them sent soon. mu must be
// held.
func (d *Directory) noteChange() {
	d.changed, d.backupsDue = true, true
	wake(d.wake)
}

// wake makes a loop that waits for the channel run.
func wake(waker chan<- struct{}) {
	select {
	case waker <- struct{}{}:
	default:
	}
}

func versionsOf(targets []routes.Target) []string {
	var versions []string
	for _, t := range targets {
		if !slices.Contains(versions, t.Version) {
			versions = append(versions, t.Version)
		}
	}
	return versions
}
