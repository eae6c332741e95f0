package confsync

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Bounds of a snapshot from a peer.
const (
	maxPeersAsked    = 3
	maxSnapshotPages = 1024
	pageRecords      = 512
	pageBytes        = 512 << 10
)

// errNoPeer says that no peer could hand a whole configuration on.
var errNoPeer = errors.New("no peer has a whole configuration")

// bootstrap gets a first whole configuration: from the store, which is the
// newest there is, or from a peer while the store is away.
func (s *Sync) bootstrap(ctx context.Context) error {
	_, _, err := s.list(ctx)
	if err == nil {
		return nil
	}
	for i, peer := range s.opts.Peers.Others() {
		if i == maxPeersAsked {
			break
		}
		if s.fromPeer(ctx, peer) == nil {
			return nil
		}
	}
	return errors.CombineErrors(err, errNoPeer)
}

// fromPeer reads all pages of a peer's records before any of them counts: half
// a configuration would refuse what the other half allows.
func (s *Sync) fromPeer(ctx context.Context, peer string) error {
	var records []config.Record
	var asOf map[string]uint64
	request := configwire.PageRequest{}
	for range maxSnapshotPages {
		page, err := s.askPage(ctx, peer, request)
		if err != nil {
			return err
		}
		for _, body := range page.Records {
			r, err := configwire.DecodeRecord(body)
			if err != nil {
				return err
			}
			records = append(records, r)
		}
		asOf = page.AsOf
		if !page.More {
			return s.adopt(records, asOf)
		}
		request = page.Last
	}
	return errors.Newf("snapshot from %s: more than %d pages", peer, maxSnapshotPages)
}

func (s *Sync) askPage(ctx context.Context, peer string, request configwire.PageRequest) (configwire.Page, error) {
	var page configwire.Page
	body, err := msgpack.Marshal(&request)
	if err != nil {
		return page, errors.Wrap(err, "ask for snapshot: encode")
	}
	answer, err := s.opts.Peers.Call(ctx, peer, configwire.MethodSnapshot, body)
	if err != nil {
		return page, errors.Wrapf(err, "ask for snapshot at %s", peer)
	}
	err = msgpack.Unmarshal(answer, &page)
	return page, errors.Wrapf(err, "ask for snapshot at %s: decode", peer)
}

func (s *Sync) adopt(records []config.Record, asOf map[string]uint64) error {
	if len(asOf) < len(config.Kinds) {
		return errNoPeer
	}
	s.locked(func() {
		for _, kind := range config.Kinds {
			s.settle(s.set.ApplyList(kind, records, asOf[string(kind)]))
		}
	})
	return nil
}

// HandleSnapshot answers a peer that starts; it is the handler of
// configwire.MethodSnapshot.
func (s *Sync) HandleSnapshot(body []byte) ([]byte, error) {
	var request configwire.PageRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "snapshot: decode")
	}
	s.mu.Lock()
	limit := config.Limit{Records: pageRecords, Bytes: pageBytes}
	records, last, more := s.set.Records(request.Cursor(), limit, config.AllBuckets)
	asOf := s.asOf()
	s.mu.Unlock()
	page := configwire.Page{Last: configwire.RequestAfter(last), More: more, AsOf: asOf}
	for _, r := range records {
		encoded, err := configwire.EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		page.Records = append(page.Records, encoded)
	}
	return msgpack.Marshal(&page)
}

// asOf needs the lock. It is empty until this instance is complete itself.
func (s *Sync) asOf() map[string]uint64 {
	if !s.set.Complete() {
		return nil
	}
	out := make(map[string]uint64, len(config.Kinds))
	for _, kind := range config.Kinds {
		out[string(kind)] = s.set.AsOf(catalog.RecordKind(kind))
	}
	return out
}
