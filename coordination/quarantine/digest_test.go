package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Prevents treating two requests as the same that differ in one part, or in where one part
// ends and the next begins.
func TestDigestDistinguishesContents(t *testing.T) {
	type content struct{ Host, Path, Account, Body string }
	part := rapid.StringOfN(rapid.RuneFrom([]rune("ab/")), 0, 3, -1)
	draw := rapid.Custom(func(t *rapid.T) content {
		return content{part.Draw(t, "host"), part.Draw(t, "path"), part.Draw(t, "account"), part.Draw(t, "body")}
	})
	digest := func(c content) Digest { return DigestOf(c.Host, c.Path, c.Account, []byte(c.Body)) }
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw.Draw(t, "a"), draw.Draw(t, "b")
		require.Equal(t, a == b, digest(a) == digest(b))
	})
}
