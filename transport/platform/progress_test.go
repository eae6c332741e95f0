package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// slowBody answers with an object whose body arrives in parts, with a pause before each.
func slowBody(pause time.Duration, parts int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		object := platformapi.Object{Metadata: platformapi.Metadata{Name: "main", Revision: 7}}
		body, _ := json.Marshal(object) // an object of strings and numbers always encodes
		body = append(body, bytes.Repeat([]byte(" "), parts)...)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		for i := range parts {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			_, _ = w.Write(body[i*len(body)/parts : (i+1)*len(body)/parts])
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// Guards against a large object that is never received over a slow link, because its transfer
// takes longer than the timeout of a call.
func TestLongResponseIsReadToItsEnd(t *testing.T) {
	cases := map[string]struct {
		pause   time.Duration
		parts   int
		elapsed time.Duration
		read    bool
	}{
		"long":              {timeout / 4, 12, 3 * timeout, true},
		"stops in the body": {2 * timeout, 2, timeout, false},
		"never ends":        {timeout / 2, 1000, 11 * timeout, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, _ := serve(t, slowBody(c.pause, c.parts))
				begin := time.Now()
				o, err := client.Get(context.Background(), "config", "main")
				require.Equal(t, c.elapsed, time.Since(begin))
				if !c.read {
					require.ErrorIs(t, err, context.DeadlineExceeded)
					return
				}
				require.NoError(t, err)
				require.Equal(t, uint64(7), o.Metadata.Revision)
			})
		})
	}
}
