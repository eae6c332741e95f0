package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/state/routes"
)

// startingRelay returns a relay whose configuration and targets become known after a while.
func startingRelay(after time.Duration) *Relay {
	s := stagedRelay(nil)
	s.options.Confirm = func(context.Context) bool { return true }
	table := s.options.Table()
	ready := make(chan struct{})
	var known atomic.Pointer[routes.Table]
	s.options.Table = known.Load
	s.options.AwaitReady = func(ctx context.Context) {
		select {
		case <-ready:
		case <-ctx.Done():
		}
	}
	time.AfterFunc(after, func() {
		known.Store(table)
		close(ready)
	})
	return s
}

// Requests that arrive while an instance reads its configuration must not be refused, nor must they
// wait for long if it can't be read.
func TestRequestWaitsForStartup(t *testing.T) {
	cases := map[string]struct {
		after, arrives, answered time.Duration
		status                   int
	}{
		"ready soon":                             {200 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, http.StatusNotFound},
		"store unavailable":                      {time.Hour, 0, maxStartupWait, http.StatusServiceUnavailable},
		"store unavailable, request comes late":  {time.Hour, maxStartupWait - time.Millisecond, maxStartupWait, http.StatusServiceUnavailable},
		"store unavailable long after the start": {time.Hour, time.Minute, time.Minute, http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				s := startingRelay(c.after)
				time.Sleep(c.arrives)
				w := httptest.NewRecorder()
				s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://other.example/", strings.NewReader("")))
				require.Equal(t, c.status, w.Code)
				require.Equal(t, c.answered, time.Since(begin))
			})
		})
	}
}
