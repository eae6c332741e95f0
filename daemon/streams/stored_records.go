package streams

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	// recordsInterval is the shortest time between two writes of an instance's records, recordsPerInstance its part for
	// each live instance: a fleet of any size makes 100 such writes a second at most, and each tick has one in a small fleet.
	recordsInterval    = 400 * time.Millisecond
	recordsPerInstance = 10 * time.Millisecond
	// recordsReadInterval is the shortest time between two reads of all records.
	recordsReadInterval = time.Second
	// recordsRetention is how long stored records are kept. It is longer than resumption.Lifetime, since the clocks of
	// instances differ.
	recordsRetention = 2 * resumption.Lifetime
	// sweepInterval is the interval at which the first-ranked instance deletes the records of instances that are gone.
	sweepInterval = 10 * time.Minute
)

// storedRecords is what this instance has in the store, for instances that start after it and all keepers of its records
// were lost: the records of its streams whose services have several versions.
type storedRecords struct {
	// revision is that of its object, 0 if it isn't known to have one.
	revision uint64
	// written are the streams of the latest write.
	written map[resumption.Hash]struct{}
	// inherited are records of an earlier run of this instance.
	inherited []platformapi.StreamGroup
	writtenAt time.Time
	// failed schedules the next try after a failed write.
	failed dueWrite
	// reading is closed when a read of all records ends, nil if none is in progress. readAt is when the latest one began.
	reading chan struct{}
	readAt  time.Time
	sweptAt time.Time
}

// followRecords keeps this instance's records in the store up to date until the context ends.
func (d *Directory) followRecords(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := d.writeRecords(ctx, time.Now()); err != nil {
			d.noteRecordsFailed(err)
		}
		d.sweepRecords(ctx, time.Now())
	}
}

func (d *Directory) noteRecordsFailed(err error) {
	d.mu.Lock()
	pause := d.records.failed.recordTry(time.Now(), errors.Is(err, platform.ErrRefused))
	d.mu.Unlock()
	d.metrics.recordsNotStored.Inc(1)
	telemetry.ErrorS(err, "Versions of streams not stored", telemetry.Event{RetryAfter: pause})
}

// recordsChange is a write that is due.
type recordsChange struct {
	// records are nil if the object is to be deleted.
	records []resumption.Record
	name    string
}

// writeRecords stores the records if streams have been added, or deletes them if nobody needs them any more.
func (d *Directory) writeRecords(ctx context.Context, now time.Time) error {
	change, due := d.takeRecordsChange(now)
	if !due {
		return nil
	}
	if change.records == nil {
		return d.deleteRecords(ctx, change.name)
	}
	err := d.putRecords(ctx, now, change)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current != nil {
		d.inheritRecords(now, conflict.Current)
		err = d.putRecords(ctx, now, change)
	}
	if errors.Is(err, platform.ErrNotFound) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.records.revision = 0 // it is created at the next tick
		return nil
	}
	return err
}

// takeRecordsChange returns the write that is due.
func (d *Directory) takeRecordsChange(now time.Time) (change recordsChange, due bool) {
	view := d.options.Cluster.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.records
	interval := max(recordsInterval, time.Duration(len(view.Live()))*recordsPerInstance)
	if now.Sub(r.writtenAt) < interval || now.Before(r.failed.notBefore) {
		return recordsChange{}, false
	}
	change.name = view.Self
	isDistributed := d.distribution(now)
	for id, s := range d.own {
		if !isDistributed(s.record.Origin.Service) {
			continue
		}
		change.records = append(change.records, s.record)
		if _, known := r.written[id]; !known {
			due = true
		}
	}
	if len(change.records) == 0 {
		due = r.revision != 0 && now.Sub(r.writtenAt) >= recordsRetention
	}
	return change, due
}

// putRecords writes the records to the object that is known here.
func (d *Directory) putRecords(ctx context.Context, now time.Time, change recordsChange) error {
	d.mu.Lock()
	r := &d.records
	r.inherited = slices.DeleteFunc(r.inherited, func(g platformapi.StreamGroup) bool { return isOver(now, g) })
	entry := platformapi.StreamsEntry{Groups: append(newStreamGroups(now, change.records), r.inherited...)}
	revision := r.revision
	d.mu.Unlock()
	body, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: change.name, Revision: revision}, Spec: body}
	var written *platformapi.Object
	if revision == 0 {
		written, err = d.options.Store.Create(ctx, platformapi.KindStreamRecords, object)
	} else {
		written, err = d.options.Store.Update(ctx, platformapi.KindStreamRecords, object)
	}
	if err != nil {
		return errors.Wrap(err, "write")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.revision, r.writtenAt, r.failed = written.Metadata.Revision, now, dueWrite{}
	r.written = make(map[resumption.Hash]struct{}, len(change.records))
	for _, record := range change.records {
		r.written[record.ID] = struct{}{}
	}
	return nil
}

// inheritRecords takes over what an earlier run of this instance has stored.
func (d *Directory) inheritRecords(now time.Time, current *platformapi.Object) {
	groups := d.applyRecords(now, current)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.revision, d.records.inherited = current.Metadata.Revision, groups
}

func (d *Directory) deleteRecords(ctx context.Context, name string) error {
	d.mu.Lock()
	revision := d.records.revision
	d.mu.Unlock()
	var conflict *platform.ConflictError
	err := d.options.Store.Delete(ctx, platformapi.KindStreamRecords, name, revision)
	if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.As(err, &conflict) {
		return errors.Wrap(err, "delete")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.revision, d.records.written, d.records.inherited = 0, nil, nil
	return nil
}

// newStreamGroups returns records as they are stored.
func newStreamGroups(now time.Time, records []resumption.Record) []platformapi.StreamGroup {
	until := now.Add(recordsRetention).Unix()
	var groups []platformapi.StreamGroup
	for _, g := range groupRecords(records) {
		groups = append(groups, platformapi.StreamGroup{Service: g.Service, Version: g.Version, Ambiguous: g.Ambiguous, Until: until, Streams: g.Hashes})
	}
	return groups
}

// isOver reports whether nobody needs a group any more.
func isOver(now time.Time, g platformapi.StreamGroup) bool { return now.Unix() >= g.Until }

// applyRecords keeps the records of a stored object, and returns its groups that are still needed.
func (d *Directory) applyRecords(now time.Time, o *platformapi.Object) []platformapi.StreamGroup {
	var entry platformapi.StreamsEntry
	if err := json.Unmarshal(o.Spec, &entry); err != nil {
		telemetry.ErrorS(err, "Versions of streams can't be decoded", telemetry.Event{Peer: o.Metadata.Name, Revision: o.Metadata.Revision})
		return nil
	}
	needed := slices.DeleteFunc(entry.Groups, func(g platformapi.StreamGroup) bool { return isOver(now, g) })
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range needed {
		for _, id := range resumption.DecodeHashes(g.Streams) {
			d.table.Put(now, resumption.Record{ID: id, Origin: resumption.Origin{Service: g.Service, Version: g.Version}, Ambiguous: g.Ambiguous})
		}
	}
	return needed
}

// awaitStoredRecords reads the records that all instances have stored, unless that was done a moment ago. It returns when
// they have been read or don't come in time.
func (d *Directory) awaitStoredRecords(ctx context.Context) {
	d.mu.Lock()
	reading := d.records.reading
	if now := time.Now(); reading == nil && now.Sub(d.records.readAt) >= recordsReadInterval {
		reading = make(chan struct{})
		d.records.reading, d.records.readAt = reading, now
		go d.readRecords(reading)
	}
	d.mu.Unlock()
	if reading == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

func (d *Directory) readRecords(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	list, err := d.options.Store.List(ctx, platformapi.KindStreamRecords)
	if err != nil {
		telemetry.ErrorS(err, "Versions of streams not read", telemetry.Event{Elapsed: time.Since(d.started)})
	}
	for i := range list.Items {
		d.applyRecords(time.Now(), &list.Items[i])
	}
	d.mu.Lock()
	d.records.reading = nil
	d.mu.Unlock()
	close(done)
}

// sweepRecords deletes stored records that nobody needs: those of instances that are gone.
func (d *Directory) sweepRecords(ctx context.Context, now time.Time) {
	rank := d.options.Rank()
	d.mu.Lock()
	due := now.Sub(d.records.sweptAt) >= sweepInterval && rank == 0
	if due {
		d.records.sweptAt = now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	list, err := d.options.Store.List(ctx, platformapi.KindStreamRecords)
	for i := range list.Items {
		o := &list.Items[i]
		if len(d.applyRecords(now, o)) > 0 {
			continue
		}
		var conflict *platform.ConflictError
		deleted := d.options.Store.Delete(ctx, platformapi.KindStreamRecords, o.Metadata.Name, o.Metadata.Revision)
		if !errors.Is(deleted, platform.ErrNotFound) && !errors.As(deleted, &conflict) {
			err = errors.CombineErrors(err, deleted)
		}
	}
	if err != nil {
		telemetry.ErrorS(err, "Old versions of streams not deleted", telemetry.Event{})
	}
}
