package claims

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// pageRecorder records the size of the largest page that was read.
type pageRecorder struct {
	*emulator.Local
	largest int
}

func (s *pageRecorder) ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error) {
	page, err := s.Local.ListStalePage(ctx, kind, after, limit)
	s.largest = max(s.largest, len(page.Items))
	return page, err
}

// Many instances run for days with some hundreds of claims. The number of reads of the
// store must not grow with the number of instances. Claims past their retention must be
// removed even if the sweeper changes, and no instance may hold all claims at once.
func TestOneInstanceSweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const old, instances = 250, 5
		world := emulator.New(emulator.Options{})
		store := &pageRecorder{Local: world.Local("x")}
		objects := NewObjectStorage(store)
		create := func(id string, at time.Time) {
			r := claim.Record{CreatedAt: at}
			require.IsType(t, claim.Written{}, objects.Create(t.Context(), Key{IdempotencyKey: id}.ID(), r))
			time.Sleep(10 * time.Millisecond) // keeps to the store's limit of calls
		}
		for i := range old {
			create(fmt.Sprint(i), time.Now().Add(-25*time.Hour))
		}
		create("new", time.Now())
		var sweeper atomic.Int64
		sweeper.Store(-1)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range instances {
			service := New(Options{Storage: objects, Now: time.Now, IsSweeper: func() bool { return sweeper.Load() == int64(i) }})
			go func() { _ = service.Run(ctx) }()
		}
		reads := func() uint64 { return world.Calls().Kinds[platformapi.KindClaims].Reads }
		before := reads()
		time.Sleep(time.Hour)
		require.Equal(t, before, reads(), "no instance is the sweeper")
		sweeper.Store(0)
		time.Sleep(DefaultSweepInterval + 5*time.Second)
		sweeper.Store(1) // the sweeper changes, possibly during a sweep
		time.Sleep(2 * time.Hour)
		left, err := world.Local("y").List(ctx, platformapi.KindClaims)
		require.NoError(t, err)
		require.Len(t, left.Items, 1)
		require.LessOrEqual(t, store.largest, sweepPageSize)
		passes := uint64(2*time.Hour/(DefaultSweepInterval/2)) + 2
		require.LessOrEqual(t, reads()-before, passes+2*(old/sweepPageSize+1))
		cancel()
		synctest.Wait()
	})
}
