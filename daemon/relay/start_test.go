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

// startingRelay is a relay whose configuration and targets come after a while.
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

// TestRequestWaitsForTheStart guards against refusals of requests that come while an
// instance reads its configuration, and against requests that wait while it can't.
func TestRequestWaitsForTheStart(t *testing.T) {
	cases := map[string]struct {
		after, arrives, answered time.Duration
		status                   int
	}{
		"ready soon":            {200 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, http.StatusNotFound},
		"the store is away":     {time.Hour, 0, maxStartupWait, http.StatusServiceUnavailable},
		"away for a while":      {time.Hour, maxStartupWait - time.Millisecond, maxStartupWait, http.StatusServiceUnavailable},
		"away, and up for long": {time.Hour, time.Minute, time.Minute, http.StatusServiceUnavailable},
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
