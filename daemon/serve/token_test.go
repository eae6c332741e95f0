package serve

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// A token with a quote or a line end would break the event if it were copied unescaped,
// and the caller's client would drop the remaining response.
func TestAppendTokenIsJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := rapid.OneOf(rapid.String(), rapid.StringMatching(`[ -~]*`), rapid.StringMatching("[\"\\\\<>&\x7f\n]?[a-z]*")).Draw(t, "token")
		want, err := json.Marshal(callerapi.TokenEvent{Token: token})
		require.NoError(t, err)
		got, err := appendToken(nil, token)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}
