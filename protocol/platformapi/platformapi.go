// Package platformapi holds the typed messages of the platform's object API.
// docs/api/platform.md is the contract that stand-in and client both meet.
package platformapi

import (
	"encoding/json"
	"time"
)

// Kinds of objects. Records are written by operators, targets by the platform,
// the others by the system.
const (
	KindPipelines = "pipelines"
	KindTiers     = "tiers"
	KindAccounts  = "accounts"
	KindPools     = "pools"
	// KindTargets is the platform's lagging list of live and leaving targets.
	KindTargets = "targets"
	// KindInstances holds one object per entry instance, written once at its
	// start and deleted at its planned stop: where a new instance finds peers.
	KindInstances = "instances"
	KindClaims    = "claims"
	KindLeases    = "leases"
	KindDigests   = "digests"
	// KindOrders holds one object a pool that has a desired state.
	KindOrders = "orders"
)

// RecordKinds are the kinds that operators write.
var RecordKinds = []string{KindPools, KindTiers, KindPipelines, KindAccounts}

// Metadata describes an object in the store.
type Metadata struct {
	Name string `json:"name"`
	// Revision is the store's revision of the object's last change. In a
	// write it is the condition; 0 means unconditional.
	Revision uint64 `json:"revision,omitempty"`
}

// Object is one stored object. Spec belongs to its writer, Status to the system.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// List is a page of objects of one kind.
type List struct {
	Items []Object `json:"items"`
	// Revision is the store's revision as of the list; watch from it.
	Revision uint64 `json:"revision"`
	// Next continues the list when it is not empty.
	Next string `json:"next,omitempty"`
	// Unreadable counts objects that have no name or can't be read; they are not
	// among Items.
	Unreadable int `json:"-"`
}

// Event is one change seen by a watch.
type Event struct {
	// Kind is the object's kind, since one watch may follow several.
	Kind    string `json:"kind"`
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Watch is the answer of a watch: the changes after the asked revision, empty
// when the wait ended without any.
type WatchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
	// Unreadable counts changes that can't be read; they are not among Events.
	Unreadable int `json:"-"`
}

// Conflict is the body of a 409 answer: what the object is now.
type Conflict struct {
	Error   string  `json:"error"`
	Current *Object `json:"current,omitempty"`
}

// TargetEntry is the spec of an object of KindTargets, named by incarnation.
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

// RecordStatus is the status of a record: the system's verdict on it.
type RecordStatus struct {
	// Revision is the version of the record that was judged. Writing the
	// status raises the object's revision beyond it.
	Revision uint64 `json:"revision"`
	// SpecDigest identifies the spec that was judged.
	SpecDigest string `json:"spec_digest"`
	Accepted   bool   `json:"accepted"`
	// Reason says why the version is refused.
	Reason string `json:"reason,omitempty"`
	// InForce is the revision that goes on serving in place of a refused one.
	InForce uint64 `json:"in_force,omitempty"`
	// LastAccepted is the version in force, also when that is the judged one: a
	// later write replaces the spec and leaves the status. So it outlives every
	// instance, and a new one knows what to serve should the write be refused.
	LastAccepted *RecordVersion `json:"last_accepted,omitempty"`
}

// RecordVersion is one version of a record.
type RecordVersion struct {
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// DigestEntry is the spec of an object of KindDigests, named by instance: how
// the requests of a span of time fared.
type DigestEntry struct {
	Instance string      `json:"instance"`
	From     time.Time   `json:"from"`
	To       time.Time   `json:"to"`
	Rows     []DigestRow `json:"rows"`
}

// DigestRow sums up one pipeline, stage, tier and client account. The row of a
// whole request has no stage; an account that is not among the busiest is
// summed up under no name.
type DigestRow struct {
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage,omitempty"`
	Tier     string `json:"tier"`
	Account  string `json:"account,omitempty"`
	Count    uint64 `json:"count"`
	// Attained counts the requests answered whole within their deadline.
	Attained      uint64 `json:"attained,omitempty"`
	ElapsedMS     int64  `json:"elapsed_ms"`
	WorkMS        int64  `json:"work_ms,omitempty"`
	WastedMS      int64  `json:"wasted_ms,omitempty"`
	Tokens        uint64 `json:"tokens,omitempty"`
	PrefillTokens uint64 `json:"prefill_tokens,omitempty"`
}

// OrdersEntry is the spec of an object of KindOrders, named by pool: what its
// targets have against what its record desires.
type OrdersEntry struct {
	// DesiredRevision is that of the pool's record.
	DesiredRevision uint64 `json:"desired_revision"`
	// Fencing is the number of the lease holder that wrote it.
	Fencing uint64 `json:"fencing"`
	Targets int    `json:"targets"`
	// Complete counts the targets that have all they should.
	Complete int `json:"complete"`
	// Lacking names some of the others.
	Lacking []LackingTarget `json:"lacking,omitempty"`
}

// LackingTarget is a target that doesn't have all it should.
type LackingTarget struct {
	Incarnation string `json:"incarnation"`
	// Lacks lists the orders it needs, as "load_model writer"; it is empty when
	// the target couldn't be read.
	Lacks []string `json:"lacks,omitempty"`
}
