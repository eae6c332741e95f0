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

// States of a record, as shown to operators.
const (
	StateAccepted = "accepted"
	StateRefused  = "refused"
	// StatePending means that no instance has evaluated the spec yet.
	StatePending = "pending"
)

// StatusOf returns the status to write for a verdict on a spec.
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

// ReadStatus decodes the status of an object. Without a status, or with one for
// another spec, the state is pending.
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

// NeedsStatus reports whether a verdict has yet to be written to the object. A
// verdict on another revision is not written, since a newer verdict follows.
func NeedsStatus(object *platformapi.Object, v config.Verdict) bool {
	if v.Deleted || v.Revision != object.Metadata.Revision {
		return false
	}
	written, _, err := ReadStatus(object)
	return err != nil || !sameStatus(written, StatusOf(v, object.Spec))
}

// sameStatus reports whether two statuses are equal apart from revisions. Writing
// a status increments the object's revision, so comparing revisions would cause
// endless writes.
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

// FromObject returns the record of an object in the store. Its status lets an
// instance without peers know which version was accepted before it started.
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

// FromEvent returns the record for a change reported by a watch.
func FromEvent(kind catalog.RecordKind, event *platformapi.Event) config.Record {
	if !event.Deleted {
		return FromObject(kind, &event.Object)
	}
	key := config.Key{Kind: kind, Name: event.Object.Metadata.Name}
	return config.TombstoneRecord(key, event.Object.Metadata.Revision)
}

// SpecDigest returns a hash that identifies a spec. White space is ignored, since
// the store need not preserve it.
func SpecDigest(spec []byte) string {
	var compact bytes.Buffer
	if err := json.Compact(&compact, spec); err != nil {
		compact.Reset()
		compact.Write(spec)
	}
	return strconv.FormatUint(xxhash.Sum64(compact.Bytes()), 16)
}

// SameSpec reports whether two specs are equal apart from white space.
func SameSpec(a, b []byte) bool { return SpecDigest(a) == SpecDigest(b) }
