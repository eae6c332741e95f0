package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	callStart  = time.Unix(1000, 0)
	callOwner  = Owner{Instance: "a", Incarnation: 1}
	ownToken   = Token{Owner: callOwner, Attempt: 7}
	otherClaim = Record{Token: Token{Owner: Owner{Instance: "b", Incarnation: 1}, Attempt: 3}, BodyDigest: BodyDigest{1}}
	storedRan  = &StoredResult{Outcome: OutcomeRan, Status: 200}
)

func with(r Record, change func(*Record)) Exists {
	change(&r)
	return Exists{Record: r, Revision: 5}
}

func responded(state TokenState, result *StoredResult) Event {
	return PeerResponded{Response: StatusResponse{State: state, Result: result}}
}

// One call claims its key while the store or the claimant fails in one way. The
// caller must get a response, or a correct "not run" or "unknown". The verdict
// follows from the sequence of the responses of store and claimant.
func TestCallDecides(t *testing.T) {
	running := with(otherClaim, func(*Record) {})
	own := with(otherClaim, func(r *Record) { r.Token = ownToken })
	ran := with(otherClaim, func(r *Record) { r.Result = storedRan })
	released := with(otherClaim, func(r *Record) { r.Abandoned = true })
	notRun := with(otherClaim, func(r *Record) { r.Result = &StoredResult{Outcome: OutcomeNotRun} })
	takenOver := with(otherClaim, func(r *Record) { r.Token.Attempt = 4 })
	otherBody := with(otherClaim, func(r *Record) { r.BodyDigest = BodyDigest{2} })
	lost, failed, unreachable := ResponseLost{}, ReadFailed{}, PeerUnreachable{}

	cases := []struct {
		name            string
		events          []Event
		verdict         Verdict
		writes          int
		noStoreResponse bool
		stored          bool
	}{
		{"created", []Event{Written{1}}, VerdictRun, 1, false, true},
		{"store unavailable", []Event{StoreUnavailable{}}, VerdictNotRun, 1, true, false},
		{"lost, own token read back", []Event{lost, own}, VerdictRun, 1, false, true},
		{"lost, read-back failed", []Event{lost, failed}, VerdictNotRun, 1, true, true},
		{"lost, absent, created", []Event{lost, Absent{}, Written{1}}, VerdictRun, 2, false, true},
		{"lost, absent, own delayed write found", []Event{lost, Absent{}, own}, VerdictRun, 2, false, true},
		{"lost, absent, unavailable", []Event{lost, Absent{}, StoreUnavailable{}}, VerdictNotRun, 2, false, true},
		{"lost, foreign outcome read back", []Event{lost, ran}, VerdictReplay, 1, false, true},
		{"lost every time", []Event{lost, Absent{}, lost, Absent{}, lost, Absent{}, lost, Absent{}}, VerdictNotRun, 4, false, true},
		{"exists with outcome", []Event{ran}, VerdictReplay, 1, false, false},
		{"exists with another body", []Event{otherBody}, VerdictConflict, 1, false, false},
		{"released", []Event{released, Written{6}}, VerdictRun, 2, false, true},
		{"finished as not run", []Event{notRun, Written{6}}, VerdictRun, 2, false, true},
		{"released, lost the race", []Event{released, takenOver, responded(TokenFinished, storedRan)}, VerdictReplay, 2, false, false},
		{"released, response lost, won", []Event{released, lost, own}, VerdictRun, 2, false, true},
		{"released, response lost, still released", []Event{released, lost, released, Written{6}}, VerdictRun, 3, false, true},
		{"released, removed meanwhile", []Event{released, Absent{}}, VerdictNotRun, 2, false, false},
		{"released, lost every time", []Event{released, lost, released, lost, released, lost, released}, VerdictNotRun, 4, false, true},
		{"claimant abandoned", []Event{running, responded(TokenAbandoned, nil), Written{6}}, VerdictRun, 2, false, true},
		{"claimant finished", []Event{running, responded(TokenFinished, storedRan)}, VerdictReplay, 1, false, false},
		{"claimant finished, body only in store", []Event{running, responded(TokenFinished, nil), ran}, VerdictReplay, 1, false, false},
		{"claimant runs, then finishes", []Event{running, responded(TokenRunning, nil), Waited{}, responded(TokenFinished, storedRan)}, VerdictReplay, 1, false, false},
		{"claimant unreachable once", []Event{running, unreachable, responded(TokenFinished, storedRan)}, VerdictReplay, 1, false, false},
		{"claimant failed", []Event{running, unreachable, unreachable, running}, VerdictUnknown, 1, false, false},
		{"claimant and store failed", []Event{running, unreachable, unreachable, failed}, VerdictUnknown, 1, false, false},
		{"claimant failed, outcome recorded", []Event{running, unreachable, unreachable, ran}, VerdictReplay, 1, false, false},
		{"claimant failed, abandonment recorded", []Event{running, unreachable, unreachable, released, Written{6}}, VerdictRun, 2, false, true},
		{"claimant forgot", []Event{running, responded(TokenForgotten, nil), running}, VerdictUnknown, 1, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewCall(ownToken, BodyDigest{1}, callStart, callStart.Add(time.Second), DefaultLimits)
			d, writes := feed(t, c, tc.events)
			require.Equal(t, tc.verdict, d.Verdict, d.Reason)
			require.Equal(t, tc.writes, writes)
			require.Equal(t, tc.noStoreResponse, d.NoStoreResponse)
			require.Equal(t, tc.stored, c.MayBeStored())
		})
	}
}

// feed passes the events to the call one by one and counts its writes.
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

// The first call of a key runs for longer than the deadline of the second one. The
// second call must not end as "not run", because the first one is running.
func TestDeadlineWhileClaimantRunsIsUnknown(t *testing.T) {
	deadline := callStart.Add(time.Second)
	c := NewCall(ownToken, BodyDigest{1}, callStart, deadline, DefaultLimits)
	action := c.Start()
	now, requests := callStart, 0
	for range 100 {
		switch a := action.(type) {
		case Create:
			action = c.Step(now, Exists{Record: otherClaim, Revision: 5})
		case RequestStatus:
			requests++
			action = c.Step(now, responded(TokenRunning, nil))
		case Wait:
			now = a.Until
			action = c.Step(now, Waited{})
		case Decide:
			require.Equal(t, VerdictUnknown, a.Decision.Verdict)
			require.Equal(t, deadline, now)
			require.Equal(t, 6, requests, "the wait between requests doubles")
			return
		}
	}
	t.Fatal("not decided")
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker(TrackerLimits{
		MaxOpen: 2, MaxClosed: 2, MaxResultBytes: 10, Retention: time.Hour, DispatchWindow: time.Minute,
	})
	open := func(n uint64) error { return tracker.Open(ID{byte(n)}, BodyDigest{}, n, callStart) }
	finish := func(n uint64) error {
		return tracker.Finish(n, StoredResult{Outcome: OutcomeRan, Body: make([]byte, 6)}, callStart)
	}
	require.NoError(t, open(1))
	require.NoError(t, open(2))
	require.ErrorIs(t, open(3), ErrTooManyOpen)
	require.NoError(t, finish(1))
	require.NoError(t, finish(2))
	require.Equal(t, StatusResponse{State: TokenFinished}, tracker.Status(1), "the older body is dropped")
	_, joins := tracker.Latest(ID{1}, BodyDigest{})
	require.False(t, joins, "a call whose result only the store has isn't joined")
	require.NotNil(t, tracker.Status(2).Result)
	require.NoError(t, open(3))
	require.NoError(t, tracker.Abandon(3, true, callStart))
	require.Equal(t, TokenForgotten, tracker.Status(1).State)
	require.NoError(t, open(4))
	require.NoError(t, tracker.Abandon(4, false, callStart))
	require.Equal(t, TokenAbandoned, tracker.Status(3).State, "an abandoned attempt that was never written evicts no closed one")
	require.NoError(t, tracker.Open(ID{5}, BodyDigest{}, 5, callStart.Add(2*time.Hour)))
	require.Empty(t, tracker.closedOrder, "closed tokens are forgotten after Retention")
	require.ErrorIs(t, tracker.Dispatch(5, callStart.Add(3*time.Hour)), ErrWindowExpired)
	require.NoError(t, tracker.Abandon(5, true, callStart.Add(3*time.Hour)))
	require.Zero(t, tracker.open)
}

// An instance serves small responses for weeks and never reaches MaxResultBytes.
// When it forgets attempts beyond MaxClosed, the list of results must shrink too,
// or the memory of the instance grows until it is killed.
func TestTrackerForgetsResultsWithTheirTokens(t *testing.T) {
	const closed = 8
	tracker := NewTracker(TrackerLimits{MaxOpen: 1, MaxClosed: closed, MaxResultBytes: 1 << 20, Retention: time.Hour, DispatchWindow: time.Minute})
	for attempt := range uint64(100) {
		require.NoError(t, tracker.Open(ID{byte(attempt)}, BodyDigest{}, attempt, callStart))
		require.NoError(t, tracker.Dispatch(attempt, callStart))
		result := StoredResult{Outcome: OutcomeRan, Body: []byte("x")}
		if attempt%3 == 0 {
			result.Outcome = OutcomeNotRun // its result isn't kept
		}
		require.NoError(t, tracker.Finish(attempt, result, callStart))
		require.LessOrEqual(t, len(tracker.withResult), closed)
		require.Equal(t, len(tracker.withResult), tracker.resultBytes)
	}
	require.Len(t, tracker.attempts, closed)
	require.Len(t, tracker.latest, len(tracker.withResult))
}
