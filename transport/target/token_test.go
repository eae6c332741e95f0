package target

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// The fast path of parseToken must agree with encoding/json. Otherwise it could return
// another text than the target sent, or accept data that violates the contract.
func TestParseTokenMatchesDecoder(t *testing.T) {
	forms := []string{`{"token":"a\"b"}`, `{"token":"a","token":"b"}`, `{"token":"a"}}`, `{"token":"`, `{"token":"}`,
		`{"token":"\u0041"}`, `{"Token":"a"}`, `{"token":"a"} `, `{"token":null}`, `[]`, "{\"token\":\"a\nb\"}", `{"token":""}`}
	rapid.Check(t, func(t *rapid.T) {
		encoded, err := json.Marshal(targetapi.TokenEvent{Token: rapid.String().Draw(t, "token")})
		require.NoError(t, err)
		free := `{"token":"` + rapid.StringMatching(`[ -~]{0,6}`).Draw(t, "free") + `"}`
		data := rapid.OneOf(rapid.SampledFrom(forms), rapid.Just(string(encoded)), rapid.Just(free)).Draw(t, "data")
		var want targetapi.TokenEvent
		failed := json.Unmarshal([]byte(data), &want)
		got, err := parseToken(data)
		require.Equal(t, failed == nil, err == nil, data)
		if failed == nil {
			require.Equal(t, want.Token, got)
		}
	})
}
