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
	// copies is the number of other instances that keep the record of a stream.
	copies = 3
	// maxAsked limits the instances that are asked for a record while a service has several versions.
	// It is larger than copies, since the instances that have it may have lost their rank to others.
	maxAsked = 12
	// maxRecords limits the records that an instance keeps, of its own streams and of others.
	maxRecords = 1 << 16
	// maxSending limits the records that are being sent.
	maxSending = 256
	// tickInterval is the interval at which records are sent to instances that lack them, and what the store
	// has is compared with what is known.
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
	// own are the streams of this instance that haven't ended well, by id.
	own map[string]*ownStream
	// changed is true if records may have to be sent to other instances since the last tick.
	changed bool
	view    *membership.View
	stored  stored
	// versionsRead is closed when all services' versions have been read after the start.
	versionsRead chan struct{}
	// held are the versions that the latest SetTargets returned.
	held map[string][]string

	ownersMu sync.Mutex
	// owners are the first owners of each key in ownersView, as far as they have been needed.
	owners     [resumption.KeyCount][]membership.Member
	ownersView *membership.View
}

// ownStream is a stream that this instance serves, or served in part.
type ownStream struct {
	record resumption.Record
	began  time.Time
	// sentTo holds the instances that have the record, or are being sent it.
	sentTo map[keeperID]bool
}

// keeperID identifies one run of an instance that keeps records.
type keeperID struct {
	name        string
	incarnation uint64
}

// New returns a Directory and registers the methods that other instances call.
func New(o Options) *Directory {
	now := time.Now()
	d := &Directory{
		options: o, started: now, metrics: newMetrics(o.Scope), sending: make(chan struct{}, maxSending),
		wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1),
		history: resumption.NewHistory(now, o.FirstStart), table: resumption.NewTable(maxRecords),
		own: map[string]*ownStream{}, stored: newStored(), versionsRead: make(chan struct{}),
	}
	o.Cluster.Handle(methodKeep, d.handleKeep, peer.Idempotent())
	o.Cluster.Handle(methodFind, d.handleFind, peer.Idempotent())
	return d
}

// Run keeps records and stored versions up to date until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	go d.followVersions(ctx)
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
		d.republishHeld(now)
	}
}

// SetTargets replaces the targets that may receive new work. Only services whose streams may be taken up
// again are followed. It returns the versions that should get no new work yet, by service.
func (d *Directory) SetTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) map[string][]string {
	present := map[string][]string{}
	for _, service := range table.ResumableServices() {
		present[service] = versionsOf(usable[service])
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
	d.changed = true
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

// Began records that the caller has the first event of a stream. It doesn't wait.
func (d *Directory) Began(id string, origin resumption.Origin) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Put(now, resumption.Record{ID: id, Origin: origin})
	record, _ := d.table.Get(now, id)
	if s := d.own[id]; s == nil && len(d.own) < maxRecords || s != nil && s.record != record {
		d.own[id] = &ownStream{record: record, began: now, sentTo: map[keeperID]bool{}}
	}
	if d.history.Several(now, origin.Service) {
		d.sendMissing(id)
	}
}

// Ended records that a stream has ended well, so that its record need not be kept up to date.
func (d *Directory) Ended(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.own, id)
}

// sendAllMissing sends the records of this instance's streams to those that are to keep them and lack
// them: the instances may have changed, or a service may have got a second version.
func (d *Directory) sendAllMissing(now time.Time) {
	for _, id := range d.ownStreams(now) {
		d.mu.Lock()
		d.sendMissing(id)
		d.mu.Unlock()
	}
}

// ownStreams returns the own streams whose records may have to be sent since the last call.
func (d *Directory) ownStreams(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.metrics.records.Update(float64(d.table.Len()))
	view := d.options.Cluster.View()
	if !d.changed && view == d.view {
		return nil
	}
	d.changed, d.view = false, view
	var ids []string
	for id, s := range d.own {
		switch {
		case now.Sub(s.began) >= resumption.Lifetime:
			delete(d.own, id)
		case d.history.Several(now, s.record.Origin.Service):
			ids = append(ids, id)
		}
	}
	return ids
}

// sendMissing sends the record of an own stream to the instances that are to keep it and lack it. mu must
// be held.
func (d *Directory) sendMissing(id string) {
	s := d.own[id]
	if s == nil {
		return
	}
	for _, m := range d.keepers(id, copies) {
		to := keeperID{m.Name, m.Incarnation}
		if s.sentTo[to] {
			continue
		}
		select {
		case d.sending <- struct{}{}:
		default:
			d.changed = true // too many at once, the next tick sends it
			return
		}
		s.sentTo[to] = true
		go d.send(m, to, s.record)
	}
}

// send sends one record.
func (d *Directory) send(m membership.Member, to keeperID, r resumption.Record) {
	defer func() { <-d.sending }()
	err := d.keepAt(context.Background(), m, []recordMessage{newRecordMessage(r)})
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.own[r.ID]; s != nil {
		delete(s.sentTo, to)
		d.changed = true
	}
}

// keepers returns the other instances that keep the record of a stream, the first n.
func (d *Directory) keepers(id string, n int) []membership.Member {
	key, number := resumption.Key(id)
	view := d.options.Cluster.View()
	d.ownersMu.Lock()
	defer d.ownersMu.Unlock()
	if view != d.ownersView {
		d.owners, d.ownersView = [resumption.KeyCount][]membership.Member{}, view
	}
	if d.owners[number] == nil {
		owners := membership.Owners(view, key, maxAsked+1)
		d.owners[number] = slices.DeleteFunc(owners, func(m membership.Member) bool { return m.Name == view.Self })
	}
	owners := d.owners[number]
	return owners[:min(len(owners), n)]
}
