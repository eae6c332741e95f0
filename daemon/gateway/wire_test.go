package gateway

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/watching"
)

// Prevents a change of a field's name or type: instances of two versions run side by side
// for minutes during a rollout, and could no longer read each other's reports.
func TestBytesOfWatcherMessages(t *testing.T) {
	cases := []struct {
		name    string
		message any
		want    string
	}{
		{"report", watching.Report{Known: true, Age: 1, Recovered: 2}, "83a54b6e6f776ec3a3416765d30000000000000001a95265636f7665726564d30000000000000002"},
		{"fresh", watching.Report{Known: true, Age: 1, Recovered: 2}.IsFresh(), "c3"},
		{"confirmed with its size", confirmResponse{Revision: 3, Known: true, Bytes: 4}, "83a85265766973696f6ecf0000000000000003a54b6e6f776ec3a5427974657304"},
		{"confirmed", confirmResponse{Revision: 3, Known: true}, "82a85265766973696f6ecf0000000000000003a54b6e6f776ec3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := msgpack.Marshal(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
}
