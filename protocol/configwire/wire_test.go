package configwire_test

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
)

// Instances of two builds run side by side for minutes during an update. If a field gets
// another name or type, the other build would read an empty configuration.
func TestBytesOfConfigurationPages(t *testing.T) {
	cases := []struct {
		name    string
		message any
		want    string
	}{
		{"request", &configwire.PageRequest{Revision: 1, Kind: "kind", Name: "name"}, "83a172cf0000000000000001a16ba46b696e64a16ea46e616d65"},
		{"page", &configwire.Page{
			Records: [][]byte{{2}, {3, 4}}, Last: configwire.PageRequest{Revision: 5, Kind: "last", Name: "name"}, More: true,
			TargetRecords: []spread.Record{{Kind: "other", Name: "target", Revision: 6, Deleted: true, Body: []byte{7}}},
			AsOf:          map[string]uint64{"tiers": 8},
		}, "85a17292c40102c4020304a16c83a172cf0000000000000005a16ba46c617374a16ea46e616d65a16dc3a16f9185a44b696e" +
			"64a56f74686572a44e616d65a6746172676574a85265766973696f6ecf0000000000000006a744656c65746564c3a4426f64" +
			"79c40107a16181a57469657273cf0000000000000008"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := msgpack.Marshal(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
}

// If a field of a record is moved or added, another build reads a different value at the
// same position, and puts a configuration in force that nobody wrote.
func TestBytesOfConfigurationRecord(t *testing.T) {
	body, err := configwire.EncodeRecord(config.Record{
		Key:      config.Key{Kind: "tiers", Name: "gold"},
		Newest:   config.Version{Revision: 1, Deleted: true, Spec: []byte("newest"), SpecRevision: 2},
		Accepted: true,
		InForce:  config.Version{Revision: 3, Spec: []byte("in force"), SpecRevision: 4},
	})
	require.NoError(t, err)
	require.Equal(t, "95a57469657273a4676f6c6494cf0000000000000001c3c4066e6577657374cf0000000000000002c394cf00000000000000"+
		"03c2c408696e20666f726365cf0000000000000004", hex.EncodeToString(body))
}
