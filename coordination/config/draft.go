package config

import (
	"maps"
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// draft is the next snapshot during a transaction. It shares unchanged maps with
// the last snapshot, and copies a map on its first change.
type draft struct {
	base     *catalog.Snapshot
	next     catalog.Snapshot
	accounts *catalog.AccountEditor
	copied   kindSet
}

func newDraft(base *catalog.Snapshot) *draft {
	return &draft{base: base, next: *base, accounts: base.Accounts.Edit()}
}

func (d *draft) copyOnWrite(kind kindSet) {
	if d.copied&kind != 0 {
		return
	}
	d.copied |= kind
	switch kind {
	case kindPools:
		d.next.Pools = maps.Clone(d.next.Pools)
	case kindTiers:
		d.next.Tiers = maps.Clone(d.next.Tiers)
	case kindPipelines:
		d.next.Pipelines = maps.Clone(d.next.Pipelines)
		d.next.SchemaVersions = maps.Clone(d.next.SchemaVersions)
	}
}

func (d *draft) put(item catalog.Item) {
	switch it := item.(type) {
	case *catalog.Pool:
		d.copyOnWrite(kindPools)
		d.next.Pools[it.Name] = it
	case *catalog.Tier:
		d.copyOnWrite(kindTiers)
		d.next.Tiers[it.Name] = it
	case *catalog.Pipeline:
		d.copyOnWrite(kindPipelines)
		d.next.Pipelines[it.Key] = it
		d.addVersion(it.Key)
	case *catalog.Account:
		d.copyOnWrite(kindAccounts)
		d.accounts.Put(it)
	}
}

func (d *draft) remove(item catalog.Item) {
	switch it := item.(type) {
	case *catalog.Pool:
		d.copyOnWrite(kindPools)
		delete(d.next.Pools, it.Name)
	case *catalog.Tier:
		d.copyOnWrite(kindTiers)
		delete(d.next.Tiers, it.Name)
	case *catalog.Pipeline:
		d.copyOnWrite(kindPipelines)
		delete(d.next.Pipelines, it.Key)
		d.dropVersion(it.Key)
	case *catalog.Account:
		d.copyOnWrite(kindAccounts)
		d.accounts.Delete(it.Name)
	}
}

// addVersion adds a schema version to a new copy of the list, because a published
// snapshot may hold the old one.
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

// publish returns the finished snapshot, or the last one if nothing in force has
// changed.
func (d *draft) publish(revision uint64) *catalog.Snapshot {
	if d.copied == 0 {
		return d.base
	}
	next := d.next
	next.Revision = max(revision, d.base.Revision)
	if d.copied&kindAccounts != 0 {
		next.Accounts = d.accounts.Table()
	}
	return &next
}
