package serve

import (
	"encoding/json"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

const (
	tokenEventPrefix = `{"token":"`
	tokenEventSuffix = `"}`
)

// appendToken appends the JSON of a token event. Most tokens need no escaping and are
// copied, which is cheaper than the JSON encoder.
func appendToken(dst []byte, token string) ([]byte, error) {
	if !needsNoEscape(token) {
		data, err := json.Marshal(callerapi.TokenEvent{Token: token})
		return append(dst, data...), err
	}
	dst = append(dst, tokenEventPrefix...)
	dst = append(dst, token...)
	return append(dst, tokenEventSuffix...), nil
}

// needsNoEscape reports whether the text is printable ASCII without the characters
// that encoding/json escapes.
func needsNoEscape(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c > '~':
			return false
		case c == '"' || c == '\\' || c == '<' || c == '>' || c == '&':
			return false
		}
	}
	return true
}
