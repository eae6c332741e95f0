package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Checks the admin paths and the weight store as scripts use them.
func TestAdmin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{WeightBytesPerSecond: 100, TargetLag: time.Second})
		do := func(method, path, body string) (int, string) {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w.Code, strings.TrimSpace(w.Body.String())
		}
		for _, c := range []struct {
			method, path, body string
			status             int
			want               string
		}{
			{"PUT", PathFaults, `{"down":"refuse","calls":["write"]}`, 200, `"down":"refuse"`},
			{"GET", PathFaults, ``, 200, `"calls":["write"]`},
			{"POST", "/v1/objects/pools", `{"metadata":{"name":"a"}}`, 503, `down`},
			{"PUT", PathFaults, `{"dwon":"refuse"}`, 400, `unknown field`},
			{"PUT", PathFaults, `{}`, 200, `{}`},
			{"POST", "/v1/objects/pools", `{"metadata":{"name":"a"}}`, 200, `"revision":1`},
			{"POST", "/v1/objects/pools", `{`, 400, `body`},
			{"GET", "/v1/objects/pools?limit=x", ``, 400, `number`},
			{"GET", "/v1/objects/pools?watch=0&wait_ms=10", ``, 200, `"kind":"pools"`},
			{"GET", "/v1/weights/m?bytes=60", ``, 200, `{"name":"m","bytes":60}`},
			{"GET", "/v1/weights/n?bytes=60", ``, 429, `rate limit`},
			{"GET", "/v1/weights/n?bytes=101", ``, 400, `chunk`},
			{"GET", PathCalls, ``, 200, `{"reads":0,"writes":2,"watches":1,"weights":2,"limited":1,"waiting":0`},
			{"PUT", PathTargets, `{"incarnation":"t1","pool":"p"}`, 200, `t1`},
			{"GET", "/v1/objects/targets", ``, 200, `"items":[]`},
			{"PUT", PathTargets, `{"incarnation":"t1","state":"leaving"}`, 200, `leaving`},
		} {
			status, body := do(c.method, c.path, c.body)
			require.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, body)
			require.Contains(t, body, c.want)
		}
		time.Sleep(time.Second) // virtual
		synctest.Wait()
		status, body := do(http.MethodGet, platformapi.PathObjects+"targets/t1", "")
		require.Equal(t, 200, status)
		require.Contains(t, body, `"pool":"p"`)
		require.Contains(t, body, `"state":"leaving"`)
		_, _ = do(http.MethodDelete, PathTargets+"/t1", "")
		time.Sleep(time.Second) // virtual
		synctest.Wait()
		status, _ = do(http.MethodGet, platformapi.PathObjects+"targets/t1", "")
		require.Equal(t, 404, status)
		status, _ = do(http.MethodGet, "/v1/weights/n?bytes=60", "")
		require.Equal(t, 200, status)
	})
}
