package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
)

// refusingRunner refuses all stages.
type refusingRunner struct {
	*stageRunner
	refusal stages.RefusedError
}

func (r *refusingRunner) Execute(context.Context, gather.Request, placing.Prompt) (stages.Result, error) {
	refusal := r.refusal
	return stages.Result{}, &refusal
}

// Prevents that a caller is told another time than the one at which its work is reserved, also by
// an instance that stops, and that a caller without reservation takes a time for one within its
// deadline.
func TestRetryDelayOfRefusedStages(t *testing.T) {
	for name, c := range map[string]struct {
		refusal  stages.RefusedError
		stopping bool
		want     string
	}{
		"reserved":               {stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 1970 * time.Millisecond, Reserved: true}, false, "1.97"},
		"reserved, stopping":     {stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 1970 * time.Millisecond, Reserved: true}, true, "1.97"},
		"no time left":           {stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 5 * time.Second, NoTimeLeft: true}, false, "20.00"},
		"no time left for long":  {stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 30 * time.Second, NoTimeLeft: true}, false, "30.00"},
		"no time left, stopping": {stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 18*time.Second - answerMargin, NoTimeLeft: true}, true, "2.25"},
		"nothing reserved":       {stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 5 * time.Second}, false, "5.00"},
		"no target":              {stages.RefusedError{Reason: gather.ReasonNoTarget, RetryAfter: time.Second}, false, "1.00"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := stagedRelay(&refusingRunner{&stageRunner{}, c.refusal})
				if c.stopping {
					s.Drain(time.Now().Add(balancerDelay), time.Now().Add(7*time.Second))
				}
				w := httptest.NewRecorder()
				s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
				require.Equal(t, http.StatusServiceUnavailable, w.Code)
				require.Equal(t, c.want, w.Header().Get("Retry-After"))
			})
		})
	}
}
