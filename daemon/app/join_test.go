package app

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// A caller gets the status and the response of its request from any instance, since the
// balancer may send the call to an instance other than the one that runs the request.
func TestJoinOnAnotherInstance(t *testing.T) {
	started, release := make(chan string, 1), make(chan struct{})
	world := startWorld(t, dev.WrapTargets(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.Header.Get(targetapi.HeaderAttempt), "/encode/") {
				select {
				case started <- r.Header.Get(targetapi.HeaderRequest):
				default: // a hedged attempt: only the first attempt is reported
				}
				<-release
			}
			next.ServeHTTP(w, r)
		})
	}))
	one := startIn(t, world, "one", "")
	two := startIn(t, world, "two", "", one.self.Address)
	ctx, cancel := context.WithTimeout(t.Context(), membersWait)
	defer cancel()
	require.NoError(t, two.cluster.WaitView(ctx, func(v *membership.View) bool { return len(v.Live()) == 2 }))
	direct := make(chan string, 1)
	go func() { direct <- fetch(t, http.MethodPost, one, "/v1/pipelines/dossier/requests", http.StatusOK) }()
	id := <-started
	path := "/v1/requests/" + id + "/answer"
	running := fetch(t, http.MethodGet, two, path, http.StatusAccepted)
	require.Contains(t, running, id)
	close(release)
	want := <-direct
	require.Equal(t, want, fetch(t, http.MethodGet, two, path+"?wait_ms=3000", http.StatusOK))
}

// membersWait is the time after which a test that hangs is ended.
const membersWait = 30 * time.Second

// fetch calls an instance and checks the status. It may run in a goroutine other than that
// of the test.
func fetch(t *testing.T, method string, a *App, path string, status int) string {
	request, _ := http.NewRequest(method, a.CallersURL()+path, strings.NewReader(`{"input":"x"}`))
	request.Header.Set("Authorization", "Bearer "+dev.SampleKey)
	response, err := http.DefaultClient.Do(request)
	if !assert.NoError(t, err) {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
	assert.Equal(t, status, response.StatusCode, "%s %s: %s", method, path, body)
	return string(body)
}
