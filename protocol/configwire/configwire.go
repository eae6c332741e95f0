// Package configwire is the encoding of configuration records between instances:
// msgpack arrays, so that field names are not sent with each record.
package configwire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// MethodSnapshot is the method that returns a page of all records. A new instance
// calls it at a peer while the platform's store is unavailable.
const MethodSnapshot = "config.snapshot"

// wireVersion is a config.Version on the wire, sent as an array of its fields.
type wireVersion struct {
	Revision     uint64
	Deleted      bool
	Spec         []byte
	SpecRevision uint64
}

// wireRecord is a config.Record on the wire, sent as an array of its fields.
type wireRecord struct {
	Kind     string
	Name     string
	Newest   wireVersion
	Accepted bool
	InForce  wireVersion
}

// PageRequest requests the records after a cursor.
type PageRequest struct {
	Revision uint64 `msgpack:"r"`
	Kind     string `msgpack:"k"`
	Name     string `msgpack:"n"`
}

// Page is one page of the records that an instance holds.
type Page struct {
	Records [][]byte    `msgpack:"r"`
	Last    PageRequest `msgpack:"l"`
	More    bool        `msgpack:"m"`
	// TargetRecords holds the records of targets and of targets that are leaving.
	TargetRecords []spread.Record `msgpack:"o"`
	// AsOf is the store revision of the newest full list, by kind. It is empty if
	// the instance has not received a full list itself.
	AsOf map[string]uint64 `msgpack:"a"`
}

// Cursor returns the cursor of the request.
func (p PageRequest) Cursor() config.Cursor {
	key := config.Key{Kind: catalog.RecordKind(p.Kind), Name: p.Name}
	return config.Cursor{Revision: p.Revision, Key: key}
}

// RequestAfter returns the request for the records after a cursor.
func RequestAfter(c config.Cursor) PageRequest {
	return PageRequest{Revision: c.Revision, Kind: string(c.Kind), Name: c.Name}
}

// EncodeRecord encodes a record.
func EncodeRecord(r config.Record) ([]byte, error) {
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseArrayEncodedStructs(true) // field names would be sent with each record
	err := encoder.Encode(&wireRecord{
		Kind:     string(r.Kind),
		Name:     r.Name,
		Newest:   toWire(r.Newest),
		Accepted: r.Accepted,
		InForce:  toWire(r.InForce),
	})
	return body.Bytes(), errors.Wrap(err, "encode configuration record")
}

// DecodeRecord decodes a record.
func DecodeRecord(body []byte) (config.Record, error) {
	var r wireRecord
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return config.Record{}, errors.Wrap(err, "decode configuration record")
	}
	return config.Record{
		Key:      config.Key{Kind: catalog.RecordKind(r.Kind), Name: r.Name},
		Newest:   fromWire(r.Newest),
		Accepted: r.Accepted,
		InForce:  fromWire(r.InForce),
	}, nil
}

func toWire(v config.Version) wireVersion {
	return wireVersion{Revision: v.Revision, Deleted: v.Deleted, Spec: v.Spec, SpecRevision: v.SpecRevision}
}

func fromWire(v wireVersion) config.Version {
	return config.Version{Revision: v.Revision, Deleted: v.Deleted, Spec: v.Spec, SpecRevision: v.SpecRevision}
}
