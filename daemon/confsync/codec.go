package confsync

import (
	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

func encodeSpread(r config.Record) (spread.Record, bool) {
	body, err := configwire.EncodeRecord(r)
	if err != nil {
		return spread.Record{}, false
	}
	return spread.Record{
		Kind:     string(r.Kind),
		Name:     r.Name,
		Revision: r.Newest.Revision,
		Deleted:  r.Newest.Deleted,
		Body:     body,
	}, true
}

// fromSpread reads the configuration records among what a peer has spread. One
// that can't be read was made by a newer release and is left out.
func fromSpread(records []spread.Record) []config.Record {
	out := make([]config.Record, 0, len(records))
	for _, r := range records {
		if r.Kind == platformapi.KindTargets {
			continue
		}
		if decoded, err := configwire.DecodeRecord(r.Body); err == nil {
			out = append(out, decoded)
		}
	}
	return out
}
