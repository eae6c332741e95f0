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

// Bounds of a start from a peer.
const (
	maxBootstrapPeers = 3
	maxSnapshotPages  = 1024
	// peerTimeout bounds one page. A peer on a silent connection must not hold
	// up a start that another peer or the store could serve.
	pageTimeout = time.Second
	// joinWait is how long a start waits for a first peer to be known.
	firstPeerWait         = 500 * time.Millisecond
	firstPeerPollInterval = 50 * time.Millisecond
)

// errNoPeer says that no peer could hand a whole configuration on.
var errNoPeer = errors.New("no peer has a whole configuration")

// bootstrap gets a first whole configuration from a peer and from the store and
// takes the newest version of each record. Either alone would do in an outage
// of the other. But a store that answers from the past would bring a record
// back on this instance alone, and a peer that was parted for long would too.
func (s *Sync) bootstrap(ctx context.Context) error {
	peerErr := s.bootstrapFromPeers(ctx)
	_, storeErr := s.list(ctx)
	if peerErr != nil && storeErr != nil {
		return errors.CombineErrors(storeErr, peerErr)
	}
	s.finishBootstrap()
	return nil
}

// start puts in force what was gathered.
func (s *Sync) finishBootstrap() {
	s.withLock(func() {
		s.bootstrapped = true
		s.publishChanges(s.set.Apply(nil))
	})
}

// fromPeers asks a few peers in turn until one has a whole configuration.
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

// snapshot is what a peer has handed on.
type peerSnapshot struct {
	records      []config.Record
	otherRecords []spread.Record
	// asOf are the revisions of the peer's newest full lists, by kind.
	asOf map[string]uint64
}

// fromPeer reads all pages of a peer's records before any of them counts: half
// a configuration would refuse what the other half allows.
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

// add takes one page. The first page's revisions count: a list that the peer
// reads while it hands out pages may stand for records that a page before left
// out, and such a revision would have them taken for deleted.
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
		return page, errors.Wrap(err, "ask for snapshot: encode")
	}
	answer, err := s.opts.Peers.Call(ctx, peer, configwire.MethodSnapshot, body)
	if err != nil {
		return page, errors.Wrapf(err, "ask for snapshot at %s", peer)
	}
	err = msgpack.Unmarshal(answer, &page)
	return page, errors.Wrapf(err, "ask for snapshot at %s: decode", peer)
}

// adopt takes a peer's lists over, then once more its records by themselves:
// where the store has listed a kind already as of a later revision, the peer's
// list does not count, but what the peer has seen since still does.
func (s *Sync) applySnapshot(got peerSnapshot) error {
	s.withLock(func() {
		for _, kind := range config.Kinds {
			s.publishChanges(s.set.ApplyList(kind, got.records, got.asOf[string(kind)]))
		}
		s.applyRecords(got.records)
		for _, r := range got.otherRecords {
			s.applyOther(r)
		}
		s.targets.raiseFloor(got.asOf[platformapi.KindTargets])
		s.gossipTargets()
	})
	return nil
}
