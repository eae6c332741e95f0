package streams

import (
	"context"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
)

// maxSending limits the instances to which records are being sent.
const maxSending = 256

// ownStream is a stream that this instance serves, or served in part.
type ownStream struct {
	record resumption.Record
	began  time.Time
	// sentTo holds the instances that have the record, or are being sent it.
	sentTo map[keeperID]bool
}

// Began records that the caller has the first event of a stream. It doesn't wait.
func (d *Directory) Began(attempt string, origin resumption.Origin) {
	now := time.Now()
	id := resumption.HashOf(attempt)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Put(now, resumption.Record{ID: id, Origin: origin})
	record, _ := d.table.Get(now, id)
	record.Backup = false
	if s := d.own[id]; s == nil && len(d.own) < maxRecords || s != nil && s.record != record {
		d.own[id] = &ownStream{record: record, began: now, sentTo: map[keeperID]bool{}}
		d.unsent[id] = struct{}{}
	}
	if d.distribution(now)(origin.Service) {
		d.sendMissing(now, id)
	}
}

// Ended records that a stream has ended well, so that its record need not be kept up to date.
func (d *Directory) Ended(attempt string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(resumption.HashOf(attempt))
}

// forget forgets an own stream. mu must be held.
func (d *Directory) forget(id resumption.Hash) {
	delete(d.own, id)
	delete(d.unsent, id)
}

// distribution returns a function that reports whether the records of a service's streams go to the owners of their keys,
// where any instance finds them: nobody can conclude from the versions of the service where a stream began. Those of other
// services go to the instances that keep the records of this one, in one message for many of them. mu must be held for
// each call.
func (d *Directory) distribution(now time.Time) func(service string) bool {
	known := map[string]bool{}
	return func(service string) bool {
		distributed, ok := known[service]
		if !ok {
			distributed = d.history.Sole(now, service) == ""
			known[service] = distributed
		}
		return distributed
	}
}

// sendAllMissing sends the records of this instance's streams to those that are to keep them and lack
// them: streams have begun, the instances may have changed, or a service may have got a second version.
func (d *Directory) sendAllMissing(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.metrics.records.Update(float64(d.table.Len()))
	if view := d.options.Cluster.View(); d.changed || view != d.view {
		d.changed, d.view = false, view
		for id := range d.own {
			d.unsent[id] = struct{}{}
		}
	}
	ids := make([]resumption.Hash, 0, len(d.unsent))
	for id := range d.unsent {
		if now.Sub(d.own[id].began) >= resumption.Lifetime {
			d.forget(id)
			continue
		}
		ids = append(ids, id)
	}
	d.sendMissing(now, ids...)
}

// transfer is what one instance is to keep.
type transfer struct {
	to      membership.Member
	backup  bool
	records []resumption.Record
}

// transfers are transfers by the instance and whether it keeps backups.
type transfers map[transferKey]*transfer

type transferKey struct {
	to     keeperID
	backup bool
}

func (t transfers) add(to membership.Member, r resumption.Record, backup bool) {
	key := transferKey{newKeeperID(to), backup}
	if t[key] == nil {
		t[key] = &transfer{to: to, backup: backup}
	}
	t[key].records = append(t[key].records, r)
}

// sendMissing sends the records of own streams to the instances that are to keep them and lack them. mu must
// be held.
func (d *Directory) sendMissing(now time.Time, ids ...resumption.Hash) {
	view := d.options.Cluster.View()
	missing, isDistributed := transfers{}, d.distribution(now)
	for _, id := range ids {
		delete(d.unsent, id)
		s := d.own[id]
		if s == nil {
			continue
		}
		backup := !isDistributed(s.record.Origin.Service)
		to := d.keepers.ofKey(view, id, copies)
		if backup {
			to = d.keepers.ofSelf(view)
		}
		for _, m := range to {
			if !s.sentTo[newKeeperID(m)] {
				s.sentTo[newKeeperID(m)] = true
				missing.add(m, s.record, backup)
			}
		}
	}
	d.startSending(missing, d.noteUnsent)
}

// startSending sends records without waiting for it. failed is called, with mu held, with what an instance hasn't
// received, or what there were too many transfers for. mu must be held.
func (d *Directory) startSending(all transfers, failed func(t *transfer)) {
	for _, t := range all {
		select {
		case d.sending <- struct{}{}:
		default:
			failed(t)
			continue
		}
		go func() {
			defer func() { <-d.sending }()
			if d.keepAt(context.Background(), t) != nil {
				d.mu.Lock()
				defer d.mu.Unlock()
				failed(t)
			}
		}()
	}
}

// noteUnsent has the next tick send own records. mu must be held.
func (d *Directory) noteUnsent(t *transfer) {
	for _, r := range t.records {
		if s := d.own[r.ID]; s != nil {
			delete(s.sentTo, newKeeperID(t.to))
			d.unsent[r.ID] = struct{}{}
		}
	}
}

// distributeBackups passes the records that this instance keeps for others on to the owners of their keys, for services
// whose only version isn't known any more: the instances that serve the streams may be lost.
func (d *Directory) distributeBackups(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.backupsDue {
		return
	}
	d.backupsDue = false
	records := d.table.TakeBackups(now, d.distribution(now))
	d.startSending(d.toOwners(records), func(t *transfer) {
		for _, r := range t.records {
			d.table.MarkBackup(r.ID)
		}
		d.backupsDue = true
	})
}

// toOwners returns the transfers of records to the owners of their keys.
func (d *Directory) toOwners(records []resumption.Record) transfers {
	view := d.options.Cluster.View()
	all := transfers{}
	for _, r := range records {
		for _, m := range d.keepers.ofKey(view, r.ID, copies) {
			all.add(m, r, false)
		}
	}
	return all
}

// Handover passes the records on to the instances that keep them once this one has stopped. It returns when
// they have them or don't answer, or when the context ends.
func (d *Directory) Handover(ctx context.Context) {
	all := d.toOwners(d.neededRecords())
	sent := make(chan struct{}, len(all))
	for _, t := range all {
		go func() {
			_ = d.keepAt(ctx, t) // logged
			sent <- struct{}{}
		}()
	}
	for range all {
		<-sent
	}
}

// neededRecords returns the records that the owners of their keys should have.
func (d *Directory) neededRecords() []resumption.Record {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	isDistributed := d.distribution(now)
	return slices.DeleteFunc(d.table.All(now), func(r resumption.Record) bool {
		return !r.Ambiguous && !isDistributed(r.Origin.Service)
	})
}
