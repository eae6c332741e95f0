package client

import (
	"context"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// inventory is what the store holds, judged as an instance judges it.
type storeSnapshot struct {
	set      *config.Set
	objects  map[config.Key]*platformapi.Object
	revision uint64
}

// takeInventory reads every record from the store.
func readStore(ctx context.Context, store Store) (*storeSnapshot, error) {
	inv := &storeSnapshot{set: config.New(record.Decode), objects: map[config.Key]*platformapi.Object{}}
	for _, kind := range config.Kinds {
		list, err := store.List(ctx, string(kind))
		if err != nil {
			return nil, err
		}
		records := make([]config.Record, len(list.Items))
		for i := range list.Items {
			records[i] = record.FromObject(kind, &list.Items[i])
			inv.objects[records[i].Key] = &list.Items[i]
			inv.revision = max(inv.revision, records[i].Newest.Revision)
		}
		inv.set.ApplyList(kind, records, list.Revision)
		inv.revision = max(inv.revision, list.Revision)
	}
	return inv, nil
}

// check judges documents as if they were written, one after another, and
// returns the faults of those that would be refused.
func (inv *storeSnapshot) validate(documents []record.Document) record.Faults {
	batch := make([]config.Record, len(documents))
	for i, doc := range documents {
		batch[i] = config.LiveRecord(keyOf(doc), inv.revision+1+uint64(i), doc.Object.Spec)
	}
	inv.set.Apply(batch)
	var faults record.Faults
	for _, doc := range documents {
		verdict, ok := inv.set.Verdict(keyOf(doc))
		if ok && !verdict.Accepted {
			faults = append(faults, record.Fault{Field: doc.QualifiedName(), Line: doc.Line, Reason: verdict.Reason})
		}
	}
	return faults
}

// checkRevisions refuses documents that name another revision than the store
// holds: their operator has not seen the newer record.
func (inv *storeSnapshot) checkRevisions(documents []record.Document) error {
	for _, doc := range documents {
		wanted, current := doc.Object.Metadata.Revision, inv.objects[keyOf(doc)]
		if wanted != 0 && (current == nil || current.Metadata.Revision != wanted) {
			return &ConflictError{Kind: string(doc.Kind), Name: doc.Object.Metadata.Name, Current: current}
		}
	}
	return nil
}

// checkDelete returns why a record may not be deleted, or nothing.
func (inv *storeSnapshot) checkDelete(key config.Key) string {
	inv.set.Apply([]config.Record{config.TombstoneRecord(key, inv.revision+1)})
	verdict, ok := inv.set.Verdict(key)
	if !ok || verdict.Accepted {
		return ""
	}
	return verdict.Reason
}

func keyOf(doc record.Document) config.Key {
	return config.Key{Kind: doc.Kind, Name: doc.Object.Metadata.Name}
}

// checkKind refuses a word that is no kind of record.
func checkKind(word string) error {
	if slices.Contains(config.Kinds, catalog.RecordKind(word)) {
		return nil
	}
	return usagef("%q is not a kind of record: %v", word, config.Kinds)
}
