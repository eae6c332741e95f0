package blocklist

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
)

// Instances of two builds run side by side for minutes during an update. If a field got another
// name or type, one build couldn't read the records of crashes that the other one sends.
func TestBytesOfCrashRecords(t *testing.T) {
	cases := []struct {
		name    string
		message any
		want    string
	}{
		{"exchange", &exchangeMessage{Ask: true, Crashes: encodeCrashes([]quarantine.Crash{
			{Digest: quarantine.Digest{0: 1, 15: 2}, Target: "target", Age: 3 * time.Millisecond, Cleared: true},
		})}, "82a341736bc3a7437261736865739184a164c41001000000000000000000000000000002a174a6746172676574a161ce0000" +
			"0003a163c3"},
		{"part", &exchangeMessage{Crashes: encodeCrashes([]quarantine.Crash{{Digest: quarantine.Digest{0: 1, 15: 2}, Part: true, Target: "target"}})},
			"82a341736bc2a7437261736865739185a164c41001000000000000000000000000000002a174a6746172676574a161ce00000000a163c2a170c3"},
		{"trial", &trialRequest{Digest: []byte{4, 5}, LeftMillis: 6}, "82a6446967657374c4020405aa4c6566744d696c6c6973ce00000006"},
		{"trial granted", &trialResponse{Granted: true}, "81a74772616e746564c3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := msgpack.Marshal(c.message)
			require.NoError(t, err)
			require.Equal(t, c.want, hex.EncodeToString(body))
		})
	}
}
