package peer

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

// If a field of the handshake is renamed, or a field of an array is moved, another
// build refuses the connection, or reads a different value at the same position.
func TestBytesOfFrames(t *testing.T) {
	hello := Hello{
		Version: 1, Cluster: "cluster", Name: "name", Address: "address", CallerURL: "url", DataCentre: "dc",
		Incarnation: 2, Capacity: 3,
	}
	updates := []membership.Member{{
		Name: "member", Address: "address", CallerURL: "url", DataCentre: "dc",
		Incarnation: 4, Refutation: 5, State: membership.Suspect, Capacity: 6,
	}}
	cases := []struct {
		name    string
		message Message
		want    string
	}{
		{"hello", &hello, "000000680188a756657273696f6e01a7436c7573746572a7636c7573746572a44e616d65a46e616d65a741646472657373a7" +
			"61646472657373a943616c6c657255524ca375726caa4461746143656e747265a26463ab496e6361726e6174696f6e02a843" +
			"6170616369747903"},
		{"welcome", &Welcome{Code: CodeInvalid, Reason: "reason", Hello: hello}, "000000830283a4436f646506a6526561736f6ea6726561736f6ea548656c6c6f88a756657273696f6e01a7436c7573746572" +
			"a7636c7573746572a44e616d65a46e616d65a741646472657373a761646472657373a943616c6c657255524ca375726caa44" +
			"61746143656e747265a26463ab496e6361726e6174696f6e02a8436170616369747903"},
		{"heartbeat", &Heartbeat{Seq: 7}, "00000003039107"},
		{"heartbeat ack", &HeartbeatAck{Seq: 8}, "00000003049108"},
		{"ping", &membership.Ping{Seq: 9, Digest: 10, Updates: updates}, "000000200a93090a9198a66d656d626572a761646472657373a375726ca2646304050106"},
		{"indirect ping", &membership.PingReq{Seq: 11, Target: "target", Address: "at", Updates: updates}, "000000290b940ba6746172676574a261749198a66d656d626572a761646472657373a375726ca2646304050106"},
		{"ack", &membership.Ack{Seq: 12, Digest: 13, Updates: updates}, "000000200c930c0d9198a66d656d626572a761646472657373a375726ca2646304050106"},
		{"sync request", &membership.SyncRequest{After: "after"}, "000000080d91a56166746572"},
		{"sync response", &membership.SyncResponse{Members: updates, Next: "next"}, "000000230e929198a66d656d626572a761646472657373a375726ca2646304050106a46e657874"},
		{"push", &spread.Push{Records: []spread.Record{
			{Kind: "kind", Name: "name", Revision: 14, Deleted: true, Body: []byte{15}},
		}, Recovered: true}, "0000001414929195a46b696e64a46e616d650ec3c4010fc3"},
		{"pull", &spread.Pull{Root: 16, NewestRevision: 17, Bucket: 18, Leaves: []uint64{19, 20}}, "000000081594101112921314"},
		{"pull response", &spread.PullResponse{InSync: true, Buckets: []uint64{21, 22}}, "000000061692c3921516"},
		{"loads", &spread.Loads{Digests: []spread.LoadDigest{
			{Origin: "origin", Incarnation: 23, Seq: 24, AgeMillis: 25, Body: []byte{26}},
		}}, "0000001117919195a66f726967696e171819c4011a"},
		{"offers", &spread.Offers{Offers: []spread.Offer{
			{Kind: "kind", Name: "name", Revision: 32, Size: 33},
		}}, "0000001018919194a46b696e64a46e616d652021"},
		{"request", &Request{ID: 27, Method: "method", TimeoutMillis: 28, Body: []byte{29}}, "0000000e1e941ba66d6574686f641cc4011d"},
		{"data", &Data{Bytes: []byte{34}}, "000000052891c40122"},
		{"end", &End{}, "000000022990"},
		{"response", &Response{ID: 30, Code: CodeFailed, Reason: "reason", Body: []byte{31}}, "0000000e1f941e05a6726561736f6ec4011f"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			frame, err := Encode(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(frame))
		})
	}
}
