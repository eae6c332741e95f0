package confsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Limits of the bootstrap from peers.
const (
	maxBootstrapPeers = 3
	maxSnapshotPages  = 1024
	// pageTimeout bounds the request for one page. A peer behind a silent connection
	// must not delay a bootstrap that another peer or the store could serve.
	pageTimeout = time.Second
	// firstPeerWait is how long a bootstrap waits until a first peer is known.
	firstPeerWait         = 500 * time.Millisecond
	firstPeerPollInterval = 50 * time.Millisecond
)

// errNoPeer reports that no peer could send a complete configuration.
var errNoPeer = errors.New("no peer has a complete configuration")

// bootstrap reads a first complete configuration from a peer and from the store and
// uses the newest version of each record. During an outage of one the other is
// sufficient. Both are read because a store that serves stale data, or a peer that was
// partitioned for long, would restore an outdated record on this instance alone.
func (s *Sync) bootstrap(ctx context.Context) error {
	peerErr := s.bootstrapFromPeers(ctx)
	_, storeErr := s.list(ctx)
	if peerErr != nil && storeErr != nil {
		return errors.CombineErrors(storeErr, peerErr)
	}
	s.finishBootstrap()
	return nil
}

// finishBootstrap puts the collected records in force.
func (s *Sync) finishBootstrap() {
	s.withLock(func() {
		s.bootstrapped = true
		s.applySetChanges(s.set.Apply(nil))
	})
}

// bootstrapFromPeers requests the records of a few peers, one after the other, until one
// has a complete configuration.
func (s *Sync) bootstrapFromPeers(ctx context.Context) error {
	others := s.opts.Peers.Others()
	for waited := time.Duration(0); len(others) == 0 && waited < firstPeerWait; waited += firstPeerPollInterval {
		sleep(ctx, firstPeerPollInterval)
		others = s.opts.Peers.Others()
	}
	err := errNoPeer
	for i, peer := range others {
		if i == maxBootstrapPeers {
			break
		}
		if err = s.bootstrapFromPeer(ctx, peer); err == nil {
			return nil
		}
	}
	return err
}

// peerSnapshot holds all records that a peer has sent.
type peerSnapshot struct {
	records      []config.Record
	otherRecords []spread.Record
	// asOf holds the revisions of the peer's newest full lists, by kind.
	asOf map[string]uint64
}

// bootstrapFromPeer reads all pages of a peer's records before it applies any of them:
// half a configuration would refuse what the other half allows.
func (s *Sync) bootstrapFromPeer(ctx context.Context, peer string) error {
	var got peerSnapshot
	request := configwire.PageRequest{}
	for range maxSnapshotPages {
		page, err := s.requestPage(ctx, peer, request)
		if err != nil {
			return err
		}
		if err := got.addPage(page); err != nil {
			return err
		}
		if !page.More {
			return s.applySnapshot(got)
		}
		request = page.Last
	}
	return errors.Newf("snapshot from %s: more than %d pages", peer, maxSnapshotPages)
}

// addPage adds one page. Only the first page's revisions are used: if the peer reads a
// new list between pages, that list may contain records that the earlier pages lack, and
// with its revision they would be treated as deleted.
func (g *peerSnapshot) addPage(page configwire.Page) error {
	if g.asOf == nil {
		g.asOf = page.AsOf
	}
	if len(g.asOf) < len(config.Kinds) {
		return errNoPeer
	}
	for _, body := range page.Records {
		r, err := configwire.DecodeRecord(body)
		if err != nil {
			return err
		}
		g.records = append(g.records, r)
	}
	g.otherRecords = append(g.otherRecords, page.TargetRecords...)
	return nil
}

func (s *Sync) requestPage(ctx context.Context, peer string, request configwire.PageRequest) (configwire.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var page configwire.Page
	body, err := msgpack.Marshal(&request)
	if err != nil {
		return page, errors.Wrap(err, "request snapshot: encode")
	}
	response, err := s.opts.Peers.Call(ctx, peer, configwire.MethodSnapshot, body)
	if err != nil {
		return page, errors.Wrapf(err, "request snapshot from %s", peer)
	}
	err = msgpack.Unmarshal(response, &page)
	return page, errors.Wrapf(err, "request snapshot from %s: decode", peer)
}

// applySnapshot applies a peer's lists, then its records once more as single records:
// if the store has already listed a kind as of a later revision, the peer's list is
// ignored, but newer versions that the peer has received since still apply.
func (s *Sync) applySnapshot(got peerSnapshot) error {
	s.withLock(func() {
		for _, kind := range config.Kinds {
			s.applySetChanges(s.set.ApplyList(kind, got.records, got.asOf[string(kind)]))
		}
		s.applyRecords(got.records)
		for _, r := range got.otherRecords {
			s.applyTargetOrMark(r)
		}
		s.targets.raiseFloor(got.asOf[platformapi.KindTargets])
		s.queueTargetChanges()
	})
	return nil
}
