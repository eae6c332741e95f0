package confsync

import (
	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// inForceSuffix marks the kind of a record that tells which version its sender
// has in force, when a peer has said otherwise.
const inForceSuffix = "/in-force"

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

// fromSpread reads the configuration records among what a peer has spread. One
// that can't be read was made by a newer release and is left out.
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

// contradict tells the others which version is in force here, where a record
// said that an older one is. Two records of which only one fits may be judged
// in another order by another instance. Spread drops a second record of one
// revision, so without this each would keep to its own judgement for ever. All
// take over what one has accepted, so both records come into force everywhere.
// It needs the lock.
func (s *Sync) publishNewerInForce(records []config.Record) {
	for i := range records {
		held, known := s.set.Get(records[i].Key)
		if !known || held.Accepted || held.InForce.Revision <= acceptedRevision(records[i]) {
			continue
		}
		said := config.Record{Key: held.Key, Newest: held.InForce, Accepted: true}
		for _, r := range encodeRecords([]config.Record{said}) {
			r.Kind += inForceSuffix
			s.outbox = append(s.outbox, r)
		}
	}
}

// accepted is the revision that a record says is in force, 0 for none.
func acceptedRevision(r config.Record) uint64 {
	if r.Accepted {
		return r.Newest.Revision
	}
	return r.InForce.Revision
}
