package record

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Status is what the system writes beside a record's spec.
type Status struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	// SpecSHA256 names the spec that was judged. Revisions can't: writing the
	// status raises the object's revision.
	SpecSHA256 string `json:"spec_sha256"`
	// InForce is the version in force, also when that is the accepted one: a
	// later write replaces the spec and leaves the status. So it outlives every
	// instance, and a new one knows what to serve should the write be refused.
	InForce *InForce `json:"in_force,omitempty"`
}

// InForce is an accepted version of a record.
type InForce struct {
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// States of a record, as operators read them.
const (
	StateAccepted = "accepted"
	StateRefused  = "refused"
	// StatePending is a spec that no instance has judged yet.
	StatePending = "pending"
)

// StatusOf makes the status to write for a verdict on a spec.
func StatusOf(v config.Verdict, spec []byte) Status {
	s := Status{Accepted: v.Accepted, Reason: v.Reason, SpecSHA256: specDigest(spec)}
	switch {
	case v.Accepted:
		s.InForce = &InForce{Revision: v.Revision, Spec: spec}
	case v.InForce.Revision > 0:
		s.InForce = &InForce{Revision: v.InForce.Revision, Spec: v.InForce.Spec}
	}
	return s
}

// ReadStatus decodes the status of an object. A status of an earlier spec, or
// none, counts as pending.
func ReadStatus(object *platformapi.Object) (status Status, state string, err error) {
	if len(object.Status) == 0 || bytes.Equal(object.Status, []byte("null")) {
		return Status{}, StatePending, nil
	}
	if err := json.Unmarshal(object.Status, &status); err != nil {
		return Status{}, StatePending, errors.Wrapf(err, "read status of %s", object.Metadata.Name)
	}
	switch {
	case status.SpecSHA256 != specDigest(object.Spec):
		return status, StatePending, nil
	case status.Accepted:
		return status, StateAccepted, nil
	}
	return status, StateRefused, nil
}

// NeedsStatus tells whether a verdict has yet to be written. Verdicts on another
// revision of the object need not be: a newer verdict follows.
func NeedsStatus(object *platformapi.Object, v config.Verdict) bool {
	if v.Deleted || v.Revision != object.Metadata.Revision {
		return false
	}
	written, _, err := ReadStatus(object)
	if err != nil {
		return true
	}
	wanted := StatusOf(v, object.Spec)
	return written.Accepted != wanted.Accepted || written.Reason != wanted.Reason ||
		written.SpecSHA256 != wanted.SpecSHA256 || written.InForce.digest() != wanted.InForce.digest()
}

func (f *InForce) digest() string {
	if f == nil {
		return ""
	}
	return specDigest(f.Spec)
}

// FromObject makes the record of an object in the store. Its status tells an
// instance without peers what was accepted before it started.
func FromObject(kind catalog.RecordKind, object *platformapi.Object) config.Record {
	key := config.Key{Kind: kind, Name: object.Metadata.Name}
	r := config.Live(key, object.Metadata.Revision, object.Spec)
	status, state, err := ReadStatus(object)
	if err != nil {
		return r
	}
	r.Accepted = state == StateAccepted
	if !r.Accepted && status.InForce != nil {
		r.InForce = version(status.InForce.Revision, status.InForce.Spec)
	}
	return r
}

// FromEvent makes the record of a change that a watch saw.
func FromEvent(kind catalog.RecordKind, event *platformapi.Event) config.Record {
	if !event.Deleted {
		return FromObject(kind, &event.Object)
	}
	key := config.Key{Kind: kind, Name: event.Object.Metadata.Name}
	return config.Tombstone(key, event.Object.Metadata.Revision)
}

func version(revision uint64, spec []byte) config.Version {
	return config.Version{Revision: revision, SpecRevision: revision, Spec: spec}
}

// specDigest is the digest of a spec without its white space, which the store
// need not keep.
func specDigest(spec []byte) string {
	var compact bytes.Buffer
	if err := json.Compact(&compact, spec); err != nil {
		compact.Reset()
		compact.Write(spec)
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:])
}

// SameSpec tells whether two specs differ in nothing but white space.
func SameSpec(a, b []byte) bool { return specDigest(a) == specDigest(b) }
