package target

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Checks after each of many random steps that no slot is used twice or left free
// while a call waits, that the queue stays within its limit, and that no waiting
// call precedes one that holds a slot.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scheduler{
			slots:      rapid.IntRange(1, 3).Draw(t, "slots"),
			queueLimit: rapid.IntRange(0, 3).Draw(t, "queue"),
			priorities: rapid.Bool().Draw(t, "priorities"),
			onChange:   func(int, int) {},
		}
		var present []*ticket
		for range 40 {
			if step := rapid.IntRange(0, 2).Draw(t, "step"); step == 0 || len(present) == 0 {
				next := newTicket(rapid.IntRange(0, 9).Draw(t, "priority"))
				if s.enter(next) {
					present = append(present, next)
				}
			} else {
				i := rapid.IntRange(0, len(present)-1).Draw(t, "ticket")
				s.leave(present[i])
				present = slices.Delete(present, i, i+1)
			}
			for _, holder := range slices.Clone(s.active) {
				<-holder.granted
				if !s.yield(holder) {
					holder.granted <- struct{}{}
				}
			}
			require.Len(t, s.active, min(s.slots, len(present)))
			require.Len(t, s.queue, len(present)-len(s.active))
			require.LessOrEqual(t, len(s.queue), s.queueLimit)
			for _, waiting := range s.queue {
				for _, holder := range s.active {
					require.True(t, s.precedes(holder, waiting), "a call waits behind one that comes after it")
				}
			}
		}
	})
}

// Checks that the cache stays within its capacity and that its events add up to its
// content.
func TestCacheProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reported := map[string]bool{}
		cache := newPrefixCache(100, func(part string, added bool) {
			require.NotEqual(t, reported[part], added)
			reported[part] = added
		})
		for range 30 {
			var prompt []targetapi.Part
			for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(1, 9), 1, 4, rapid.ID).Draw(t, "prompt") {
				prompt = append(prompt, targetapi.Part{ID: fmt.Sprint(id), Tokens: 15 * id})
			}
			all := 0
			for _, part := range prompt {
				all += part.Tokens
			}
			require.LessOrEqual(t, cache.uncachedTokens(prompt), all)
			cache.add(prompt)
			require.LessOrEqual(t, cache.tokens, cache.capacity)
			if all <= cache.capacity {
				require.Zero(t, cache.uncachedTokens(prompt))
			}
			for id, held := range reported {
				_, found := cache.find(id)
				require.Equal(t, held, found)
			}
		}
	})
}

func TestFaultsAreSeeded(t *testing.T) {
	draws := func(seed uint64) (hits []bool) {
		faults := newFaultSet(seed)
		faults.set([]Fault{{Kind: FaultGrey, Share: 0.5}})
		for range 64 {
			hits = append(hits, faults.sample().has(FaultGrey))
		}
		return hits
	}
	require.Equal(t, draws(1), draws(1))
	require.NotEqual(t, draws(1), draws(2))
}

func TestRunCounterIsBounded(t *testing.T) {
	counter := newRunCounter()
	for i := range maxCountedRequests + 1 {
		counter.count(fmt.Sprint(i), false)
	}
	report := counter.snapshot()
	require.Len(t, report.Runs, maxCountedRequests)
	require.NotContains(t, report.Runs, "0")
	require.Equal(t, maxCountedRequests+1, report.Started)
}
