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

// journalSpec is the spec of a journal's head or of a sealed segment. Segments
// are never changed; the head alone decides, by its conditional update.
type journalSpec struct {
	// Sequence is that of the newest entry.
	Sequence uint64                   `json:"sequence"`
	Sealed   []sealedSegment          `json:"sealed,omitempty"`
	Entries  map[string]*journalEntry `json:"entries"`
}

// sealedSegment names an object with older entries of the journal.
type sealedSegment struct {
	Name   string    `json:"name"`
	Newest time.Time `json:"newest"`
}

// journalEntry is a claim at its latest change; Sequence is its revision.
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

// object encodes the journal under a name, for a write on condition.
func (v journalView) object(name string, revision uint64) (platformapi.Object, error) {
	spec, err := json.Marshal(v.spec)
	if err != nil {
		return platformapi.Object{}, errors.Wrap(err, "claims: encode journal")
	}
	meta := platformapi.Metadata{Name: name, Revision: revision}
	return platformapi.Object{Metadata: meta, Spec: spec}, nil
}

// clone returns a copy whose entries can be added to.
func (v journalView) clone() journalView {
	v.spec.Entries = maps.Clone(v.spec.Entries)
	if v.spec.Entries == nil {
		v.spec.Entries = make(map[string]*journalEntry)
	}
	return v
}

// add appends or replaces the entry of a claim.
func (v *journalView) put(id claim.ID, r claim.Record) uint64 {
	v.spec.Sequence++
	v.spec.Entries[id.String()] = &journalEntry{Sequence: v.spec.Sequence, Record: r}
	return v.spec.Sequence
}

// newest is when the youngest claim among the entries was made.
func (v journalView) newestCreation() time.Time {
	var newest time.Time
	for _, e := range v.spec.Entries {
		if e.Record.CreatedAt.After(newest) {
			newest = e.Record.CreatedAt
		}
	}
	return newest
}

// segmentName is unique to the head's revision, so that it names one content.
func (v journalView) segmentName(head string) string { return fmt.Sprintf("%s-%d", head, v.revision) }
