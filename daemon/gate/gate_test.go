package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func request(rank int) Request {
	return Request{Rank: rank, LatestStart: time.Now().Add(time.Hour)}
}

func acquire(t *testing.T, g *Gate, r Request) *Grant {
	grant, err := g.Acquire(t.Context(), r)
	require.NoError(t, err)
	return grant
}

func TestAcquireWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("engines", tiers.Config{}, 1, time.Now)
		first := acquire(t, g, request(0))
		order := make(chan int, 2)
		for _, rank := range []int{2, 1} {
			go func() {
				grant := acquire(t, g, request(rank))
				order <- rank
				grant.Release()
			}()
			synctest.Wait()
		}
		require.Empty(t, order)
		require.Equal(t, 2, g.Stats().Queued[1]+g.Stats().Queued[2])
		first.Release()
		first.Release() // a second call releases nothing
		synctest.Wait()
		require.Equal(t, []int{1, 2}, []int{<-order, <-order})
	})
}

func TestAcquireFails(t *testing.T) {
	tests := map[string]struct {
		run  func(t *testing.T, g *Gate) error
		want func(t *testing.T, err error)
	}{
		"with the context": {
			run: func(t *testing.T, g *Gate) error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := g.Acquire(ctx, request(0))
				return err
			},
			want: func(t *testing.T, err error) { require.ErrorIs(t, err, context.DeadlineExceeded) },
		},
		"past the latest start": {
			run: func(t *testing.T, g *Gate) error {
				ticker := time.AfterFunc(2*time.Second, g.Tick)
				defer ticker.Stop()
				_, err := g.Acquire(t.Context(), Request{LatestStart: time.Now().Add(time.Second)})
				require.Equal(t, map[tiers.Reason]uint64{tiers.ReasonTooLate: 1}, g.Refused())
				return err
			},
			want: func(t *testing.T, err error) {
				var refused *RefusedError
				require.True(t, errors.As(err, &refused))
				require.Equal(t, tiers.ReasonTooLate, refused.Reason)
				require.Equal(t, "engines", refused.Pool)
				require.Positive(t, refused.RetryAfter)
			},
		},
		"at once without waiting": {
			run: func(_ *testing.T, g *Gate) error {
				if _, ok := g.TryAcquire(request(0)); ok {
					return nil
				}
				return errors.New("no slot")
			},
			want: func(t *testing.T, err error) { require.Error(t, err) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New("engines", tiers.Config{}, 1, time.Now)
				held := acquire(t, g, request(0))
				tt.want(t, tt.run(t, g))
				held.Release()
				acquire(t, g, request(0)).Release()
				require.Zero(t, g.Stats().InFlight[0])
			})
		})
	}
}

func TestPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("engines", tiers.Config{Preempt: true}, 1, time.Now)
		warm := acquire(t, g, request(0))
		time.Sleep(8 * time.Second)
		warm.Release() // a slot is held for 8 s
		low := acquire(t, g, Request{Rank: 1, LatestStart: time.Now().Add(time.Hour), Resumable: true})
		time.Sleep(time.Second)
		g.SetPeers(tiers.PeerLoad{Instances: 1})
		g.SetCapacity(1)
		top := make(chan *Grant)
		go func() {
			grant, _ := g.Acquire(t.Context(), Request{LatestStart: time.Now().Add(time.Second)})
			top <- grant
		}()
		<-low.Preempted()
		low.Release()
		(<-top).Release()
	})
}

// A caller gives up at the moment its slot is granted. If neither side released the slot, the
// pool would permanently serve one request less each time, and finally none.
func TestNoSlotIsLost(t *testing.T) {
	const slots, callers, rounds = 3, 16, 300
	g := New("engines", tiers.Config{MaxQueued: 8}, slots, time.Now)
	var granted atomic.Int64
	var exceeded atomic.Bool
	var wg sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewPCG(uint64(c), 1))
		wg.Go(func() {
			for range rounds {
				ctx, cancel := context.WithCancel(t.Context())
				if rng.IntN(2) == 0 {
					go cancel()
				}
				grant, err := g.Acquire(ctx, request(rng.IntN(3)))
				if err == nil {
					if granted.Add(1) > slots {
						exceeded.Store(true)
					}
					granted.Add(-1)
					grant.Release()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.False(t, exceeded.Load(), "more grants than slots")
	stats := g.Stats()
	for r := range stats.Queued {
		require.Zero(t, stats.Queued[r]+stats.InFlight[r], "rank %d", r)
	}
	require.Empty(t, g.grants)
}

func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := NewGroup(GroupConfig{OvercommitOrdered: 1}, time.Now)
		_, err := group.Enter(t.Context(), "engines", request(0))
		var refused *RefusedError
		require.True(t, errors.As(err, &refused))
		require.Equal(t, ReasonNoCapacity, refused.Reason)
		require.EqualValues(t, 1, group.NoCapacity())
		group.SetCapacity("engines", 1, true)
		require.True(t, group.Open("engines"))
		grant, err := group.Enter(t.Context(), "engines", request(0))
		require.NoError(t, err)
		_, ok := group.TryEnter("engines", request(0))
		require.False(t, ok)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- group.Run(ctx) }()
		_, err = group.Enter(ctx, "engines", Request{LatestStart: time.Now().Add(time.Second)})
		require.True(t, errors.As(err, &refused))
		require.Equal(t, tiers.ReasonTooLate, refused.Reason)
		cancel()
		require.NoError(t, <-done)
		grant.Release()
	})
}

func BenchmarkAcquire(b *testing.B) {
	g := New("engines", tiers.Config{}, 1000, time.Now)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := Request{LatestStart: time.Now().Add(time.Hour)}
		for pb.Next() {
			if grant, err := g.Acquire(b.Context(), r); err == nil {
				grant.Release()
			}
		}
	})
}

// A stage is slow because its pool is full. Hedging each of its requests would add load to the
// pool and make other requests miss their deadlines.
func TestHedgesNeedSpareCapacity(t *testing.T) {
	group := NewGroup(GroupConfig{}, time.Now)
	group.SetCapacity("services", 10, false)
	for range 6 {
		_, err := group.Enter(t.Context(), "services", Request{LatestStart: time.Now().Add(time.Hour)})
		require.NoError(t, err)
	}
	request := Request{LatestStart: time.Now().Add(time.Hour)}
	_, ok := group.TryEnter("services", request)
	require.True(t, ok, "six of ten slots are in use")
	_, ok = group.TryEnter("services", request)
	require.False(t, ok, "seven of ten are")
	_, err := group.Enter(t.Context(), "services", request)
	require.NoError(t, err, "attempts other than hedges are still admitted")
}
