package peer

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// layouts are what a Ping with one member is on the wire, by protocol version.
var pingLayouts = map[int]string{
	2: "9307079198a161a162a163a164010200cd0320",
}

// Instances are replaced one by one, and for minutes two versions stand side by side.
// Messages travel as arrays of their fields: with a field more, neither version can
// read the other's members. Under one version number they would connect all the same,
// and drop each other's connections again and again.
func TestLayoutBelongsToItsVersion(t *testing.T) {
	frame, err := Encode(&membership.Ping{Seq: 7, Digest: 7, Updates: []membership.Member{{
		Name: "a", Address: "b", CallerURL: "c", DataCentre: "d", Incarnation: 1, Refutation: 2, Capacity: 800,
	}}})
	require.NoError(t, err)
	require.Equal(t, pingLayouts[Version], hex.EncodeToString(frame[5:]), "a changed layout needs a new Version")
}
