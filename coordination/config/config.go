// Package config decides which configuration is in force. It takes records
// from the platform's store and from peers, in any order and as often as they
// come, keeps the newest version of each, judges it against the others, and
// publishes what is accepted as one immutable snapshot. It is a pure state
// machine: its owner serialises the calls and does all I/O.
//
// Three rules make every instance end with the same configuration:
//   - The newest version of a record only grows in revision. A delete is a
//     version too (a tombstone).
//   - The version in force only grows in revision. Each instance judges for
//     itself, and takes over what a peer has accepted.
//   - Everything else is computed from these two.
package config

import (
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Decoder reads the spec of a record. It must be deterministic, so that every
// instance refuses the same specs.
type Decoder func(kind catalog.RecordKind, name string, revision uint64, spec []byte) (catalog.Item, error)

// Key names a record.
type Key struct {
	Kind catalog.RecordKind
	Name string
}

// Version is one version of a record.
type Version struct {
	// Revision is the store's revision of the change that made the version;
	// 0 stands for no version.
	Revision uint64
	Deleted  bool
	// Spec of a deleted pool or tier is the one last in force: it goes on
	// serving the records that still use it.
	Spec []byte
	// SpecRevision is the revision at which Spec was written. It differs from
	// Revision only in a deleted version.
	SpecRevision uint64
}

// newerThan orders versions of one record. Two tombstones of one revision can
// differ in the spec that they keep.
func (v Version) newerThan(w Version) bool {
	if v.Revision != w.Revision {
		return v.Revision > w.Revision
	}
	return v.SpecRevision > w.SpecRevision
}

// Record is what an instance knows of one record: the unit of exchange with
// the store and with peers.
type Record struct {
	Key
	// Newest is the newest version known, accepted or not.
	Newest Version
	// Accepted tells that the newest version is in force, by the judgement of
	// the sender. False means refused or not judged yet.
	Accepted bool
	// InForce is the last accepted version when that is not the newest; its
	// revision is 0 when there is none.
	InForce Version
}

// Live makes the record of an object that the store holds.
func LiveRecord(key Key, revision uint64, spec []byte) Record {
	return Record{Key: key, Newest: Version{Revision: revision, Spec: spec, SpecRevision: revision}}
}

// Tombstone makes the record of an object that was deleted at a revision.
func TombstoneRecord(key Key, revision uint64) Record {
	return Record{Key: key, Newest: Version{Revision: revision, Deleted: true}}
}

// Verdict tells whether the newest version of a record is accepted.
type Verdict struct {
	Key
	// Revision is the version that was judged.
	Revision uint64
	Deleted  bool
	Accepted bool
	// Reason says in one line why the version is refused.
	Reason string
	// InForce is the version that goes on serving in place of a refused one;
	// its revision is 0 when there is none.
	InForce Version
}

// Digest sums up what an instance holds, for comparison with a peer.
type Digest struct {
	// Count is the number of records that are live or still in force.
	Count int
	// MaxRevision is the greatest revision held, tombstones included. It tells
	// who is ahead, but plays no part in Same: instances drop old tombstones.
	MaxRevision uint64
	// Hash covers names and revisions of the live records.
	Hash uint64
}

// Same tells whether two instances hold the same configuration.
func (d Digest) Same(other Digest) bool {
	return d.Count == other.Count && d.Hash == other.Hash
}

// Cursor is a place in the order in which records are handed out: by revision,
// then kind and name. The zero value is the start. A record that changes moves
// to the end, so paging to the end misses none.
type Cursor struct {
	Revision uint64
	Key
}

// Limit bounds a page of records.
type PageLimit struct {
	Records int
	// Bytes bounds the specs, in bytes; a single record may exceed it.
	Bytes int
}

// BucketSet chooses some of the buckets that records are spread over by key.
type BucketSet uint64

// Buckets is how many buckets there are.
const BucketCount = 64

// AllBuckets chooses every record.
const AllBuckets = ^BucketSet(0)

// Kinds lists the kinds of record in the order of their dependencies: a kind
// refers to earlier ones only.
var Kinds = []catalog.RecordKind{
	catalog.RecordPools, catalog.RecordTiers, catalog.RecordPipelines, catalog.RecordAccounts,
}

// kinds is a set of kinds, one bit each.
type kindSet uint8

const (
	kindPools kindSet = 1 << iota
	kindTiers
	kindPipelines
	kindAccounts
	allKinds = kindPools | kindTiers | kindPipelines | kindAccounts
)

// bit returns the bit of a kind, or 0 for a word that is none.
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
