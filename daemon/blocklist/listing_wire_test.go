package blocklist

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// If a field or state were renamed, an operator's tools would list no requests although some
// are blocked.
func TestBytesOfListedRequests(t *testing.T) {
	rows := []struct {
		name    string
		crash   quarantine.Crash
		crashes int
		age     time.Duration
		want    string
	}{
		{"blocked", quarantine.Crash{Digest: quarantine.Digest{1}}, 3, time.Second, "[{\"digest\":\"01000000000000000000000000000000\",\"state\":\"blocked\",\"crashes\":3,\"since_s\":1,\"left_s\":29}]\n"},
		{"on trial", quarantine.Crash{Digest: quarantine.Digest{1}}, 3, 40 * time.Second, "[{\"digest\":\"01000000000000000000000000000000\",\"state\":\"on_trial\",\"crashes\":3,\"since_s\":40,\"left_s\":0}]\n"},
		{"part blocked", quarantine.Crash{Digest: quarantine.Digest{2}, Part: true}, 3, time.Second, "[{\"digest\":\"02000000000000000000000000000000\",\"kind\":\"part\",\"state\":\"blocked\",\"crashes\":3,\"since_s\":1,\"left_s\":29}]\n"},
		{"none", quarantine.Crash{}, 0, 0, "[]\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &member{fleet: &fleet{instances: map[string]*member{}}, handlers: map[string]peer.Handler{}}
				m.Blocklist = New(m, quarantine.DefaultConfig(), tally.NoopScope)
				for i := range row.crashes {
					row.crash.Target = string(rune('a' + i))
					m.table.Merge(time.Now(), row.crash)
				}
				time.Sleep(row.age)
				w := httptest.NewRecorder()
				m.ServeHTTP(w, httptest.NewRequest("GET", "/quarantine", nil))
				require.Equal(t, row.want, w.Body.String())
			})
		})
	}
}
