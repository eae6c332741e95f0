package cluster

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// If a field is renamed, another build reads a part without it.
func TestBytesOfParts(t *testing.T) {
	for want, message := range map[string]any{
		"84a44b696e64a6636f6e666967a44e616d65a46d61696ea85265766973696f6ecf0000000000000007a64f666673657408": partRequest{"config", "main", 7, 8},
		"83a85265766973696f6ecf0000000000000007a453697a6509a450617274c4010a":                                 partResponse{7, 9, []byte{10}},
	} {
		encoded, err := msgpack.Marshal(message)
		require.NoError(t, err)
		require.Equal(t, want, hex.EncodeToString(encoded))
	}
}
