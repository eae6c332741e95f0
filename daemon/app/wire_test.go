package app

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// Prevents a change of a field's name or type. During a rollout, instances of two versions
// run side by side for minutes. They could no longer read each other's claim status and would
// run a request twice.
func TestBytesOfStatusMessages(t *testing.T) {
	cases := []struct {
		name    string
		message any
		want    string
	}{
		{"claim status request", &claim.StatusRequest{
			ID:    claim.ID{0: 1, 31: 2},
			Token: claim.Token{Owner: claim.Owner{Instance: "instance", Incarnation: 3}, Attempt: 4},
		}, "82a169c4200100000000000000000000000000000000000000000000000000000000000002a17482a16f82a169a8696e7374" +
			"616e6365a16ecf0000000000000003a161cf0000000000000004"},
		{"claim status response", &claim.StatusResponse{State: claim.TokenFinished, Result: &claim.StoredResult{
			Outcome: claim.OutcomeRan, Status: 200, ContentType: "text/plain",
			Body: []byte("body"), BodyLength: 5, BodyDigest: claim.BodyDigest{0: 6, 31: 7},
		}}, "82a173a866696e6973686564a16b86a16fa372616ea173ccc8a163aa746578742f706c61696ea162c404626f6479a16c05a1" +
			"64c4403036303030303030303030303030303030303030303030303030303030303030303030303030303030303030303030" +
			"3030303030303030303030303030303037"},
		{"claim status response without a result", &claim.StatusResponse{State: claim.TokenRunning}, "82a173a772756e6e696e67a16bc0"},
		{"query of a response", &statusQuery{ID: "id", Account: "account", Wait: 8}, "83a169a26964a161a76163636f756e74a177d30000000000000008"},
		{"query of a status", &statusQuery{ID: "id", Account: "account"}, "82a169a26964a161a76163636f756e74"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := msgpack.Marshal(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
}
