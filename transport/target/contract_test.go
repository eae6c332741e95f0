package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// expected is the expected result of a call; the zero value is a complete answer.
type expected struct {
	failed  bool
	outcome target.Outcome
	reason  target.Reason
}

var answered = expected{}

func failing(outcome target.Outcome, reason target.Reason) expected {
	return expected{failed: true, outcome: outcome, reason: reason}
}

// Injects each fault of the emulator into one call. The caller must get the complete
// answer or a correct outcome; "not run" for a stage that ran would cause a second
// run. The next call to the same target must succeed.
func TestContractFaults(t *testing.T) {
	unknown := func(reason target.Reason) expected { return failing(target.Unknown, reason) }
	failed := failing(target.Failed, target.ReasonFailed)
	cases := []struct {
		fault  emulator.Fault
		whole  expected
		stream expected
		runs   int
	}{
		{emulator.Fault{Kind: emulator.FaultStraggler, Factor: 3}, answered, answered, 1},
		{emulator.Fault{Kind: emulator.FaultStraggler, Factor: 300}, unknown(target.ReasonSilent), unknown(target.ReasonSilent), 1},
		{emulator.Fault{Kind: emulator.FaultGrey}, failed, failed, 1},
		{emulator.Fault{Kind: emulator.FaultFailFast}, failed, failed, 0},
		{emulator.Fault{Kind: emulator.FaultTruncate}, unknown(target.ReasonTruncated), unknown(target.ReasonTruncated), 1},
		{emulator.Fault{Kind: emulator.FaultGarble}, unknown(target.ReasonGarbled), unknown(target.ReasonGarbled), 1},
		{emulator.Fault{Kind: emulator.FaultDuplicate}, answered, answered, 1},
		{emulator.Fault{Kind: emulator.FaultCrossed}, unknown(target.ReasonCrossed), unknown(target.ReasonCrossed), 1},
		{emulator.Fault{Kind: emulator.FaultLost}, unknown(target.ReasonReset), unknown(target.ReasonTruncated), 1},
		{emulator.Fault{Kind: emulator.FaultLate, DelayMS: 500}, answered, answered, 1},
		{emulator.Fault{Kind: emulator.FaultLate, DelayMS: 5000}, unknown(target.ReasonSilent), unknown(target.ReasonSilent), 1},
		// An in-memory connection can't be reset; TestResetOnTCP covers that.
		{emulator.Fault{Kind: emulator.FaultReset, AfterTokens: 2}, unknown(target.ReasonReset), unknown(target.ReasonTruncated), 1},
		{emulator.Fault{Kind: emulator.FaultSilent}, unknown(target.ReasonSilent), unknown(target.ReasonSilent), 0},
		{emulator.Fault{Kind: emulator.FaultCrash, AfterTokens: 2}, unknown(target.ReasonReset), unknown(target.ReasonTruncated), 1},
	}
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			want := c.whole
			if stream {
				want = c.stream
			}
			t.Run(fmt.Sprintf("%s/stream=%v/delay=%d/factor=%g", c.fault.Kind, stream, c.fault.DelayMS, c.fault.Factor), func(t *testing.T) {
				inBubble(t, engine(), func(r *rig) {
					c.fault.Limit = 1
					r.target.SetFaults(c.fault)
					_, err := r.run(attempt("first"), stream)
					if want.failed {
						requireFailure(r, err, want.outcome, want.reason)
					} else {
						require.NoError(r, err)
					}
					r.requireIdle()
					require.Equal(r, c.runs, r.target.Runs()["r-first"])
					if c.fault.Kind == emulator.FaultDuplicate && !stream {
						return // TestLateResponseOnReusedConnection covers the next call.
					}
					_, err = r.run(attempt("next"), stream)
					require.NoError(r, err)
				})
			})
		}
	}
}

// Prevents a response from reaching the wrong caller: a target sends a response
// twice, and the second copy arrives on the reused connection in place of the response
// to the next call.
func TestLateResponseOnReusedConnection(t *testing.T) {
	inBubble(t, engine(), func(r *rig) {
		r.target.SetFaults(emulator.Fault{Kind: emulator.FaultDuplicate, Limit: 1})
		_, err := r.run(attempt("first"), false)
		require.NoError(r, err)
		synctest.Wait()
		_, err = r.run(attempt("second"), false)
		requireFailure(r, err, target.Unknown, target.ReasonCrossed)
		_, err = r.run(attempt("third"), false)
		require.NoError(r, err)
	})
}

// A refused call must have outcome NotRun, since the caller may then retry the stage
// on another target at once, and the target must not have run it.
func TestContractRefusals(t *testing.T) {
	cases := map[string]struct {
		prepare func(r *rig, call *target.Call)
		reason  target.Reason
	}{
		"another incarnation": {func(_ *rig, call *target.Call) { call.Incarnation = "i-0" }, target.ReasonWrongIncarnation},
		"model not loaded":    {func(_ *rig, call *target.Call) { call.Run.Model = "absent" }, target.ReasonRefused},
		"resume past the end": {func(_ *rig, call *target.Call) { call.Run.ResumeFrom = maxTokens + 1 }, target.ReasonRefused},
		"queue full":          {fill, target.ReasonFull},
		"nobody listens":      {func(r *rig, _ *target.Call) { _ = r.net.Close() }, target.ReasonRefused},
		"deadline has passed": {func(_ *rig, call *target.Call) { call.Deadline = time.Now().Add(-1) }, target.ReasonTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			options := engine()
			options.QueueLimit = -1
			options.Models = []string{"m"}
			inBubble(t, options, func(r *rig) {
				call := attempt("refused")
				c.prepare(r, &call)
				for _, stream := range []bool{false, true} {
					_, err := r.run(call, stream)
					requireFailure(r, err, target.NotRun, c.reason)
				}
				require.Zero(r, r.target.Runs()["r-refused"])
			})
		})
	}
}

// fill occupies every slot of the target.
func fill(r *rig, _ *target.Call) {
	for i := range engine().Slots {
		go func() { _, _, _ = r.client.Run(r.Context(), attempt(fmt.Sprint("fill", i))) }()
	}
	synctest.Wait()
}

// A caller disconnects, or its header timeout or deadline expires, while its stage is
// queued or runs. The target must free the slot at once, since abandoned work would
// otherwise starve other calls.
func TestAbandonedCallFreesSlot(t *testing.T) {
	for _, stream := range []bool{false, true} {
		inBubble(t, engine(), func(r *rig) {
			fill(r, nil)
			call := attempt("queued")
			call.HeaderTimeout = callTime / 2
			_, err := r.run(call, stream)
			requireFailure(r, err, target.Unknown, target.ReasonSilent)
			call = attempt("running")
			call.Deadline = time.Now().Add(callTime * 7)
			_, err = r.run(call, stream)
			requireFailure(r, err, target.Unknown, target.ReasonTimeout)
			r.requireIdle()
			ctx, cancel := context.WithTimeoutCause(r.Context(), callTime/2, errors.New("hung up"))
			defer cancel()
			_, _, err = r.client.Run(ctx, attempt("hung up"))
			requireFailure(r, err, target.Unknown, target.ReasonCancelled)
			r.requireIdle()
			require.Equal(r, map[string]int{"r-fill0": 1, "r-fill1": 1, "r-running": 1, "r-hung up": 1}, r.target.Runs())
		})
	}
}

// All open connections to a target go silent in both directions. The target can't
// see that the caller gave up, and messages on an idle connection don't arrive. Only a
// cancellation on a new connection frees the slot.
func TestCancelUsesNewConnection(t *testing.T) {
	inBubble(t, engine(), func(r *rig) {
		silent := make(chan struct{})
		r.client = target.New(clientOptions(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := r.net.Dial(ctx, network, address)
			if old := r.net.dials.Load() <= 2; old {
				conn = &fragileConn{Conn: conn, silent: silent, closed: make(chan struct{})}
			}
			return conn, err
		}))
		fill(r, nil)
		<-time.After(silenceTimeout)
		require.EqualValues(r, 2, r.net.dials.Load(), "two connections are idle")
		long := attempt("silent")
		long.Run.MaxTokens = 1e6
		time.AfterFunc(callTime, func() { close(silent) })
		_, err := r.run(long, false)
		requireFailure(r, err, target.Unknown, target.ReasonSilent)
		r.requireIdle()
		require.ErrorIs(r, r.client.Cancel(r.Context(), address, "a-silent"), target.ErrNoAttempt)
	})
}

// When many targets go silent at once, the cancellations must not pile up.
func TestCancellationsAreBounded(t *testing.T) {
	var cancels atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == targetapi.PathCancel {
			cancels.Add(1)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	inBubbleWithHandler(t, handler, func(r *rig) {
		options := clientOptions(r.net.Dial)
		options.MaxCancels = 2
		r.client = target.New(options)
		for range 5 {
			go func() { _, _, _ = r.client.Run(r.Context(), attempt("x")) }()
		}
		<-time.After(2 * silenceTimeout)
		require.EqualValues(r, 2, cancels.Load())
	})
}

// Responses that violate the contract in ways that the emulator has no fault for,
// from a target or a middlebox. None may be accepted as a complete answer or a valid
// refusal.
func TestBrokenResponses(t *testing.T) {
	echo := func(w http.ResponseWriter) { w.Header().Set(targetapi.HeaderAttempt, "a-x") }
	token := func(offset int, text string) string {
		return fmt.Sprintf("event: token\nid: %d\ndata: {\"token\":%q}\n\n", offset, text)
	}
	done := func(id, text string, tokens int) string {
		return fmt.Sprintf("event: done\ndata: {\"attempt_id\":%q,\"output\":%q,\"tokens\":%d}\n\n", id, text, tokens)
	}
	cases := map[string]struct {
		status int
		body   string
		want   expected
		stream bool
		echoed bool
	}{
		"refusal of another attempt":  {503, `{}`, failing(target.Unknown, target.ReasonCrossed), false, false},
		"body of another attempt":     {200, `{"attempt_id":"a-y"}`, failing(target.Unknown, target.ReasonCrossed), false, true},
		"two answers in a body":       {200, `{"attempt_id":"a-x"}{"attempt_id":"a-x"}`, failing(target.Unknown, target.ReasonGarbled), false, true},
		"too large":                   {200, strings.Repeat(" ", target.DefaultMaxBody+1), failing(target.Unknown, target.ReasonTooLarge), false, true},
		"redirect":                    {307, ``, failing(target.Failed, target.ReasonFailed), false, true},
		"vouched refusal":             {503, `{`, failing(target.NotRun, target.ReasonFull), false, true},
		"stream without done":         {200, token(0, "t"), failing(target.Unknown, target.ReasonTruncated), true, true},
		"token is missing":            {200, token(1, "t"), failing(target.Unknown, target.ReasonGarbled), true, true},
		"token without offset":        {200, "event: token\ndata: {}\n\n", failing(target.Unknown, target.ReasonGarbled), true, true},
		"done of another attempt":     {200, token(0, "t") + done("a-y", "t", 1), failing(target.Unknown, target.ReasonCrossed), true, true},
		"done with another text":      {200, token(0, "t") + done("a-x", "u", 1), failing(target.Unknown, target.ReasonGarbled), true, true},
		"done counts more tokens":     {200, token(0, "t") + done("a-x", "t", 2), failing(target.Unknown, target.ReasonGarbled), true, true},
		"endless line":                {200, strings.Repeat("x", target.DefaultMaxBody+1), failing(target.Unknown, target.ReasonTooLarge), true, true},
		"stream as plain text":        {200, token(0, "t") + done("a-x", "t", 1), failing(target.Unknown, target.ReasonGarbled), true, true},
		"error event":                 {200, "event: error\ndata: {\"error\":\"x\"}\n\n", failing(target.Failed, target.ReasonFailed), true, true},
		"whole, events after it":      {200, token(0, "t") + done("a-x", "t", 1) + token(1, "u"), answered, true, true},
		"whole, unknown events in it": {200, "event: news\ndata: 1\n\n" + token(0, "t") + done("a-x", "t", 1), answered, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			calls := 0
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != targetapi.PathRun {
					return
				}
				calls++
				if c.echoed {
					echo(w)
				}
				if c.stream && name != "stream as plain text" {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				if c.status != http.StatusOK {
					w.Header().Set(targetapi.HeaderNotRun, fmt.Sprint(c.status == http.StatusServiceUnavailable))
				}
				w.Header().Set("Location", targetapi.PathRun)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}
			inBubbleWithHandler(t, handler, func(r *rig) {
				var err error
				if c.stream {
					_, _, err = r.client.Stream(r.Context(), attempt("x"), func(int, string) error { return nil })
				} else {
					_, _, err = r.client.Run(r.Context(), attempt("x"))
				}
				if c.want.failed {
					requireFailure(r, err, c.want.outcome, c.want.reason)
				} else {
					require.NoError(r, err)
				}
				require.Equal(r, 1, calls)
				synctest.Wait()
				if c.want.failed && c.want.outcome == target.Unknown {
					require.Zero(r, r.net.open.Load(), "a late response on the open connection would reach the next call")
				}
			})
		})
	}
}
