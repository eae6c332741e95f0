package claims

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// journalSpec is the spec of a journal's head or of a sealed segment. Segments never
// change. Only the head is updated, conditionally: what it contains and the segments that
// it names are what is stored.
type journalSpec struct {
	// Sequence is the sequence number of the newest entry.
	Sequence uint64                   `json:"sequence"`
	Sealed   []sealedSegment          `json:"sealed,omitempty"`
	Entries  map[string]*journalEntry `json:"entries"`
}

// sealedSegment refers to an object with older entries of the journal. Newest is when
// the newest claim among them was created.
type sealedSegment struct {
	Name   string    `json:"name"`
	Newest time.Time `json:"newest"`
}

// journalEntry is a claim as of its latest change. Sequence is its revision.
type journalEntry struct {
	Sequence uint64       `json:"sequence"`
	Record   claim.Record `json:"record"`
}

func (e *journalEntry) existsEvent() claim.Exists {
	return claim.Exists{Record: e.Record, Revision: e.Sequence}
}

// journalView is a journal as of one revision of its head.
type journalView struct {
	revision uint64
	spec     journalSpec
}

func decodeJournal(object *platformapi.Object) (journalView, error) {
	v := journalView{revision: object.Metadata.Revision}
	if err := json.Unmarshal(object.Spec, &v.spec); err != nil {
		return journalView{}, errors.Wrap(err, "claims: decode journal")
	}
	return v, nil
}

// object encodes the journal as an object with a name, for a write that is conditional
// on the revision.
func (v journalView) object(name string, revision uint64) (platformapi.Object, error) {
	spec, err := json.Marshal(v.spec)
	if err != nil {
		return platformapi.Object{}, errors.Wrap(err, "claims: encode journal")
	}
	meta := platformapi.Metadata{Name: name, Revision: revision}
	return platformapi.Object{Metadata: meta, Spec: spec}, nil
}

// clone returns a copy whose entries can be changed.
func (v journalView) clone() journalView {
	v.spec.Entries = maps.Clone(v.spec.Entries)
	if v.spec.Entries == nil {
		v.spec.Entries = make(map[string]*journalEntry)
	}
	return v
}

// put adds or replaces the entry of a claim and returns its sequence number.
func (v *journalView) put(id claim.ID, r claim.Record) uint64 {
	v.spec.Sequence++
	v.spec.Entries[id.String()] = &journalEntry{Sequence: v.spec.Sequence, Record: r}
	return v.spec.Sequence
}

// newestCreation returns when the newest claim among the entries was created.
func (v journalView) newestCreation() time.Time {
	var newest time.Time
	for _, e := range v.spec.Entries {
		if e.Record.CreatedAt.After(newest) {
			newest = e.Record.CreatedAt
		}
	}
	return newest
}

// segmentName returns a name that is unique to the head's revision, so that no two
// segments with different contents share a name.
func (v journalView) segmentName(head string) string { return fmt.Sprintf("%s-%d", head, v.revision) }
