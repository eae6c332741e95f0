package confsync

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Limits of one page.
const (
	maxPageRecords = 512
	maxPageBytes   = 512 << 10
)

// HandleSnapshot handles configwire.MethodSnapshot, with which a starting peer requests
// all records. The configuration records come first, then the targets, then the marks of
// leaving targets: an instance that starts during an outage of the store has no other
// source for them.
func (s *Sync) HandleSnapshot(body []byte) ([]byte, error) {
	var request configwire.PageRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "snapshot: decode")
	}
	s.mu.Lock()
	page, err := s.page(request)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(&page)
}

// page returns the page of records that follows a request. The caller holds the lock.
func (s *Sync) page(request configwire.PageRequest) (configwire.Page, error) {
	switch request.Kind {
	case platformapi.KindTargets:
		return s.otherPage(s.targets.after(request.Name, maxPageRecords, maxPageBytes), platformapi.KindTargets, kindLeaving), nil
	case kindLeaving:
		return s.otherPage(s.leaving.after(request.Name, maxPageRecords), kindLeaving, ""), nil
	}
	limit := config.PageLimit{Records: maxPageRecords, Bytes: maxPageBytes}
	records, last, more := s.set.Records(request.Cursor(), limit, config.AllBuckets)
	page := configwire.Page{Last: configwire.RequestAfter(last), More: true, AsOf: s.asOf()}
	if !more {
		page.Last = configwire.PageRequest{Kind: platformapi.KindTargets}
	}
	for _, r := range records {
		encoded, err := configwire.EncodeRecord(r)
		if err != nil {
			return page, err
		}
		page.Records = append(page.Records, encoded)
	}
	return page, nil
}

// otherPage returns a page of records that are not configuration; nextKind is the kind
// that follows, empty if there is none. The caller holds the lock.
func (s *Sync) otherPage(records []spread.Record, kind, nextKind string) configwire.Page {
	page := configwire.Page{TargetRecords: records, AsOf: s.asOf()}
	switch {
	case len(records) > 0:
		page.More = true
		page.Last = configwire.PageRequest{Kind: kind, Name: records[len(records)-1].Name}
	case nextKind != "":
		page.More = true
		page.Last = configwire.PageRequest{Kind: nextKind}
	}
	return page
}

// asOf returns the revisions of the newest full lists, by kind; nil until this instance
// has a complete configuration. The caller holds the lock.
func (s *Sync) asOf() map[string]uint64 {
	if !s.bootstrapped || !s.set.Complete() {
		return nil
	}
	out := make(map[string]uint64, len(config.Kinds)+1)
	for _, kind := range config.Kinds {
		out[string(kind)] = s.set.AsOf(catalog.RecordKind(kind))
	}
	out[platformapi.KindTargets] = s.targets.floor
	return out
}
