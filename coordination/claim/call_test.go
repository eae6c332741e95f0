package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	callStart = time.Unix(1000, 0)
	callOwner = Owner{Instance: "a", Incarnation: 1}
	mineToken = Token{Owner: callOwner, Attempt: 7}
	theirs    = Record{Token: Token{Owner: Owner{Instance: "b", Incarnation: 1}, Attempt: 3}, BodyDigest: BodyDigest{1}}
	keptRan   = &StoredResult{Outcome: OutcomeRan, Status: 200}
)

func with(r Record, change func(*Record)) Exists {
	change(&r)
	return Exists{Record: r, Revision: 5}
}

func said(state TokenState, kept *StoredResult) Event {
	return PeerResponded{Response: StatusResponse{State: state, Result: kept}}
}

// Story: one call claims its key while the store or the claimant fails in one
// way. A user sees either an answer or a true "not run" or "unknown"; the
// verdict follows from what the store and the claimant have said, in order.
func TestCallDecides(t *testing.T) {
	open := with(theirs, func(*Record) {})
	own := with(theirs, func(r *Record) { r.Token = mineToken })
	ran := with(theirs, func(r *Record) { r.Result = keptRan })
	released := with(theirs, func(r *Record) { r.Abandoned = true })
	notRun := with(theirs, func(r *Record) { r.Result = &StoredResult{Outcome: OutcomeNotRun} })
	taken := with(theirs, func(r *Record) { r.Token.Attempt = 4 })
	otherBody := with(theirs, func(r *Record) { r.BodyDigest = BodyDigest{2} })
	lost, failed, away := ResponseLost{}, ReadFailed{}, PeerUnreachable{}

	cases := []struct {
		name    string
		events  []Event
		verdict Verdict
		writes  int
		silent  bool
		stored  bool
	}{
		{"created", []Event{Written{1}}, VerdictRun, 1, false, true},
		{"store away", []Event{StoreUnavailable{}}, VerdictNotRun, 1, true, false},
		{"lost, own token read back", []Event{lost, own}, VerdictRun, 1, false, true},
		{"lost, read-back failed", []Event{lost, failed}, VerdictNotRun, 1, true, true},
		{"lost, absent, created", []Event{lost, Absent{}, Written{1}}, VerdictRun, 2, false, true},
		{"lost, absent, late effect met", []Event{lost, Absent{}, own}, VerdictRun, 2, false, true},
		{"lost, absent, away", []Event{lost, Absent{}, StoreUnavailable{}}, VerdictNotRun, 2, false, true},
		{"lost, foreign outcome read back", []Event{lost, ran}, VerdictReplay, 1, false, true},
		{"lost for ever", []Event{lost, Absent{}, lost, Absent{}, lost, Absent{}, lost, Absent{}}, VerdictNotRun, 4, false, true},
		{"exists with outcome", []Event{ran}, VerdictReplay, 1, false, false},
		{"exists with another body", []Event{otherBody}, VerdictConflict, 1, false, false},
		{"released", []Event{released, Written{6}}, VerdictRun, 2, false, true},
		{"finished as not run", []Event{notRun, Written{6}}, VerdictRun, 2, false, true},
		{"released, lost the race", []Event{released, taken, said(TokenFinished, keptRan)}, VerdictReplay, 2, false, false},
		{"released, answer lost, won", []Event{released, lost, own}, VerdictRun, 2, false, true},
		{"released, answer lost, still released", []Event{released, lost, released, Written{6}}, VerdictRun, 3, false, true},
		{"released, swept meanwhile", []Event{released, Absent{}}, VerdictNotRun, 2, false, false},
		{"released, lost for ever", []Event{released, lost, released, lost, released, lost, released}, VerdictNotRun, 4, false, true},
		{"claimant abandoned", []Event{open, said(TokenAbandoned, nil), Written{6}}, VerdictRun, 2, false, true},
		{"claimant finished", []Event{open, said(TokenFinished, keptRan)}, VerdictReplay, 1, false, false},
		{"claimant finished, body only in store", []Event{open, said(TokenFinished, nil), ran}, VerdictReplay, 1, false, false},
		{"claimant runs, then finishes", []Event{open, said(TokenRunning, nil), Waited{}, said(TokenFinished, keptRan)}, VerdictReplay, 1, false, false},
		{"claimant silent once", []Event{open, away, said(TokenFinished, keptRan)}, VerdictReplay, 1, false, false},
		{"claimant dead", []Event{open, away, away, open}, VerdictUnknown, 1, false, false},
		{"claimant dead, store too", []Event{open, away, away, failed}, VerdictUnknown, 1, false, false},
		{"claimant dead, outcome recorded", []Event{open, away, away, ran}, VerdictReplay, 1, false, false},
		{"claimant dead, abandonment recorded", []Event{open, away, away, released, Written{6}}, VerdictRun, 2, false, true},
		{"claimant forgot", []Event{open, said(TokenForgotten, nil), open}, VerdictUnknown, 1, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewCall(mineToken, BodyDigest{1}, callStart, callStart.Add(time.Second), DefaultLimits)
			d, writes := feed(t, c, tc.events)
			require.Equal(t, tc.verdict, d.Verdict, d.Reason)
			require.Equal(t, tc.writes, writes)
			require.Equal(t, tc.silent, d.NoStoreResponse)
			require.Equal(t, tc.stored, c.MayBeStored())
		})
	}
}

// feed answers the call's actions with the events and counts its writes.
func feed(t *testing.T, c *Call, events []Event) (Decision, int) {
	writes := 0
	action := c.Start()
	for _, e := range events {
		switch action.(type) {
		case Create, TakeOver:
			writes++
		case Decide:
			t.Fatalf("decided before %T", e)
		}
		action = c.Step(callStart, e)
	}
	d, ok := action.(Decide)
	require.True(t, ok, "not decided but %T", action)
	return d.Decision, writes
}

// Story: the first call of a key runs for longer than the deadline of the
// second one. The second call must not say "not run", for the first one runs.
func TestDeadlineWhileClaimantRunsIsUnknown(t *testing.T) {
	deadline := callStart.Add(time.Second)
	c := NewCall(mineToken, BodyDigest{1}, callStart, deadline, DefaultLimits)
	action := c.Start()
	now, asked := callStart, 0
	for range 100 {
		switch a := action.(type) {
		case Create:
			action = c.Step(now, Exists{Record: theirs, Revision: 5})
		case RequestStatus:
			asked++
			action = c.Step(now, said(TokenRunning, nil))
		case Wait:
			now = a.Until
			action = c.Step(now, Waited{})
		case Decide:
			require.Equal(t, VerdictUnknown, a.Decision.Verdict)
			require.Equal(t, deadline, now)
			require.Equal(t, 6, asked, "the wait between questions doubles")
			return
		}
	}
	t.Fatal("not decided")
}

func TestHolderIsBounded(t *testing.T) {
	h := NewTracker(TrackerLimits{
		MaxOpen: 2, MaxClosed: 2, MaxResultBytes: 10, Retention: time.Hour, DispatchWindow: time.Minute,
	})
	open := func(n uint64) error { return h.Open(ID{byte(n)}, BodyDigest{}, n, callStart) }
	finish := func(n uint64) error {
		return h.Finish(n, StoredResult{Outcome: OutcomeRan, Body: make([]byte, 6)}, callStart)
	}
	require.NoError(t, open(1))
	require.NoError(t, open(2))
	require.ErrorIs(t, open(3), ErrTooManyOpen)
	require.NoError(t, finish(1))
	require.NoError(t, finish(2))
	require.Equal(t, StatusResponse{State: TokenFinished}, h.Status(1), "the older body is let go")
	_, joins := h.Latest(ID{1}, BodyDigest{})
	require.False(t, joins, "a call whose outcome only the store has isn't joined")
	require.NotNil(t, h.Status(2).Result)
	require.NoError(t, open(3))
	require.NoError(t, h.Abandon(3, true, callStart))
	require.Equal(t, TokenForgotten, h.Status(1).State)
	require.NoError(t, open(4))
	require.NoError(t, h.Abandon(4, false, callStart))
	require.Equal(t, TokenAbandoned, h.Status(3).State, "an unwritten token takes no room")
	require.NoError(t, h.Open(ID{5}, BodyDigest{}, 5, callStart.Add(2*time.Hour)))
	require.Empty(t, h.closedOrder, "closed tokens are forgotten after Remember")
	require.ErrorIs(t, h.Dispatch(5, callStart.Add(3*time.Hour)), ErrWindowExpired)
	require.NoError(t, h.Abandon(5, true, callStart.Add(3*time.Hour)))
	require.Zero(t, h.open)
}

// An instance serves small answers for weeks and never fills the bytes that it
// may remember. Tokens past their bound are forgotten, and what lists their
// outcomes must shrink with them, or the instance grows until it is killed.
func TestHolderForgetsOutcomesWithTheirTokens(t *testing.T) {
	const closed = 8
	h := NewTracker(TrackerLimits{MaxOpen: 1, MaxClosed: closed, MaxResultBytes: 1 << 20, Retention: time.Hour, DispatchWindow: time.Minute})
	for attempt := range uint64(100) {
		require.NoError(t, h.Open(ID{byte(attempt)}, BodyDigest{}, attempt, callStart))
		require.NoError(t, h.Dispatch(attempt, callStart))
		kept := StoredResult{Outcome: OutcomeRan, Body: []byte("x")}
		if attempt%3 == 0 {
			kept.Outcome = OutcomeNotRun // keeps nothing
		}
		require.NoError(t, h.Finish(attempt, kept, callStart))
		require.LessOrEqual(t, len(h.withResult), closed)
		require.Equal(t, len(h.withResult), h.resultBytes)
	}
	require.Len(t, h.attempts, closed)
	require.Len(t, h.latest, len(h.withResult))
}
