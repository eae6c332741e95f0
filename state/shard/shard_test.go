package shard

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Evicting the wrong entry would reset a budget in use, and evicting none would
// let the memory grow. The model is a list in order of writing.
func TestMapEvictsOldest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		m := NewMap[int, int](1, capacity)
		var order []int
		values := map[int]int{}
		drop := func(key int) {
			order = slices.DeleteFunc(order, func(k int) bool { return k == key })
			delete(values, key)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.IntRange(0, 9).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				_, existed := values[key]
				m.Update(key, func(v *int, had bool) {
					require.Equal(t, existed, had)
					*v += step
				})
				old := values[key]
				drop(key)
				if len(order) == capacity {
					drop(order[0])
				}
				order, values[key] = append(order, key), old+step
			case 1:
				_, existed := values[key]
				require.Equal(t, existed, m.Delete(key))
				drop(key)
			case 2:
				v, ok := m.Get(key)
				want, existed := values[key]
				require.Equal(t, existed, ok)
				require.Equal(t, want, v)
			case 3:
				m.DeleteFunc(func(k int, _ *int) bool { return k%3 == key%3 })
				for _, k := range slices.Clone(order) {
					if k%3 == key%3 {
						drop(k)
					}
				}
			}
			require.Equal(t, len(values), m.Len())
		}
	})
}

// Many cores update the same keys at once. With a lost update, a budget would be
// spent twice.
func TestConcurrentUse(t *testing.T) {
	const workers, rounds, keys = 8, 2000, 16
	m := NewMap[int, int](4, 1024)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range rounds {
				m.Update(i%keys, func(v *int, _ bool) { *v++ })
				m.Get(i)
				m.Len()
			}
		})
	}
	wg.Wait()
	sum := 0
	for k := range keys {
		v, _ := m.Get(k)
		sum += v
	}
	require.Equal(t, workers*rounds, sum)
}

func BenchmarkMapUpdate(b *testing.B) {
	m := NewMap[string, int](16, 4096)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Update("account", func(v *int, _ bool) { *v++ })
		}
	})
}
