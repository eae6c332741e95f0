package accountlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overload has an account ask at an instance whose targets reject all, until it is refused.
func overload(l *Limiter, now time.Time, service, account string) Verdict {
	for {
		now = now.Add(time.Millisecond)
		if v := l.Ask(now, Request{Service: service, Account: account}); v.Refused {
			return v
		}
		l.Sent(now, service)
		l.Rejected(now, service)
	}
}

// Guards against memory that grows with the names of services and accounts.
func TestMemoryIsBounded(t *testing.T) {
	l := New(nil)
	for i := range 2 * maxServices {
		overload(l, start, fmt.Sprint(i), "a")
	}
	require.Len(t, l.services, maxServices)
	now := start
	for i := range 3 * maxAccounts {
		now = now.Add(levelInterval / 10)
		account := fmt.Sprint(i)
		for range 20 {
			l.Ask(now, Request{Service: "s", Account: account})
			l.Rejected(now, "s")
		}
	}
	require.LessOrEqual(t, len(l.services["s"].held), maxAccounts)
	require.NotEmpty(t, l.Held(now))
	require.Empty(t, l.Held(now.Add(heldTime)))
	l.Ask(now.Add(forgetTime), Request{Service: "s"})
	require.Empty(t, l.services["s"].held)
}

// Guards against refused callers that are all told the same time, and against times that are later than
// the shares are known for.
func TestRetryTimesAreSpread(t *testing.T) {
	l := New(nil)
	last := overload(l, start, "s", "a").RetryAfter
	require.Positive(t, last)
	for range 100 {
		v := l.Ask(start.Add(time.Second), Request{Service: "s", Account: "a"})
		if !v.Refused {
			continue
		}
		require.GreaterOrEqual(t, v.RetryAfter, last-time.Second)
		require.LessOrEqual(t, v.RetryAfter, maxRetryAfter)
		last = v.RetryAfter
	}
	require.Equal(t, maxRetryAfter, last)
}

// Guards against a limit where a single one of many targets rejects, with all requests and after an overload.
func TestSingleTargetThatRejectsLimitsNothing(t *testing.T) {
	const afterOverload = 20 * time.Second
	for _, overloaded := range []bool{false, true} {
		l, now := New(nil), start
		if overloaded {
			overload(l, now, "s", "a")
		}
		for i := range 6000 {
			now = now.Add(10 * time.Millisecond)
			refused := l.Ask(now, Request{Service: "s", Account: "a"}).Refused
			if refused {
				require.True(t, overloaded && now.Sub(start) < afterOverload, now.Sub(start))
				continue
			}
			l.Sent(now, "s")
			if i%60 == 0 {
				l.Rejected(now, "s")
			}
		}
	}
}

// Fails if Peek records a query, spends the credit of an account or moves the time that the next
// refused caller is told, or if it decides otherwise than Ask.
func TestPeekIsAskWithoutATrace(t *testing.T) {
	asked, left := New(nil), New(nil)
	require.Equal(t, overload(asked, start, "s", "a"), overload(left, start, "s", "a"))
	refused := 0
	for i := range 400 {
		now := start.Add(time.Second + time.Duration(i)*13*time.Millisecond)
		r := Request{Service: "s", Account: fmt.Sprint(i % 3), Priority: i % 2}
		require.False(t, asked.Peek(now, Request{Service: "unknown"}).Refused)
		peeked := asked.Peek(now, r)
		require.Equal(t, left, asked)
		require.Equal(t, left.Ask(now, r), peeked)
		require.Equal(t, peeked, asked.Ask(now, r))
		if peeked.Refused {
			refused++
		} else if i%4 == 0 {
			left.Rejected(now, "s")
			asked.Rejected(now, "s")
		}
	}
	require.Positive(t, refused)
}
