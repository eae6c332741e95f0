package record

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// States of a record, as operators read them.
const (
	StateAccepted = "accepted"
	StateRefused  = "refused"
	// StatePending is a spec that no instance has judged yet.
	StatePending = "pending"
)

// StatusOf makes the status to write for a verdict on a spec.
func StatusOf(v config.Verdict, spec []byte) platformapi.RecordStatus {
	s := platformapi.RecordStatus{Revision: v.Revision, SpecDigest: SpecDigest(spec),
		Accepted: v.Accepted, Reason: v.Reason, InForce: v.InForce.Revision}
	switch {
	case v.Accepted:
		s.LastAccepted = &platformapi.RecordVersion{Revision: v.Revision, Spec: spec}
	case v.InForce.Revision > 0:
		s.LastAccepted = &platformapi.RecordVersion{Revision: v.InForce.Revision, Spec: v.InForce.Spec}
	}
	return s
}

// ReadStatus decodes the status of an object. A status of an earlier spec, or
// none, counts as pending.
func ReadStatus(object *platformapi.Object) (status platformapi.RecordStatus, state string, err error) {
	if len(object.Status) == 0 {
		return status, StatePending, nil
	}
	if err := json.Unmarshal(object.Status, &status); err != nil {
		return platformapi.RecordStatus{}, StatePending, errors.Wrapf(err, "read status of %s", object.Metadata.Name)
	}
	switch {
	case status.SpecDigest != SpecDigest(object.Spec):
		return status, StatePending, nil
	case status.Accepted:
		return status, StateAccepted, nil
	}
	return status, StateRefused, nil
}

// NeedsStatus tells whether a verdict has yet to be written. A verdict on another
// revision of the object need not be: a newer verdict follows.
func NeedsStatus(object *platformapi.Object, v config.Verdict) bool {
	if v.Deleted || v.Revision != object.Metadata.Revision {
		return false
	}
	written, _, err := ReadStatus(object)
	return err != nil || !sameStatus(written, StatusOf(v, object.Spec))
}

// sameStatus tells whether two statuses say the same. Revisions play no part:
// writing a status raises the object's, and it would be written for ever.
func sameStatus(a, b platformapi.RecordStatus) bool {
	return a.SpecDigest == b.SpecDigest && a.Accepted == b.Accepted && a.Reason == b.Reason &&
		lastAccepted(a) == lastAccepted(b)
}

func lastAccepted(s platformapi.RecordStatus) string {
	if s.LastAccepted == nil {
		return ""
	}
	return SpecDigest(s.LastAccepted.Spec)
}

// FromObject makes the record of an object in the store. Its status tells an
// instance without peers what was accepted before it started.
func FromObject(kind catalog.RecordKind, object *platformapi.Object) config.Record {
	key := config.Key{Kind: kind, Name: object.Metadata.Name}
	r := config.LiveRecord(key, object.Metadata.Revision, object.Spec)
	status, state, err := ReadStatus(object)
	if err != nil {
		return r
	}
	r.Accepted = state == StateAccepted
	if last := status.LastAccepted; !r.Accepted && last != nil {
		r.InForce = config.Version{Revision: last.Revision, SpecRevision: last.Revision, Spec: last.Spec}
	}
	return r
}

// FromEvent makes the record of a change that a watch saw.
func FromEvent(kind catalog.RecordKind, event *platformapi.Event) config.Record {
	if !event.Deleted {
		return FromObject(kind, &event.Object)
	}
	key := config.Key{Kind: kind, Name: event.Object.Metadata.Name}
	return config.TombstoneRecord(key, event.Object.Metadata.Revision)
}

// SpecDigest names a spec. White space plays no part, since the store need not
// keep it.
func SpecDigest(spec []byte) string {
	var compact bytes.Buffer
	if err := json.Compact(&compact, spec); err != nil {
		compact.Reset()
		compact.Write(spec)
	}
	return strconv.FormatUint(xxhash.Sum64(compact.Bytes()), 16)
}

// SameSpec tells whether two specs differ in nothing but white space.
func SameSpec(a, b []byte) bool { return SpecDigest(a) == SpecDigest(b) }
