package streams

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// RecordKind is the kind of the gossiped notes. A record is named by the service, its body is a
// platformapi.RolloutEntry, and it is deleted when the rollout is over.
const RecordKind = "rollout"

const (
	// rankDelay is how long an instance leaves a missing note to each of those that rank before it.
	rankDelay = time.Second
	// noteRetryMin and noteRetryMax limit the delay before a failed read of the notes is retried.
	noteRetryMin = 500 * time.Millisecond
	noteRetryMax = 10 * time.Second
)

// notes are the notes of rollouts in the store, as far as they are known here. A note lists the versions of a
// service that has several, or had within the lifetime of a stream. By its absence an instance that starts, be
// it after the loss of all others, knows that a service has had one version only.
type notes struct {
	// revisions are those of the latest records, by service.
	revisions map[string]uint64
	// differs holds since when a note differs from what is known.
	differs map[string]time.Time
}

func newNotes() notes {
	return notes{revisions: map[string]uint64{}, differs: map[string]time.Time{}}
}

// followNotes reads the notes after the start, and then writes those that are missing or outdated.
func (d *Directory) followNotes(ctx context.Context) {
	d.readNotes(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.writeNotes(ctx, now)
		}
	}
}

// readNotes reads all notes after the start, until the store has answered.
func (d *Directory) readNotes(ctx context.Context) {
	pause := noteRetryMin
	for ctx.Err() == nil {
		list, err := d.options.Store.List(ctx, platformapi.KindRollouts)
		if err == nil {
			d.applyNotes(list)
			close(d.notesRead)
			return
		}
		if ctx.Err() == nil {
			telemetry.ErrorS(err, "Notes of rollouts not read", telemetry.Event{Elapsed: time.Since(d.started)})
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, noteRetryMax)
	}
}

// awaitNotes waits until the notes have been read after the start, or the context ends. It doesn't wait
// once notesTimeout is over.
func (d *Directory) awaitNotes(ctx context.Context) {
	if time.Since(d.started) > notesTimeout {
		return
	}
	select {
	case <-d.notesRead:
	case <-ctx.Done():
	}
}

func (d *Directory) applyNotes(list platformapi.List) {
	for _, o := range list.Items {
		d.Receive(spread.Record{Kind: RecordKind, Name: o.Metadata.Name, Revision: o.Metadata.Revision, Body: o.Spec})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Unreadable == 0 {
		d.history.Complete(time.Now())
	}
}

// Receive applies a note of another instance or of the store.
func (d *Directory) Receive(r spread.Record) {
	var entry platformapi.RolloutEntry
	if !r.Deleted {
		if err := json.Unmarshal(r.Body, &entry); err != nil {
			telemetry.ErrorS(err, "Note of a rollout can't be read", telemetry.Event{Pool: r.Name, Revision: r.Revision})
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyNote(r.Name, entry.Versions, r.Revision)
}

// applyNote applies a note that is newer than the known one. mu must be held.
func (d *Directory) applyNote(service string, versions []string, revision uint64) {
	if revision <= d.notes.revisions[service] {
		return
	}
	d.notes.revisions[service] = revision
	if d.history.SetNoted(service, versions) {
		d.noteChange()
		telemetry.InfoS("Rollout of a service noted", telemetry.Event{Pool: service, Revision: revision, Count: len(versions)})
	}
}

// writeNotes writes the notes that differ from what is known, if that is this instance's turn.
func (d *Directory) writeNotes(ctx context.Context, now time.Time) {
	rank := d.options.Rank()
	if rank < 0 {
		return
	}
	for service, versions := range d.dueNotes(now, time.Duration(rank)*rankDelay) {
		if err := d.writeNote(ctx, service, versions); err != nil {
			telemetry.ErrorS(err, "Note of a rollout not written", telemetry.Event{Pool: service, Count: len(versions)})
		}
	}
}

// dueNotes returns the notes to write, by service: those that have differed from what is known for a time.
func (d *Directory) dueNotes(now time.Time, delay time.Duration) map[string][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := map[string][]string{}
	for _, service := range d.history.Services() {
		versions := d.history.Note(now, d.started, service)
		if slices.Equal(versions, d.history.Noted(service)) {
			delete(d.notes.differs, service)
			continue
		}
		since, known := d.notes.differs[service]
		if !known {
			d.notes.differs[service] = now
			since = now
		}
		if now.Sub(since) >= delay {
			due[service] = versions
		}
	}
	return due
}

// writeNote writes or deletes the note of a service and tells the other instances.
func (d *Directory) writeNote(ctx context.Context, service string, versions []string) error {
	revision, body, err := d.storeNote(ctx, service, versions)
	if err != nil {
		return err
	}
	d.mu.Lock()
	if versions == nil {
		revision = d.notes.revisions[service] + 1
	}
	d.applyNote(service, versions, revision)
	d.mu.Unlock()
	d.options.Gossip(spread.Record{Kind: RecordKind, Name: service, Revision: revision, Deleted: versions == nil, Body: body})
	return nil
}

func (d *Directory) storeNote(ctx context.Context, service string, versions []string) (revision uint64, body []byte, err error) {
	if versions == nil {
		err = d.options.Store.Delete(ctx, platformapi.KindRollouts, service, 0)
		if errors.Is(err, platform.ErrNotFound) {
			err = nil
		}
		return 0, nil, errors.Wrap(err, "delete")
	}
	if body, err = json.Marshal(platformapi.RolloutEntry{Versions: versions}); err != nil {
		return 0, nil, errors.Wrap(err, "encode")
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: service}, Spec: body}
	written, err := d.options.Store.Create(ctx, platformapi.KindRollouts, object)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		written, err = d.options.Store.Update(ctx, platformapi.KindRollouts, object)
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, "write")
	}
	return written.Metadata.Revision, body, nil
}
