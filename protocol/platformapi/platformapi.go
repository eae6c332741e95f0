// Package platformapi defines the typed messages of the platform's object API.
// docs/api/platform.md is the contract of the emulator and the client.
package platformapi

import (
	"encoding/json"
	"time"
)

// Kinds of objects. Operators write the kinds in RecordKinds, the platform writes
// targets, and the system writes the others.
const (
	KindPipelines = "pipelines"
	KindTiers     = "tiers"
	KindAccounts  = "accounts"
	KindPools     = "pools"
	// KindTargets is the platform's list of live and leaving targets, which lags
	// behind.
	KindTargets = "targets"
	// KindInstances holds one object per instance, written once at its start and
	// deleted at its planned stop. A new instance finds its peers there.
	KindInstances = "instances"
	KindClaims    = "claims"
	KindLeases    = "leases"
	KindDigests   = "digests"
	// KindOrders holds one object per pool with a desired state.
	KindOrders = "orders"
	// KindServiceVersions has one object per service whose streams may be taken up again, with the software
	// versions of its targets.
	KindServiceVersions = "service-versions"
	// KindStreamRecords has one object per instance, with where its streams began while their services have several
	// versions.
	KindStreamRecords = "stream-records"
)

// RecordKinds are the kinds that operators write.
var RecordKinds = []string{KindPools, KindTiers, KindPipelines, KindAccounts}

// Metadata identifies an object in the store and its version.
type Metadata struct {
	Name string `json:"name"`
	// Revision is the store revision of the object's last change. In a write it
	// is the expected current revision; 0 means unconditional.
	Revision uint64 `json:"revision,omitempty"`
}

// Object is one stored object. Its writer owns Spec, the system owns Status.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// List is a page of objects of one kind.
type List struct {
	Items []Object `json:"items"`
	// Revision is the store revision of the list, from which to watch.
	Revision uint64 `json:"revision"`
	// Next is the token of the next page; empty on the last page.
	Next string `json:"next,omitempty"`
	// Unreadable is the number of objects that have no name or cannot be decoded;
	// they are not in Items.
	Unreadable int `json:"-"`
}

// Event is one change reported by a watch.
type Event struct {
	// Kind is the object's kind, since one watch may follow several.
	Kind    string `json:"kind"`
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// WatchResponse holds the changes after the requested revision; it is empty if the
// wait ended without any.
type WatchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
	// Unreadable is the number of changes that cannot be decoded; they are not in
	// Events.
	Unreadable int `json:"-"`
}

// Conflict is the body of a 409 response, with the current object.
type Conflict struct {
	Error   string  `json:"error"`
	Current *Object `json:"current,omitempty"`
}

// TargetEntry is the spec of an object of KindTargets. The incarnation is the
// object's name.
type TargetEntry struct {
	Pool        string `json:"pool"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	// State is TargetReady or TargetLeaving.
	State string `json:"state"`
}

// States of a target in the platform's list.
const (
	TargetReady   = "ready"
	TargetLeaving = "leaving"
)

// InstanceEntry is the spec of an object of KindInstances.
type InstanceEntry struct {
	Address     string `json:"address"`
	CallerURL   string `json:"caller_url"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// Capacity is in thousandths of a core.
	Capacity uint32 `json:"capacity,omitempty"`
}

// RecordStatus is the status of a record: the system's verdict on its spec.
type RecordStatus struct {
	// Revision is the revision of the record that was evaluated. Writing the status
	// increments the object's revision beyond it.
	Revision uint64 `json:"revision"`
	// SpecDigest identifies the spec that was evaluated.
	SpecDigest string `json:"spec_digest"`
	Accepted   bool   `json:"accepted"`
	// Reason states why the version is refused.
	Reason string `json:"reason,omitempty"`
	// InForce is the revision that stays in force in place of a refused one.
	InForce uint64 `json:"in_force,omitempty"`
	// LastAccepted is the version in force, even if it is the evaluated one: a
	// later write replaces the spec but not the status. It therefore survives the
	// replacement of every instance, and a new instance knows which version to
	// use if the later write is refused.
	LastAccepted *RecordVersion `json:"last_accepted,omitempty"`
}

// RecordVersion is one version of a record.
type RecordVersion struct {
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// DigestEntry is the spec of an object of KindDigests, whose name is the instance:
// a summary of the results of requests in a period.
type DigestEntry struct {
	Instance string      `json:"instance"`
	From     time.Time   `json:"from"`
	To       time.Time   `json:"to"`
	Rows     []DigestRow `json:"rows"`
}

// DigestRow holds the totals of one pipeline, stage, tier and client account. The
// row of a complete request has no stage. Accounts that are not among the busiest
// are combined in rows without an account.
type DigestRow struct {
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage,omitempty"`
	Tier     string `json:"tier"`
	Account  string `json:"account,omitempty"`
	Count    uint64 `json:"count"`
	// Attained is the number of requests that received a complete response within
	// their deadline.
	Attained      uint64 `json:"attained,omitempty"`
	ElapsedMS     int64  `json:"elapsed_ms"`
	WorkMS        int64  `json:"work_ms,omitempty"`
	WastedMS      int64  `json:"wasted_ms,omitempty"`
	Tokens        uint64 `json:"tokens,omitempty"`
	PrefillTokens uint64 `json:"prefill_tokens,omitempty"`
}

// OrdersEntry is the spec of an object of KindOrders, whose name is the pool: the
// state of the pool's targets compared with its desired state.
type OrdersEntry struct {
	// DesiredRevision is the revision of the pool's record.
	DesiredRevision uint64 `json:"desired_revision"`
	// Fencing is the fencing number of the lease holder that wrote the entry.
	Fencing uint64 `json:"fencing"`
	Targets int    `json:"targets"`
	// Complete is the number of targets that match the desired state.
	Complete int `json:"complete"`
	// Lacking lists some of the other targets.
	Lacking []LackingTarget `json:"lacking,omitempty"`
}

// LackingTarget is a target that does not match the desired state.
type LackingTarget struct {
	Incarnation string `json:"incarnation"`
	// Lacks lists the orders that it needs, such as "load_model writer"; it is
	// empty if the state of the target could not be read.
	Lacks []string `json:"lacks,omitempty"`
}

// VersionsEntry is the spec of an object of KindServiceVersions, whose name is the service.
type VersionsEntry struct {
	// Versions are the software versions at which streams that may be taken up can have begun, sorted.
	Versions []string `json:"versions"`
	// Complete is true if no such stream can have begun at another version.
	Complete bool `json:"complete,omitempty"`
}

// StreamsEntry is the spec of an object of KindStreamRecords, whose name is the instance.
type StreamsEntry struct {
	Groups []StreamGroup `json:"groups"`
}

// StreamGroup has streams that began at the same service and version.
type StreamGroup struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Ambiguous is true if other streams have the same ids.
	Ambiguous bool `json:"ambiguous,omitempty"`
	// Until is the Unix time, in seconds, from which nobody needs the group.
	Until int64 `json:"until"`
	// Streams are the encoded hashes of the streams' ids.
	Streams []byte `json:"streams"`
}
