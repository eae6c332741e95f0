// Package config decides which configuration is in force. It receives records
// from the platform's store and from peers, in any order and any number of
// times, keeps the newest version of each, evaluates it against the others, and
// publishes the accepted versions as one immutable snapshot. It is a pure state
// machine: its owner serialises the calls and does all I/O.
//
// Three rules make all instances converge on the same configuration:
//   - The revision of a record's newest version only increases. A delete is a
//     version too (a tombstone).
//   - The revision of a record's version in force only increases. Each instance
//     evaluates records itself, and adopts versions that a peer has accepted.
//   - All other state is derived from these two.
package config

import (
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Decoder decodes the spec of a record. It must be deterministic, so that every
// instance refuses the same specs.
type Decoder func(kind catalog.RecordKind, name string, revision uint64, spec []byte) (catalog.Item, error)

// Key identifies a record.
type Key struct {
	Kind catalog.RecordKind
	Name string
}

// Version is one version of a record.
type Version struct {
	// Revision is the store's revision of the write that created the version;
	// 0 means that there is no version.
	Revision uint64
	Deleted  bool
	// Spec of a deleted pool or tier is the one last in force. It stays in
	// effect for the records that still refer to it.
	Spec []byte
	// SpecRevision is the revision at which Spec was written. It differs from
	// Revision only in a tombstone.
	SpecRevision uint64
}

// newerThan orders the versions of one record. Two tombstones with the same
// revision can differ in the spec that they retain.
func (v Version) newerThan(w Version) bool {
	if v.Revision != w.Revision {
		return v.Revision > w.Revision
	}
	return v.SpecRevision > w.SpecRevision
}

// Record is the state of one record on an instance: the unit of exchange with
// the store and with peers.
type Record struct {
	Key
	// Newest is the newest version known, accepted or not.
	Newest Version
	// Accepted reports whether the newest version is in force on the sender.
	// False means that it was refused or has not been evaluated yet.
	Accepted bool
	// InForce is the last accepted version if that is not the newest one; its
	// revision is 0 if there is none.
	InForce Version
}

// LiveRecord returns the record of an object that exists in the store.
func LiveRecord(key Key, revision uint64, spec []byte) Record {
	return Record{Key: key, Newest: Version{Revision: revision, Spec: spec, SpecRevision: revision}}
}

// TombstoneRecord returns the record of an object that was deleted at a revision.
func TombstoneRecord(key Key, revision uint64) Record {
	return Record{Key: key, Newest: Version{Revision: revision, Deleted: true}}
}

// Verdict reports whether the newest version of a record is accepted.
type Verdict struct {
	Key
	// Revision identifies the version that was evaluated.
	Revision uint64
	Deleted  bool
	Accepted bool
	// Reason states in one line why the version is refused.
	Reason string
	// InForce is the version that stays in force in place of a refused one;
	// its revision is 0 if there is none.
	InForce Version
}

// Digest summarises the records of an instance for comparison with a peer.
type Digest struct {
	// Count is the number of records that are live or still in force.
	Count int
	// MaxRevision is the greatest revision held, tombstones included. It shows
	// which side is ahead. Same ignores it, because instances drop old
	// tombstones independently.
	MaxRevision uint64
	// Hash covers the names and revisions of the counted records.
	Hash uint64
}

// Same reports whether two instances hold the same configuration.
func (d Digest) Same(other Digest) bool {
	return d.Count == other.Count && d.Hash == other.Hash
}

// Cursor is a position in the paging order of records: by revision, then kind,
// then name. The zero value is the start. A changed record moves to the end, so
// paging to the end misses no change.
type Cursor struct {
	Revision uint64
	Key
}

// PageLimit bounds a page of records.
type PageLimit struct {
	Records int
	// Bytes bounds the total size of the specs; a single record may exceed it.
	Bytes int
}

// BucketSet is a set of buckets, one bit each. Records are distributed over the
// buckets by a hash of their names.
type BucketSet uint64

// BucketCount is the number of buckets.
const BucketCount = 64

// AllBuckets selects every record.
const AllBuckets = ^BucketSet(0)

// Kinds lists the kinds of record in the order of their dependencies: a kind
// refers to earlier ones only.
var Kinds = []catalog.RecordKind{
	catalog.RecordPools, catalog.RecordTiers, catalog.RecordPipelines, catalog.RecordAccounts,
}

// kindSet is a set of record kinds, one bit each.
type kindSet uint8

const (
	kindPools kindSet = 1 << iota
	kindTiers
	kindPipelines
	kindAccounts
	allKinds = kindPools | kindTiers | kindPipelines | kindAccounts
)

// kindBit returns the bit of a kind, or 0 for an unknown kind.
func kindBit(kind catalog.RecordKind) kindSet {
	switch kind {
	case catalog.RecordPools:
		return kindPools
	case catalog.RecordTiers:
		return kindTiers
	case catalog.RecordPipelines:
		return kindPipelines
	case catalog.RecordAccounts:
		return kindAccounts
	}
	return 0
}
