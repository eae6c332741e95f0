package accounts

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/budget"
)

// Prevents a change of a field's name or type: instances of two versions run side by side
// for minutes during a rollout, and could no longer read each other's grants.
func TestBytesOfGrantMessages(t *testing.T) {
	cases := []struct {
		name    string
		message any
		want    string
	}{
		{"request", &budget.GrantRequest{Account: "account", From: "from", Home: "not sent", Seq: 1, Tokens: 2.5}, "84a161a76163636f756e74a166a466726f6da173ce00000001a174ca40200000"},
		{"grant", &budget.Grant{Account: "account", Seq: 3, Tokens: 4.5, RetryAfterMS: 5}, "84a161a76163636f756e74a173ce00000003a174ca40900000a172ce00000005"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := msgpack.Marshal(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
}
