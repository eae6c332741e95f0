package record

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// MaxFileBytes is the maximum size of a file of records.
const MaxFileBytes = 32 << 20

// Document is one record of a file.
type Document struct {
	Kind   catalog.RecordKind
	Object platformapi.Object
	// Line is the line on which the record starts in its file and SpecLine the
	// line on which its spec starts, both counted from 1.
	Line     int
	SpecLine int
}

// QualifiedName returns kind/name, which identifies the document in messages.
func (d Document) QualifiedName() string { return string(d.Kind) + "/" + d.Object.Metadata.Name }

// ParseFile parses the records of a file: a sequence of JSON objects, or lists of
// them. It validates everything except the specs, which Check decodes.
func ParseFile(text []byte) ([]Document, Faults) {
	list := &faultList{text: text}
	if len(text) > MaxFileBytes {
		return nil, Faults{{Reason: fmt.Sprintf("is longer than %d bytes", MaxFileBytes)}}
	}
	values, err := parse(text)
	if err != nil {
		return nil, Faults{syntaxFault(text, err)}
	}
	var documents []Document
	for _, v := range values {
		if v.kind != valueArray {
			documents = append(documents, readDocument(list, v, len(documents)))
			continue
		}
		for _, item := range v.items {
			documents = append(documents, readDocument(list, item, len(documents)))
		}
	}
	if len(documents) == 0 && len(list.faults) == 0 {
		return nil, Faults{{Line: 1, Reason: "holds no record"}}
	}
	reportDuplicates(list, documents)
	return documents, list.faults
}

func readDocument(list *faultList, v value, index int) Document {
	o := newObject(list, fmt.Sprintf("records[%d]", index), v)
	doc := Document{Line: list.line(v.offset)}
	doc.Kind = catalog.RecordKind(o.oneOf("kind", platformapi.RecordKinds...))
	if metadata, ok := o.get("metadata", valueObject, true); ok {
		doc.Object.Metadata = readMetadata(newObject(list, o.field("metadata"), metadata))
	}
	if spec, ok := o.get("spec", valueObject, true); ok {
		doc.Object.Spec = json.RawMessage(list.text[spec.offset:spec.end])
		doc.SpecLine = list.line(spec.offset)
	}
	// The status belongs to the system and is ignored: a file written from the
	// output of the API contains it.
	o.consumed["status"] = true
	o.reportUnknown()
	return doc
}

func readMetadata(o *object) platformapi.Metadata {
	var metadata platformapi.Metadata
	if v, ok := o.get("name", valueString, true); ok {
		metadata.Name = v.text
	}
	revision, _ := o.integer("revision", 0, math.MaxInt, false)
	metadata.Revision = uint64(revision)
	o.reportUnknown()
	return metadata
}

// reportDuplicates reports documents whose kind and name occur earlier in the
// file.
func reportDuplicates(list *faultList, documents []Document) {
	first := map[string]int{}
	for _, doc := range documents {
		if doc.Kind == "" || doc.Object.Metadata.Name == "" {
			continue
		}
		if line, twice := first[doc.QualifiedName()]; twice {
			list.faults = append(list.faults, Fault{Field: doc.QualifiedName(), Line: doc.Line,
				Reason: fmt.Sprintf("stands on line %d already", line)})
			continue
		}
		first[doc.QualifiedName()] = doc.Line
	}
}

// Check decodes the specs of documents. Faults have paths that begin with
// kind/name, and lines of the file.
func Check(documents []Document) ([]catalog.Item, Faults) {
	items := make([]catalog.Item, len(documents))
	var faults Faults
	for i, doc := range documents {
		item, err := Decode(doc.Kind, doc.Object.Metadata.Name, doc.Object.Metadata.Revision, doc.Object.Spec)
		items[i] = item
		if fs, ok := err.(Faults); ok {
			faults = append(faults, fs.relocate(doc.QualifiedName(), doc.SpecLine)...)
		}
	}
	return items, faults
}
