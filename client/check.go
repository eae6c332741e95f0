package client

import (
	"context"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// storeSnapshot holds the store's records, validated as an instance validates
// them.
type storeSnapshot struct {
	set      *config.Set
	objects  map[config.Key]*platformapi.Object
	revision uint64
}

// readStore reads every record from the store.
func readStore(ctx context.Context, store Store) (*storeSnapshot, error) {
	snapshot := &storeSnapshot{set: config.New(record.Decode), objects: map[config.Key]*platformapi.Object{}}
	for _, kind := range config.Kinds {
		list, err := store.List(ctx, string(kind))
		if err != nil {
			return nil, err
		}
		records := make([]config.Record, len(list.Items))
		for i := range list.Items {
			records[i] = record.FromObject(kind, &list.Items[i])
			snapshot.objects[records[i].Key] = &list.Items[i]
			snapshot.revision = max(snapshot.revision, records[i].Newest.Revision)
		}
		snapshot.set.ApplyList(kind, records, list.Revision)
		snapshot.revision = max(snapshot.revision, list.Revision)
	}
	return snapshot, nil
}

// validate applies documents in order as if they were written, and returns the
// faults of those that instances would refuse.
func (snapshot *storeSnapshot) validate(documents []record.Document) record.Faults {
	batch := make([]config.Record, len(documents))
	for i, doc := range documents {
		batch[i] = config.LiveRecord(keyOf(doc), snapshot.revision+1+uint64(i), doc.Object.Spec)
	}
	snapshot.set.Apply(batch)
	var faults record.Faults
	for _, doc := range documents {
		verdict, ok := snapshot.set.Verdict(keyOf(doc))
		if ok && !verdict.Accepted {
			faults = append(faults, record.Fault{Field: doc.QualifiedName(), Line: doc.Line, Reason: verdict.Reason})
		}
	}
	return faults
}

// checkRevisions returns a conflict for the first document that names another
// revision than the store holds: its operator has not seen the newer record.
func (snapshot *storeSnapshot) checkRevisions(documents []record.Document) error {
	for _, doc := range documents {
		wanted, current := doc.Object.Metadata.Revision, snapshot.objects[keyOf(doc)]
		if wanted != 0 && (current == nil || current.Metadata.Revision != wanted) {
			return &ConflictError{Kind: string(doc.Kind), Name: doc.Object.Metadata.Name, Current: current}
		}
	}
	return nil
}

// checkDelete returns the reason why a record can't be deleted, or the empty
// string if it can.
func (snapshot *storeSnapshot) checkDelete(key config.Key) string {
	snapshot.set.Apply([]config.Record{config.TombstoneRecord(key, snapshot.revision+1)})
	verdict, ok := snapshot.set.Verdict(key)
	if !ok || verdict.Accepted {
		return ""
	}
	return verdict.Reason
}

func keyOf(doc record.Document) config.Key {
	return config.Key{Kind: doc.Kind, Name: doc.Object.Metadata.Name}
}

// checkKind returns a usage error unless kind is a kind of record.
func checkKind(kind string) error {
	if slices.Contains(config.Kinds, catalog.RecordKind(kind)) {
		return nil
	}
	return usagef("%q is not a kind of record: %v", kind, config.Kinds)
}
