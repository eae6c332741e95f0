package config

import (
	"maps"
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// draft is the next snapshot while a change is under way. It shares with the
// last one all that stays the same, and copies a map on its first change.
type draft struct {
	base     *catalog.Snapshot
	next     catalog.Snapshot
	accounts *catalog.AccountEditor
	copied   kinds
}

func newDraft(base *catalog.Snapshot) *draft {
	return &draft{base: base, next: *base, accounts: base.Accounts.Edit()}
}

func (d *draft) own(kind kinds) {
	if d.copied&kind != 0 {
		return
	}
	d.copied |= kind
	switch kind {
	case pools:
		d.next.Pools = maps.Clone(d.next.Pools)
	case tiers:
		d.next.Tiers = maps.Clone(d.next.Tiers)
	case pipelines:
		d.next.Pipelines = maps.Clone(d.next.Pipelines)
		d.next.SchemaVersions = maps.Clone(d.next.SchemaVersions)
	}
}

func (d *draft) put(item catalog.Item) {
	switch it := item.(type) {
	case *catalog.Pool:
		d.own(pools)
		d.next.Pools[it.Name] = it
	case *catalog.Tier:
		d.own(tiers)
		d.next.Tiers[it.Name] = it
	case *catalog.Pipeline:
		d.own(pipelines)
		d.next.Pipelines[it.Key] = it
		d.addVersion(it.Key)
	case *catalog.Account:
		d.own(accounts)
		d.accounts.Put(it)
	}
}

func (d *draft) remove(item catalog.Item) {
	switch it := item.(type) {
	case *catalog.Pool:
		d.own(pools)
		delete(d.next.Pools, it.Name)
	case *catalog.Tier:
		d.own(tiers)
		delete(d.next.Tiers, it.Name)
	case *catalog.Pipeline:
		d.own(pipelines)
		delete(d.next.Pipelines, it.Key)
		d.dropVersion(it.Key)
	case *catalog.Account:
		d.own(accounts)
		d.accounts.Delete(it.Name)
	}
}

// addVersion lists a schema version. The list is a new one: the old one may be
// in a published snapshot.
func (d *draft) addVersion(key catalog.PipelineKey) {
	versions := slices.Clone(d.next.SchemaVersions[key.Name])
	at, found := slices.BinarySearch(versions, key.SchemaVersion)
	if !found {
		versions = slices.Insert(versions, at, key.SchemaVersion)
	}
	d.next.SchemaVersions[key.Name] = versions
}

func (d *draft) dropVersion(key catalog.PipelineKey) {
	versions := slices.DeleteFunc(slices.Clone(d.next.SchemaVersions[key.Name]), func(v int) bool {
		return v == key.SchemaVersion
	})
	if len(versions) == 0 {
		delete(d.next.SchemaVersions, key.Name)
		return
	}
	d.next.SchemaVersions[key.Name] = versions
}

// publish returns the finished snapshot, or the last one when nothing in force
// has changed.
func (d *draft) publish(revision uint64) *catalog.Snapshot {
	if d.copied == 0 {
		return d.base
	}
	next := d.next
	next.Revision = max(revision, d.base.Revision)
	if d.copied&accounts != 0 {
		next.Accounts = d.accounts.Table()
	}
	return &next
}
