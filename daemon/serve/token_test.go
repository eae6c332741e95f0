package serve

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// A token with a quote or a line end that is copied as it is breaks the event,
// and the caller's client drops the rest of the answer.
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
