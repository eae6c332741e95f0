package streams

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// RecordKind is the kind of the gossiped records of services' versions. A record is named by the service, its
// body is a platformapi.VersionsEntry, and it is deleted when the service is no longer configured.
const RecordKind = "service-versions"

const (
	// rankDelay is how long an instance leaves a due write to each of those that rank before it.
	rankDelay = 500 * time.Millisecond
	// missedDelay is after which time an instance that doesn't write reads a record that lacks a version.
	missedDelay = time.Second
	// createDelay is how long after the start of an instance a service without a record gets one. By then
	// the instances that start together know which one ranks first.
	createDelay = 2 * time.Second
	// versionsRetryMin and versionsRetryMax limit the delay before a failed read or write is retried.
	versionsRetryMin = 500 * time.Millisecond
	versionsRetryMax = 10 * time.Second
	// refusedRetryMin and refusedRetryMax do so for a write that the store refuses for good.
	refusedRetryMin = 10 * time.Second
	refusedRetryMax = 5 * time.Minute
	// confirmInterval is the shortest time between two reads of the records for streams that are taken up.
	confirmInterval = 50 * time.Millisecond
)

// stored is what is known of the records of services' versions in the store. A record lists the versions at
// which streams that may be taken up can have begun. It is for instances that start after the loss of all.
type stored struct {
	// revisions are those of the latest records, by service. That of a deleted record is the last one it had.
	revisions map[string]uint64
	// due holds the writes that are due, by service.
	due map[string]*dueWrite
	// confirming is the read for streams that are taken up, nil if none is due, and confirmedAt is when the latest
	// one began or will begin.
	confirming  *confirmation
	confirmedAt time.Time
}

// dueWrite is a record that differs from the desired one.
type dueWrite struct {
	since time.Time
	// notBefore is when the write is tried again; pause is the limit of the latest delay.
	notBefore time.Time
	pause     time.Duration
}

// confirmation is a read of the records of all services that has not begun.
type confirmation struct {
	// done is closed at its end; contents is then what was read, nil if the store has not answered.
	done     chan struct{}
	contents *contents
}

// contents are the records that the store had when they were read.
type contents struct {
	readable map[string]bool
	// complete is false if some record couldn't be decoded.
	complete bool
}

// covers reports whether it is known which record the store had of a service, or that it had none.
func (c *contents) covers(service string) bool {
	return c != nil && (c.complete || c.readable[service])
}

func newStored() stored {
	return stored{revisions: map[string]uint64{}, due: map[string]*dueWrite{}}
}

// followVersions reads the records after the start, and then writes those that are missing or outdated.
func (d *Directory) followVersions(ctx context.Context) {
	d.readAllVersions(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wakeWriter:
		}
		d.writeVersions(ctx, time.Now())
	}
}

// readAllVersions reads all records after the start, until the store has answered.
func (d *Directory) readAllVersions(ctx context.Context) {
	pause := versionsRetryMin
	for ctx.Err() == nil {
		_, err := d.readContents(ctx)
		if err == nil {
			close(d.versionsRead)
			return
		}
		if ctx.Err() == nil {
			telemetry.ErrorS(err, "Versions of services not read", telemetry.Event{Elapsed: time.Since(d.started)})
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, versionsRetryMax)
	}
}

// awaitVersions waits until the records have been read after the start, or the context ends. It doesn't wait
// once readTimeout is over.
func (d *Directory) awaitVersions(ctx context.Context) {
	if time.Since(d.started) > readTimeout {
		return
	}
	select {
	case <-d.versionsRead:
	case <-ctx.Done():
	}
}

// confirm reads the records once the call has begun. Concurrent calls share a read, whatever the service, so
// that the rate of reads doesn't grow with the number of streams or services.
func (d *Directory) confirm() *confirmation {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.stored.confirming
	if c == nil {
		c = &confirmation{done: make(chan struct{})}
		now := time.Now()
		delay := max(d.stored.confirmedAt.Add(confirmInterval).Sub(now), 0)
		d.stored.confirming, d.stored.confirmedAt = c, now.Add(delay)
		go d.runConfirmation(c, delay)
	}
	return c
}

func (d *Directory) runConfirmation(c *confirmation, delay time.Duration) {
	time.Sleep(delay)
	d.mu.Lock()
	d.stored.confirming = nil
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	var err error
	if c.contents, err = d.readContents(ctx); err != nil {
		telemetry.ErrorS(err, "Versions of services not read", telemetry.Event{Elapsed: time.Since(d.started)})
	}
	close(c.done)
}

// readContents reads the records of all services.
func (d *Directory) readContents(ctx context.Context) (*contents, error) {
	list, err := d.options.Store.List(ctx, platformapi.KindServiceVersions)
	if err != nil {
		return nil, errors.Wrap(err, "list versions of services")
	}
	c := &contents{readable: map[string]bool{}, complete: list.Unreadable == 0}
	for i := range list.Items {
		if d.applyObject(&list.Items[i]) != nil {
			c.complete = false
			continue
		}
		c.readable[list.Items[i].Metadata.Name] = true
	}
	if c.complete {
		d.applyAbsences(c.readable, list.Revision)
	}
	return c, nil
}

// applyAbsences applies that the store had no records but the present ones at a revision.
func (d *Directory) applyAbsences(present map[string]bool, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service := range d.stored.revisions {
		if !present[service] {
			d.apply(service, nil, revision)
		}
	}
}

// readVersions reads the record of a service.
func (d *Directory) readVersions(ctx context.Context, service string) error {
	d.mu.Lock()
	known := d.stored.revisions[service]
	d.mu.Unlock()
	object, err := d.options.Store.Get(ctx, platformapi.KindServiceVersions, service)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		d.applyAbsence(service, known)
		return nil
	case err != nil:
		return err
	}
	return d.applyObject(object)
}

// applyObject applies a record that was read from the store.
func (d *Directory) applyObject(o *platformapi.Object) error {
	return d.receive(spread.Record{Kind: RecordKind, Name: o.Metadata.Name, Revision: o.Metadata.Revision, Body: o.Spec})
}

// Receive applies the record of another instance.
func (d *Directory) Receive(r spread.Record) { _ = d.receive(r) } // logged

func (d *Directory) receive(r spread.Record) error {
	var entry platformapi.VersionsEntry
	if !r.Deleted {
		if err := json.Unmarshal(r.Body, &entry); err != nil {
			telemetry.ErrorS(err, "Versions of a service can't be decoded", telemetry.Event{Pool: r.Name, Revision: r.Revision})
			return errors.Wrap(err, "decode")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Deleted {
		d.apply(r.Name, nil, r.Revision)
		return nil
	}
	d.apply(r.Name, &resumption.Stored{Versions: entry.Versions, Complete: entry.Complete}, r.Revision)
	return nil
}

// applyAbsence applies that the store has no record of a service, unless a later one than the given revision
// is known.
func (d *Directory) applyAbsence(service string, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stored.revisions[service] == revision {
		d.apply(service, nil, revision+1)
	}
}

// apply applies a record that is newer than the known one; nil if there is none. mu must be held.
func (d *Directory) apply(service string, record *resumption.Stored, revision uint64) {
	if revision <= d.stored.revisions[service] {
		return
	}
	d.stored.revisions[service] = revision
	if !d.history.SetStored(time.Now(), service, record) {
		return
	}
	d.noteChange()
	count := 0
	if record != nil {
		count = len(record.Versions)
	}
	telemetry.InfoS("Versions of a service stored", telemetry.Event{Pool: service, Revision: revision, Count: count})
}

// writeVersions writes the records that differ from the desired ones, if that is this instance's turn. An
// instance whose turn it isn't reads a record that lacks a version, since it may have missed the write.
func (d *Directory) writeVersions(ctx context.Context, now time.Time) {
	rank := d.options.Rank()
	for service, desired := range d.takeDue(now, rank) {
		var err error
		if rank < 0 {
			err = d.readVersions(ctx, service)
		} else {
			err = d.write(ctx, service, desired)
		}
		d.recordWrite(service, err)
	}
}

// takeDue returns the desired records that have differed from the known ones for long enough, by service.
func (d *Directory) takeDue(now time.Time, rank int) map[string]*resumption.Stored {
	current := d.options.KnowledgeAge() <= currentAge
	d.mu.Lock()
	defer d.mu.Unlock()
	due := map[string]*resumption.Stored{}
	for _, service := range d.history.Services() {
		desired, known := d.history.Desired(now, service, current), d.history.Stored(service)
		if isSame(desired, known) {
			delete(d.stored.due, service)
			continue
		}
		w := d.stored.due[service]
		if w == nil {
			w = &dueWrite{since: now}
			d.stored.due[service] = w
		}
		wait := time.Duration(max(rank, 0)) * rankDelay
		if rank < 0 {
			wait = missedDelay
		}
		if now.Sub(w.since) < wait || now.Before(w.notBefore) || known == nil && now.Sub(d.started) < createDelay {
			continue
		}
		due[service] = desired
	}
	return due
}

// isSame reports whether two records are the same, or both are missing.
func isSame(a, b *resumption.Stored) bool { return a == b || a != nil && b != nil && a.Equal(*b) }

// recordWrite schedules the next try after a write or, if err is nil, after the read in its place.
func (d *Directory) recordWrite(service string, err error) {
	d.mu.Lock()
	w := d.stored.due[service]
	if w == nil {
		d.mu.Unlock()
		return
	}
	pause := w.recordTry(time.Now(), errors.Is(err, platform.ErrRefused))
	d.mu.Unlock()
	if err != nil {
		d.metrics.notStored.Inc(1)
		telemetry.ErrorS(err, "Versions of a service not stored", telemetry.Event{Pool: service, RetryAfter: pause})
	}
}

// recordTry doubles the pause and returns the one before the next try.
func (w *dueWrite) recordTry(now time.Time, refused bool) time.Duration {
	shortest, longest := versionsRetryMin, versionsRetryMax
	if refused {
		shortest, longest = refusedRetryMin, refusedRetryMax
	}
	w.pause = min(max(2*w.pause, shortest), longest)
	pause := w.pause/2 + rand.N(w.pause/2)
	w.notBefore = now.Add(pause)
	return pause
}

// write writes or deletes the record of a service and tells the other instances. It does so only if the store has
// the record that is known here; if not, it applies the store's.
func (d *Directory) write(ctx context.Context, service string, desired *resumption.Stored) error {
	d.mu.Lock()
	known := d.stored.revisions[service]
	stored := d.history.Stored(service)
	d.mu.Unlock()
	if isSame(desired, stored) {
		return nil // another instance has written it in the meantime
	}
	exists := stored != nil
	revision, body, err := d.store(ctx, service, desired, known, exists)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Current != nil:
		return d.applyObject(conflict.Current)
	case errors.As(err, &conflict), errors.Is(err, platform.ErrNotFound):
		return d.readVersions(ctx, service)
	case err != nil:
		return err
	}
	d.mu.Lock()
	d.apply(service, desired, revision)
	d.mu.Unlock()
	d.options.Gossip(spread.Record{Kind: RecordKind, Name: service, Revision: revision, Deleted: desired == nil, Body: body})
	return nil
}

func (d *Directory) store(ctx context.Context, service string, desired *resumption.Stored, known uint64, exists bool) (revision uint64, body []byte, err error) {
	if desired == nil {
		err = d.options.Store.Delete(ctx, platformapi.KindServiceVersions, service, known)
		return known + 1, nil, errors.Wrap(err, "delete")
	}
	if body, err = json.Marshal(platformapi.VersionsEntry{Versions: desired.Versions, Complete: desired.Complete}); err != nil {
		return 0, nil, errors.Wrap(err, "encode")
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: service}, Spec: body}
	var written *platformapi.Object
	if exists {
		object.Metadata.Revision = known
		written, err = d.options.Store.Update(ctx, platformapi.KindServiceVersions, object)
	} else {
		written, err = d.options.Store.Create(ctx, platformapi.KindServiceVersions, object)
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, "write")
	}
	return written.Metadata.Revision, body, nil
}
