package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	testKey    = Key{Account: "periyar", IdempotencyKey: "order-1"}
	testBody   = [32]byte{1}
	testResult = StoredResult{Outcome: claim.OutcomeRan, Status: 200, ContentType: "application/json", Body: []byte(`{"ok":true}`)}
)

// testCluster is a store with instances that can send one another status requests.
type testCluster struct {
	t        *testing.T
	store    *emulator.Store
	form     func(Store) Storage
	services map[claim.Owner]*Service
	stops    []func()
	// silentCalls is the number of calls without a response that one claim waits for: a
	// journal is read before its first write. Its type is time.Duration because it is
	// multiplied with a timeout.
	silentCalls time.Duration
}

func newTestCluster(t *testing.T, form func(Store) Storage) *testCluster {
	return &testCluster{t: t, store: emulator.New(emulator.Options{}), form: form, services: map[claim.Owner]*Service{}}
}

// storageForms are the forms that claims can be stored in.
var storageForms = map[string]func(Store) Storage{
	"objects":  func(s Store) Storage { return NewObjectStorage(s) },
	"journals": func(s Store) Storage { return NewJournalStorage(s, 1, DefaultStoreTimeout, 0) },
}

// ClaimStatus implements StatusClient. A removed instance can't be reached.
func (w *testCluster) ClaimStatus(ctx context.Context, claimant claim.Owner, q claim.StatusRequest) (claim.StatusResponse, error) {
	s, ok := w.services[claimant]
	if !ok {
		return claim.StatusResponse{}, errors.New("unreachable")
	}
	return s.HandleStatusRequest(ctx, q), nil
}

func (w *testCluster) instance(name string) *Service {
	owner := claim.Owner{Instance: name, Incarnation: 1}
	s := New(Options{
		Owner: owner, Storage: w.form(w.store.Local(name)), StatusClient: w, Now: time.Now,
		Retention: time.Hour, SweepInterval: time.Minute,
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	w.services[owner] = s
	w.stops = append(w.stops, func() {
		cancel()
		<-ended
	})
	return s
}

// kill makes an instance unreachable.
func (w *testCluster) kill(s *Service) { delete(w.services, s.opts.Owner) }

func (w *testCluster) stop() {
	for _, stop := range w.stops {
		stop()
	}
}

func (w *testCluster) begin(s *Service, wait time.Duration) BeginResult {
	ctx, cancel := context.WithTimeout(w.t.Context(), wait)
	defer cancel()
	begun, err := s.Begin(ctx, testKey, testBody)
	require.NoError(w.t, err)
	return begun
}

// run claims the key and marks the claim as dispatched.
func (w *testCluster) run(s *Service) *Ticket {
	begun := w.begin(s, 10*time.Second)
	require.Equal(w.t, Run, begun.Verdict, begun.Reason)
	require.NoError(w.t, begun.Ticket.MarkDispatched())
	return begun.Ticket
}

func inCluster(t *testing.T, body func(t *testing.T, w *testCluster, a, b *Service)) {
	for name, form := range storageForms {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(t, form)
				w.silentCalls = map[string]time.Duration{"objects": 1, "journals": 2}[name]
				body(t, w, w.instance("a"), w.instance("b"))
				w.stop()
			})
		})
	}
}

var (
	down      = emulator.Faults{Down: emulator.FailRefuse}
	readsDown = []emulator.CallKind{emulator.CallRead}
)

// The store fails in one way while instance a claims a key. The caller must get a correct
// verdict. Then the store recovers and the caller retries at instance b, while a is running
// or has failed.
func TestStoreFaultWhileClaiming(t *testing.T) {
	lost := emulator.Faults{LoseWrites: 1}
	for _, tc := range []struct {
		name   string
		faults emulator.Faults
		first  Verdict
		// whileRunning and afterFailure are the verdicts of b while a is running and after
		// a has failed.
		whileRunning, afterFailure Verdict
		// maxTime bounds the wait for the first verdict, per call of silentCalls.
		maxTime time.Duration
	}{
		{"none", emulator.Faults{}, Run, Unknown, Unknown, 0},
		{"response lost after the effect", lost, Run, Unknown, Unknown, 0},
		{"response lost before the effect", emulator.Faults{LoseWrites: 1, ApplyAfterMS: 3000}, Run, Unknown, Unknown, 0},
		{"responses lost, effects delayed", emulator.Faults{LoseWrites: 9, ApplyAfterMS: 3000}, NotRun, Run, Run, 0},
		{"response lost, read-back failed", emulator.Faults{LoseWrites: 1, Calls: readsDown, Down: emulator.FailRefuse}, NotRun, Run, Run, 0},
		{"response lost, read-back without response", emulator.Faults{LoseWrites: 1, Calls: readsDown, Down: emulator.FailSilence}, NotRun, Run, Run, DefaultStoreTimeout},
		{"down", down, NotRun, Run, Run, 0},
	} {
		for _, failed := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
					w.store.SetFaults(tc.faults)
					began := time.Now()
					first := w.begin(a, 10*time.Second)
					require.Equal(t, tc.first, first.Verdict, first.Reason)
					require.LessOrEqual(t, time.Since(began), tc.maxTime*w.silentCalls)
					if first.Verdict == Run {
						require.NoError(t, first.Ticket.MarkDispatched())
						require.Error(t, first.Ticket.Abandon(t.Context()))
					} else {
						require.Positive(t, first.RetryAfter)
					}
					w.store.SetFaults(emulator.Faults{})
					time.Sleep(20 * time.Second)
					want := tc.whileRunning
					if failed {
						w.kill(a)
						want = tc.afterFailure
					}
					second := w.begin(b, 2*time.Second)
					require.Equal(t, want, second.Verdict, second.Reason)
				})
			})
		}
	}
}

// The first call is still running at a when the caller retries at a and at b. The retry
// must wait for the response of the first call and get it, even if the store is down.
func TestRetryJoinsTheRunningCall(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
			ticket := w.run(a)
			results := make(chan BeginResult, 2)
			for _, s := range []*Service{a, b} {
				go func() { results <- w.begin(s, 10*time.Second) }()
			}
			time.Sleep(3 * time.Second)
			synctest.Wait()
			require.Empty(t, results)
			if storeDown {
				w.store.SetFaults(down)
				require.ErrorIs(t, ticket.Finish(t.Context(), testResult), ErrQueued)
			} else {
				require.NoError(t, ticket.Finish(t.Context(), testResult))
			}
			for range 2 {
				begun := <-results
				require.Equal(t, Replay, begun.Verdict, begun.Reason)
				require.Equal(t, testResult.Body, begun.Result.Body)
			}
			require.Equal(t, Replay, w.begin(a, time.Second).Verdict, "known here, even if the store is down")
			w.store.SetFaults(emulator.Faults{})
			require.NoError(t, a.Drain(t.Context()))
			w.kill(a)
			require.Equal(t, Replay, w.begin(b, time.Second).Verdict, "the outcome outlives its instance")
		})
	}
}

// The instance fails while the work is running. Whether the work was completed can't be
// determined, so every retry must get "unknown", without a wait.
func TestClaimantFailsWhileRunning(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		w.run(a)
		w.kill(a)
		// Another incarnation responds at the same address, and has abandoned an
		// attempt of the same key with the same number.
		next := New(Options{Owner: claim.Owner{Instance: "a", Incarnation: 2}})
		_, err := next.tracker.joinOrOpen(testKey.ID(), testBody, 1, time.Now())
		require.NoError(t, err)
		require.NoError(t, next.tracker.abandon(testKey.ID(), 1, true, time.Now()))
		w.services[a.opts.Owner] = next
		for range 3 {
			require.Equal(t, Unknown, w.begin(b, time.Second).Verdict)
			time.Sleep(time.Minute)
		}
	})
}

// The deadline passes while the first call of the key is running. "Not run" would be wrong
// both on the same instance and on another one.
func TestJoinPastTheDeadlineIsUnknown(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		w.run(a)
		require.Equal(t, Unknown, w.begin(a, time.Second).Verdict)
		require.Equal(t, Unknown, w.begin(b, time.Second).Verdict)
	})
}

// Admission refuses the call after its claim was created. A retry must run, even if the
// claimant has failed meanwhile. A dispatch under the abandoned claim must fail.
func TestAbandonedClaimRunsOnRetry(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		first := w.begin(a, time.Second)
		require.NoError(t, first.Ticket.Abandon(t.Context()))
		require.ErrorIs(t, first.Ticket.MarkDispatched(), claim.ErrClosed)
		second := w.begin(b, time.Second)
		require.Equal(t, Run, second.Verdict)
		require.NoError(t, second.Ticket.Abandon(t.Context()))
		time.Sleep(time.Second)
		w.kill(b)
		require.Equal(t, Run, w.begin(a, time.Second).Verdict, "the abandonment is in the store")
	})
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		require.NoError(t, w.run(a).Finish(t.Context(), StoredResult{Outcome: claim.OutcomeNotRun, Status: 503}))
		w.kill(a)
		require.Equal(t, Run, w.begin(b, time.Second).Verdict, "every dispatched stage was known not to have started")
	})
}

// The process is paused for longer than the dispatch window after it created a claim. The
// claim may have been removed by then, so the process must not dispatch work under it.
func TestLateDispatchIsRefused(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, _ *Service) {
		first := w.begin(a, time.Second)
		time.Sleep(2 * time.Hour)
		require.ErrorIs(t, first.Ticket.MarkDispatched(), claim.ErrWindowExpired)
	})
}

func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		ticket := w.run(a)
		for range 2 {
			for _, s := range []*Service{a, b} {
				begun, err := s.Begin(t.Context(), testKey, [32]byte{2})
				require.NoError(t, err)
				require.Equal(t, Conflict, begun.Verdict)
			}
			_ = ticket.Finish(t.Context(), testResult)
		}
		_, err := a.Begin(t.Context(), Key{Account: "periyar"}, testBody)
		require.Error(t, err, "no key")
	})
}

func TestLongBodyIsStoredAsDigest(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		whole, long := testResult, testResult
		whole.Body, long.Body = make([]byte, claim.MaxBodyBytes), make([]byte, claim.MaxBodyBytes+1)
		require.NoError(t, w.run(a).Finish(t.Context(), long))
		replayed := w.begin(b, time.Second).Result
		require.False(t, replayed.Complete())
		require.Equal(t, claim.MaxBodyBytes+1, replayed.BodyLength)
		require.Equal(t, long.ForStorage().BodyDigest, replayed.BodyDigest)
		ticket, err := a.Begin(t.Context(), Key{IdempotencyKey: "other"}, testBody)
		require.NoError(t, err)
		require.NoError(t, ticket.Ticket.Finish(t.Context(), whole), "the longest body fits the store")
	})
}

func TestRetentionEnds(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, b *Service) {
		require.NoError(t, w.run(a).Finish(t.Context(), testResult))
		time.Sleep(50 * time.Minute)
		_, err := a.Begin(t.Context(), Key{IdempotencyKey: "later"}, testBody)
		require.NoError(t, err, "a later change, because the list may miss the latest one")
		require.Equal(t, Replay, w.begin(b, time.Second).Verdict)
		time.Sleep(20 * time.Minute)
		require.Equal(t, Run, w.begin(b, time.Second).Verdict)
	})
}

// The number of open claims is bounded, and so are the number and the bytes of the writes
// that wait for the store.
func TestOpenClaimsAreBounded(t *testing.T) {
	inCluster(t, func(t *testing.T, w *testCluster, a, _ *Service) {
		limits := claim.TrackerLimits{MaxOpen: 0}
		for i := range a.tracker.shards {
			a.tracker.shards[i].tracker = claim.NewTracker(limits)
		}
		require.Equal(t, NotRun, w.begin(a, time.Second).Verdict)
	})
	q := newWriteQueue(2, 10)
	long := recordWrite{record: claim.Record{Result: &StoredResult{Body: make([]byte, 9)}}}
	require.True(t, q.push(long))
	require.False(t, q.push(long), "bytes are bounded")
	require.True(t, q.push(recordWrite{}))
	require.False(t, q.push(recordWrite{}), "writes are bounded")
}
