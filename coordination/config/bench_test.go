package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

var sizes = []int{1_000, 10_000, 32_000}

func accountRecord(i int, revision uint64) config.Record {
	return record(fmt.Sprintf("accounts/a%d", i), revision, fmt.Sprintf("gold k%d", i))
}

func newSetWithAccounts(n int) *config.Set {
	set := newCompleteSet(baseRecords()...)
	records := make([]config.Record, n)
	for i := range records {
		records[i] = accountRecord(i, uint64(100+i))
	}
	set.Apply(records)
	return set
}

// BenchmarkApplyOne measures the change of one account, including the new snapshot.
func BenchmarkApplyOne(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := newSetWithAccounts(n)
			revision := uint64(1_000_000)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				set.Apply([]config.Record{accountRecord(int(revision)%n, revision)})
			}
		})
	}
}

// BenchmarkApplyTier measures a change of a tier that every account uses.
func BenchmarkApplyTier(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := newSetWithAccounts(n)
			revision := uint64(1_000_000)
			for b.Loop() {
				revision++
				set.Apply([]config.Record{record("tiers/gold", revision, "1000")})
			}
		})
	}
}

// BenchmarkBootstrap measures the first load of all records, and reports the memory
// used by each record held.
func BenchmarkBootstrap(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var set *config.Set
			for b.Loop() {
				set = newSetWithAccounts(n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(set.Len()), "B/record")
			runtime.KeepAlive(set)
		})
	}
}

// BenchmarkList measures a full list that changes nothing.
func BenchmarkList(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := newSetWithAccounts(n)
			records := make([]config.Record, n)
			for i := range records {
				records[i] = accountRecord(i, uint64(100+i))
			}
			asOf := uint64(1_000_000)
			for b.Loop() {
				asOf++
				set.ApplyList(catalog.RecordAccounts, records, asOf)
			}
		})
	}
}

// BenchmarkCopyAccounts compares the shared table with copying the maps of all
// accounts for each change.
func BenchmarkCopyAccounts(b *testing.B) {
	for _, n := range sizes {
		table := newSetWithAccounts(n).Snapshot().Accounts
		plain := map[string]*catalog.Account{}
		byKey := map[[32]byte]*catalog.Account{}
		for a := range table.All() {
			plain[a.Name], byKey[a.KeyHashes[0]] = a, a
		}
		one, _ := table.Get("a7")
		b.Run(fmt.Sprintf("table/%d", n), func(b *testing.B) {
			for b.Loop() {
				editor := table.Edit()
				editor.Put(one)
				editor.Table()
			}
		})
		b.Run(fmt.Sprintf("copy/%d", n), func(b *testing.B) {
			for b.Loop() {
				copied := make(map[string]*catalog.Account, n)
				for name, a := range plain {
					copied[name] = a
				}
				keys := make(map[[32]byte]*catalog.Account, n)
				for hash, a := range byKey {
					keys[hash] = a
				}
			}
		})
	}
}
