package platform_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// TestFaults makes each kind of call under each fault. The object's spec changes from
// 1 to 2 at revision 2, then the fault begins, and a write tries to set it to 3.
func TestFaults(t *testing.T) {
	const (
		at2, at3 = "2", "3"
		lateMS   = 5000
	)
	for name, c := range map[string]struct {
		faults             emulator.Faults
		read, write, watch string
		readSpec           string // the spec that a successful read returns
		events             int    // number of events of a successful watch from revision 1
		specAfterWrite     string // the stored spec right after the write
		specAtEnd          string // the stored spec after the delay of a late write
	}{
		"none":             {emulator.Faults{}, "done", "done", "done", at2, 2, at3, at3},
		"slow":             {emulator.Faults{LatencyMS: 900}, "done", "done", "done", at2, 2, at3, at3},
		"too slow":         {emulator.Faults{LatencyMS: 60000}, "nothing done", "unknown", "nothing done", "", 0, at2, at2},
		"refused":          {emulator.Faults{Down: emulator.FailRefuse}, "nothing done", "nothing done", "nothing done", "", 0, at2, at2},
		"reset":            {emulator.Faults{Down: emulator.FailReset}, "nothing done", "unknown", "nothing done", "", 0, at2, at2},
		"silent":           {emulator.Faults{Down: emulator.FailSilence}, "nothing done", "unknown", "nothing done", "", 0, at2, at2},
		"others refused":   {emulator.Faults{Down: emulator.FailRefuse, Instances: []string{"i2"}}, "done", "done", "done", at2, 2, at3, at3},
		"writes refused":   {emulator.Faults{Down: emulator.FailRefuse, Calls: []emulator.CallKind{emulator.CallWrite}}, "done", "nothing done", "done", at2, 1, at2, at2},
		"answer lost":      {emulator.Faults{LoseWrites: 1}, "done", "unknown", "done", at2, 2, at3, at3},
		"answer silent":    {emulator.Faults{LoseWrites: 1, LoseBy: emulator.FailSilence}, "done", "unknown", "done", at2, 2, at3, at3},
		"all answers lost": {emulator.Faults{LoseShare: 1}, "done", "unknown", "done", at2, 2, at3, at3},
		"applied late":     {emulator.Faults{LoseWrites: 1, ApplyAfterMS: lateMS}, "done", "unknown", "done", at2, 1, at2, at3},
		"stale":            {emulator.Faults{StaleBy: 1}, "done", "done", "done", "1", 2, at3, at3},
		"watch muted":      {emulator.Faults{MuteWatches: true}, "done", "done", "done", at2, 0, at3, at3},
		"event skipped":    {emulator.Faults{SkipEvents: 1}, "done", "done", "done", at2, 1, at3, at3},
		"history dropped":  {emulator.Faults{DropHistory: true}, "done", "done", "compacted", at2, 0, at3, at3},
	} {
		t.Run(name, func(t *testing.T) {
			eachStore(t, func(t *testing.T, e *emulator.Store, s platform.Store) {
				storedSpec := func() string {
					faults := e.Faults()
					e.SetFaults(emulator.Faults{})
					defer e.SetFaults(faults)
					o, err := e.Local("").Get(t.Context(), kind, "a")
					require.NoError(t, err)
					return string(o.Spec)
				}
				_, err := e.Local("").Create(t.Context(), kind, object("a", "1"))
				require.NoError(t, err)
				_, err = e.Local("").Update(t.Context(), kind, object("a", "2"))
				require.NoError(t, err)
				e.SetFaults(c.faults)

				o, err := s.Get(t.Context(), kind, "a")
				require.Equal(t, c.read, class(err))
				if err == nil {
					require.Equal(t, c.readSpec, string(o.Spec))
				}
				_, err = s.Update(t.Context(), kind, object("a", "3"))
				require.Equal(t, c.write, class(err))
				require.Equal(t, c.specAfterWrite, storedSpec())
				w, err := s.Watch(t.Context(), []string{kind}, 1, time.Second)
				require.Equal(t, c.watch, class(err))
				require.Len(t, w.Events, c.events)
				time.Sleep(lateMS * time.Millisecond) // virtual
				synctest.Wait()
				require.Equal(t, c.specAtEnd, storedSpec())
			})
		})
	}
}

// TestOutageBreaksWaitingWatch stops the platform while a watch waits. The watch must
// end immediately instead of at the end of its wait.
func TestOutageBreaksWaitingWatch(t *testing.T) {
	eachStore(t, func(t *testing.T, e *emulator.Store, s platform.Store) {
		ended := make(chan error, 1)
		go func() {
			_, err := s.Watch(t.Context(), []string{kind}, 0, time.Minute)
			ended <- err
		}()
		synctest.Wait()
		e.SetFaults(emulator.Faults{Down: emulator.FailReset})
		synctest.Wait()
		require.Equal(t, "nothing done", class(<-ended))
	})
}

// TestSkippedEvent drops the first event of a waiting watch. The watch must continue to
// wait, and return the next event without the dropped one.
func TestSkippedEvent(t *testing.T) {
	eachStore(t, func(t *testing.T, e *emulator.Store, s platform.Store) {
		e.SetFaults(emulator.Faults{SkipEvents: 1})
		seen := make(chan platformapi.WatchResponse, 1)
		go func() {
			watch, _ := s.Watch(t.Context(), []string{kind}, 0, time.Minute)
			seen <- watch
		}()
		for _, name := range []string{"a", "b"} {
			synctest.Wait()
			_, err := e.Local("").Create(t.Context(), kind, object(name, "1"))
			require.NoError(t, err)
		}
		watch := <-seen
		require.Len(t, watch.Events, 1)
		require.Equal(t, "b", watch.Events[0].Object.Metadata.Name)
	})
}

// TestRateLimits checks that the limits apply to all callers together, and that a call
// above them is refused without any effect, with the time after which to retry.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := emulator.New(emulator.Options{WritesPerSecond: 20, ReadsPerSecond: 10})
		refused := 0
		for _, name := range []string{"a", "b", "c"} {
			_, err := e.Local(name).Create(t.Context(), kind, object(name, "1"))
			if class(err) == "nothing done" {
				refused++
			}
		}
		require.Equal(t, 1, refused)
		_, err := e.Local("a").Watch(t.Context(), []string{kind}, 0, 0)
		require.NoError(t, err)
		_, err = e.Local("b").Get(t.Context(), kind, "a")
		var unavailable *platform.UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.Equal(t, time.Second, unavailable.RetryAfter)
		require.EqualValues(t, 2, e.Calls().Limited)
		require.EqualValues(t, 3, e.Calls().Kinds[kind].Writes)
	})
}

// TestSilentConnections makes every open connection permanently silent while new ones
// work, as if a middlebox had dropped their state. Only one call may time out: if the
// idle connections weren't closed, one more call would fail on each of them.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := emulator.New(emulator.Options{})
		client, network := serve(t, e.Handler())
		e.SetFaults(emulator.Faults{LatencyMS: 10})
		for range 3 { // three concurrent calls leave three idle connections
			go func() { _, _ = client.List(t.Context(), kind) }()
		}
		time.Sleep(timeout) // virtual
		synctest.Wait()
		require.EqualValues(t, 3, network.dials.Load())
		network.silenceOpenConns()

		start := time.Now()
		_, err := client.Create(t.Context(), kind, object("a", "1"))
		require.Equal(t, "unknown", class(err))
		require.Equal(t, timeout, time.Since(start))
		_, err = client.List(t.Context(), kind)
		require.NoError(t, err)
		require.EqualValues(t, 4, network.dials.Load())
	})
}

// TestSilentWatch sends a watch on a connection that has gone silent, so that no change
// ever arrives. The watch must end soon after its wait with an error, or the instance
// would never see another change.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := emulator.New(emulator.Options{})
		client, network := serve(t, e.Handler())
		_, err := client.List(t.Context(), kind)
		require.NoError(t, err)
		network.silenceOpenConns()
		start := time.Now()
		_, err = client.Watch(t.Context(), []string{kind}, 0, 20*time.Second)
		require.Equal(t, "nothing done", class(err))
		require.Equal(t, 20*time.Second+timeout, time.Since(start))
	})
}

// TestShortDeadlines checks calls to a silent platform whose callers all give up before
// the client's timeout. They must count as an outage, unless the callers give up almost
// immediately.
func TestShortDeadlines(t *testing.T) {
	for _, c := range []struct {
		deadline time.Duration
		sent     uint64
	}{{timeout / 2, 3}, {timeout / 100, 10}} {
		synctest.Test(t, func(t *testing.T) {
			e := emulator.New(emulator.Options{})
			client, _ := serve(t, e.Handler())
			e.SetFaults(emulator.Faults{Down: emulator.FailSilence})
			for range 10 {
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				_, err := client.Get(ctx, kind, "a")
				require.Equal(t, "nothing done", class(err))
				cancel()
			}
			require.Equal(t, c.sent, e.Calls().Reads)
		})
	}
}

// TestNoConnection checks that a write without a connection counts as not done. With an
// unknown effect, the caller would read back an object that can't exist.
func TestNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, network := serve(t, http.NotFoundHandler())
		network.refusing.Store(true)
		_, err := client.Update(t.Context(), kind, object("secret-key", "1"))
		require.Equal(t, "nothing done", class(err))
		require.NotContains(t, err.Error(), "secret-key")
		require.Contains(t, err.Error(), "update accounts at http://platform")
	})
}

// TestStatuses checks that only the refusals named in the contract mean that a write
// wasn't done. A redirect must not be followed: it would send the write twice.
func TestStatuses(t *testing.T) {
	for status, want := range map[int]string{
		200: "done", 307: "unknown", 400: "refused", 403: "refused", 404: "not found", 408: "unknown", 409: "conflict",
		410: "compacted", 413: "too large", 429: "nothing done", 500: "unknown", 502: "unknown", 503: "nothing done", 504: "unknown",
	} {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			client, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Location", "/elsewhere")
				if r.URL.Path != "/elsewhere" {
					w.WriteHeader(status)
				}
				_, _ = w.Write([]byte("{}"))
			}))
			_, err := client.Update(t.Context(), kind, object("a", "1"))
			require.Equal(t, want, class(err), "status %d", status)
			require.Equal(t, 1, calls)
		})
	}
}

// TestExcessiveRetryAfterIsBounded has a proxy in front of the platform return 429 or
// 503 with a Retry-After of years, or of more than a duration can hold. Without a bound,
// no record would reach the instance until it is replaced, or the overflow would end its
// process. Calls must be sent again within minutes.
func TestExcessiveRetryAfterIsBounded(t *testing.T) {
	for _, status := range []int{429, 503} {
		for _, seconds := range []string{"1000000000", "9300000000", "99999999999999999999"} {
			synctest.Test(t, func(t *testing.T) {
				var healthy atomic.Bool
				client, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if !healthy.Load() {
						w.Header().Set("Retry-After", seconds)
						w.WriteHeader(status)
					}
					_, _ = w.Write([]byte("{}"))
				}))
				for range 4 {
					_, err := client.Get(t.Context(), kind, "a")
					require.Equal(t, "nothing done", class(err))
				}
				healthy.Store(true)
				time.Sleep(2 * time.Minute) // virtual
				_, err := client.Get(t.Context(), kind, "a")
				require.NoError(t, err, "%d, %s s", status, seconds)
			})
		}
	}
}

// TestChangeBetweenPages changes an object while its kind is listed, after the page with
// the object was read. A watch from the revision of the last page would miss the change,
// and the instance would keep the old object. The list must have the revision of the first
// page.
func TestChangeBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			page := `{"revision":5,"next":"a"}`
			if r.URL.Query().Get("after") == "a" {
				page = `{"revision":9}`
			}
			_, _ = w.Write([]byte(page))
		}))
		all, err := client.List(t.Context(), kind)
		require.NoError(t, err)
		require.EqualValues(t, 5, all.Revision)
	})
}

// TestTruncatedResponse checks that the effect of a write is unknown if its response is
// truncated JSON.
func TestTruncatedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"metadata":`))
		}))
		_, err := client.Update(t.Context(), kind, object("a", "1"))
		require.Equal(t, "unknown", class(err))
		_, err = client.Get(t.Context(), kind, "a")
		require.Equal(t, "nothing done", class(err))
	})
}

// TestRecoveryFromOutage checks that after failures calls are refused immediately without
// being sent, until a single one is sent as a probe. Here the probe is a watch: if it
// waited for changes, all other calls would be held back for that time.
func TestRecoveryFromOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := emulator.New(emulator.Options{})
		client, _ := serve(t, e.Handler())
		e.SetFaults(emulator.Faults{Down: emulator.FailRefuse})
		for range 10 {
			_, err := client.Get(t.Context(), platformapi.KindTiers, "a")
			require.Equal(t, "nothing done", class(err))
		}
		require.EqualValues(t, 3, e.Calls().Reads)
		require.Equal(t, platform.Stats{Sent: 3, Failed: 3, NotAdmitted: 7, Outage: true}, client.Budget().Stats())
		reads, writes := client.Budget().ClassStats(platform.ClassRead), client.Budget().ClassStats(platform.ClassWrite)
		require.Equal(t, [3]uint64{3, 3, 7}, [3]uint64{reads.Sent, reads.Failed, reads.NotAdmitted})
		require.Equal(t, platform.ClassStats{Rate: 10_000}, writes, "the rate that the test client sets")
		e.SetFaults(emulator.Faults{})
		time.Sleep(5 * time.Second) // virtual
		start := time.Now()
		_, err := client.Watch(t.Context(), []string{kind}, 0, time.Minute)
		require.NoError(t, err)
		require.Zero(t, time.Since(start))
		_, err = client.List(t.Context(), kind)
		require.NoError(t, err)
	})
}

// Guards against a status that HTTP doesn't define, which is taken for a refusal or a success of a write.
func TestUndefinedStatusLeavesTheEffectUnknown(t *testing.T) {
	for _, status := range []int{0, 99, 600, 999} {
		var unknown *platform.UnknownEffectError
		require.ErrorAs(t, platform.StatusError(platform.Call{Write: true}, status, 0, nil), &unknown, "%d", status)
	}
}
