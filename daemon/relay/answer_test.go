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

// plainReply returns a target's reply with a status and a body.
func plainReply(t *testing.T, status int, body string) (*forward.Reply, *replyHead) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body) // a failed write is detected by the length of the response
	}))
	t.Cleanup(target.Close)
	out, err := http.NewRequest(http.MethodGet, target.URL, nil)
	require.NoError(t, err)
	reply, err := forward.New(forward.ClientOptions{}).Do(t.Context(), target.Listener.Addr().String(), out, forward.Options{})
	require.NoError(t, err)
	t.Cleanup(reply.Close)
	return reply, &replyHead{status: reply.Status, header: reply.Header, length: reply.Length}
}

// plainRequest returns a request that may be repeated, with a number of open attempts.
func plainRequest(t *testing.T, attempts int) (*request, *attempt, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	q := &request{
		relay: New(Options{Dialect: dialect{}, Scope: tally.NoopScope}), w: w, r: httptest.NewRequest(http.MethodGet, "http://example.com/", nil),
		route: &routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 3}, arrived: time.Now(), inbox: newInbox(),
	}
	a := &attempt{ctx: t.Context(), silence: newSilenceTimer(time.Hour, func() bool { return false })}
	for range attempts {
		q.open = append(q.open, a)
	}
	return q, a, w
}

// A reply that is too long to be buffered is forwarded in parts. The first byte timeout must not
// cancel it while it is forwarded: its caller has a part of it, so no retry can replace it.
func TestLongReplyIsNotCutForRetry(t *testing.T) {
	body := strings.Repeat("x", 2*maxBufferedReply)
	reply, head := plainReply(t, http.StatusOK, body)
	q, a, w := plainRequest(t, 1)
	part, err := io.ReadAll(io.LimitReader(reply, maxBufferedReply))
	require.NoError(t, err)
	complete, _, err := q.forwardReply(message{from: a, head: head, data: part, rest: reply})
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, body, w.Body.String())
	require.True(t, a.silence.stopped, "the timer of the target's silence still runs")
}

// Guards against an error response of which the caller gets a part that looks whole, since it was held while another target
// might do better.
func TestLongErrorResponseIsNotCut(t *testing.T) {
	for name, c := range map[string]struct {
		length     int
		open       int
		held, sent bool
	}{
		"held":                        {2 * maxBufferedReply, 1, true, false},
		"held beside another attempt": {2 * maxBufferedReply, 2, true, false},
		"too long to be held":         {2 * maxBufferedFailure, 1, false, true},
		"too long, another attempt":   {2 * maxBufferedFailure, 2, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", c.length)
			reply, head := plainReply(t, http.StatusInternalServerError, body)
			q, a, w := plainRequest(t, c.open)
			go a.readPlain(q.inbox, reply, head)
			complete, _, err := q.forwardReply(<-q.inbox.messages)
			require.Equal(t, c.sent, complete)
			if c.sent {
				require.NoError(t, err)
				require.Equal(t, body, w.Body.String())
				return
			}
			var f *failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, c.held, f.reply != nil)
			if c.held {
				q.sendBuffered(f.reply)
				require.Equal(t, body, w.Body.String())
			}
		})
	}
}
