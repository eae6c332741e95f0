package confsync

import (
	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// inForceSuffix marks the kind of a record that carries the version in force on its
// sender, sent after a peer has reported an older one.
const inForceSuffix = "/in-force"

// encodeRecords converts configuration records for gossip. It omits records that can't be
// encoded.
func encodeRecords(records []config.Record) []spread.Record {
	out := make([]spread.Record, 0, len(records))
	for _, r := range records {
		body, err := configwire.EncodeRecord(r)
		if err != nil {
			continue
		}
		out = append(out, spread.Record{
			Kind:     string(r.Kind),
			Name:     r.Name,
			Revision: r.Newest.Revision,
			Deleted:  r.Newest.Deleted,
			Body:     body,
		})
	}
	return out
}

// decodeRecords returns the configuration records among the records of a peer. It omits
// records that can't be decoded, which come from a newer release.
func decodeRecords(records []spread.Record) []config.Record {
	out := make([]config.Record, 0, len(records))
	for _, r := range records {
		if r.Kind == platformapi.KindTargets || r.Kind == kindLeaving {
			continue
		}
		if decoded, err := configwire.DecodeRecord(r.Body); err == nil {
			out = append(out, decoded)
		}
	}
	return out
}

// queueNewerInForce queues for gossip the version in force here of each record for which the
// sender reported an older one. If two records are each valid only without the other,
// instances that evaluate them in different orders accept different ones. As gossip drops
// a second record of the same revision, they would never converge. Each instance adopts
// what another has accepted, so both records come into force everywhere. The caller holds
// the lock.
func (s *Sync) queueNewerInForce(records []config.Record) {
	for i := range records {
		held, known := s.set.Get(records[i].Key)
		if !known || held.Accepted || held.InForce.Revision <= acceptedRevision(records[i]) {
			continue
		}
		inForce := config.Record{Key: held.Key, Newest: held.InForce, Accepted: true}
		for _, r := range encodeRecords([]config.Record{inForce}) {
			r.Kind += inForceSuffix
			s.outbox = append(s.outbox, r)
		}
	}
}

// acceptedRevision returns the revision in force on the sender of a record, 0 if none.
func acceptedRevision(r config.Record) uint64 {
	if r.Accepted {
		return r.Newest.Revision
	}
	return r.InForce.Revision
}
