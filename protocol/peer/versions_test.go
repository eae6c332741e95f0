package peer

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// pingLayouts holds the encoding of a Ping with one member, by protocol version.
var pingLayouts = map[int]string{
	2: "9307079198a161a162a163a164010200cd0320",
	3: "9307079198a161a162a163a164010200cd0320",
	4: "9307079198a161a162a163a164010200cd0320",
}

// During a rolling update two versions run side by side for minutes. Messages are
// encoded as arrays of their fields: after a field is added, neither version can read
// the other's members. Under one version number both would still connect, and would
// close each other's connections again and again.
func TestLayoutMatchesVersion(t *testing.T) {
	frame, err := Encode(&membership.Ping{Seq: 7, Digest: 7, Updates: []membership.Member{{
		Name: "a", Address: "b", CallerURL: "c", DataCentre: "d", Incarnation: 1, Refutation: 2, Capacity: 800,
	}}})
	require.NoError(t, err)
	require.Equal(t, pingLayouts[Version], hex.EncodeToString(frame[5:]), "a changed layout needs a new Version")
}
