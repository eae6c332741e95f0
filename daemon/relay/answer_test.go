package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// TestLongAnswerIsNotCutForASecondAttempt guards against an answer that is cut by our own
// bound of its target's silence, when its caller has a part of it.
func TestLongAnswerIsNotCutForASecondAttempt(t *testing.T) {
	body := strings.Repeat("x", 2*maxBufferedReply)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body) // a failure shows in what the caller gets
	}))
	defer target.Close()
	out, err := http.NewRequest(http.MethodGet, target.URL, nil)
	require.NoError(t, err)
	reply, err := forward.New().Do(t.Context(), target.Listener.Addr().String(), out, forward.Options{})
	require.NoError(t, err)
	defer reply.Close()

	w := httptest.NewRecorder()
	q := &request{
		relay: New(Options{Dialect: dialect{}, Scope: tally.NoopScope}), w: w, r: httptest.NewRequest(http.MethodGet, "http://example.com/", nil),
		route: &routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, arrived: time.Now(),
	}
	silence := time.NewTimer(time.Hour)
	_, err = q.forwardReply(t.Context(), reply, silence)
	require.NoError(t, err)
	require.Equal(t, body, w.Body.String())
	require.False(t, silence.Stop(), "the bound of the silence still holds")
}
