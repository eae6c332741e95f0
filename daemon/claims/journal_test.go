package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

func testID(i int) claim.ID { return Key{IdempotencyKey: fmt.Sprint(i)}.ID() }

// Two instances write one journal at the same time and claim the same keys, while writes
// are lost, delayed or refused and the journal is sealed into segments. Only the
// conditional update may decide: if a writer relied on its stale view, a key would be
// claimed twice.
func TestTwoWritersOfOneJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.New(emulator.Options{WritesPerSecond: 200, ReadsPerSecond: 1e6, Seed: 7})
		store.SetFaults(emulator.Faults{LoseShare: 0.1, ApplyAfterMS: 500, LatencyMS: 4})
		writers := []*JournalStorage{newSmallJournal(store, "a"), newSmallJournal(store, "b")}
		const keys = 700
		var mu sync.Mutex
		written := make(map[int]int)
		var group sync.WaitGroup
		for n, w := range writers {
			for i := range keys {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 4 * time.Millisecond) // virtual
					token := claim.Token{Attempt: uint64(n + 1)}
					e := w.Create(t.Context(), testID(i), claim.Record{Token: token, CreatedAt: time.Now()})
					if _, ok := e.(claim.Written); ok {
						mu.Lock()
						written[i]++
						mu.Unlock()
					}
				})
			}
		}
		group.Wait()
		store.SetFaults(emulator.Faults{})
		time.Sleep(time.Minute) // virtual: delayed writes have been applied
		segments, err := store.Local("c").List(t.Context(), platformapi.KindClaims)
		require.NoError(t, err)
		require.Greater(t, len(segments.Items), 3, "the journal has been sealed")
		late := newSmallJournal(store, "c")
		for i, times := range written {
			if times != 1 {
				t.Errorf("key %d claimed %d times", i, times)
			}
			group.Go(func() {
				e := late.Create(t.Context(), testID(i), claim.Record{Token: claim.Token{Attempt: 3}})
				if _, ok := e.(claim.Exists); !ok {
					t.Errorf("claim %d lost: %T", i, e)
				}
			})
		}
		group.Wait()
	})
}

// newSmallJournal returns a journal of one shard whose head is sealed often.
func newSmallJournal(store *emulator.Store, instance string) *JournalStorage {
	j := NewJournalStorage(store.Local(instance), 1, time.Second, 0)
	j.shards[0].maxHeadBytes = 8 << 10
	return j
}

// A segment can't be read while an instance loads a journal. The key may be in it: if the
// segment counted as empty, the key would run again.
func TestUnreadableSegmentBlocksItsKeys(t *testing.T) {
	store := emulator.New(emulator.Options{}).Local("a")
	head := journalView{spec: journalSpec{Sealed: []sealedSegment{{Name: "missing"}}}}
	object, err := head.object("journal-0000", 0)
	require.NoError(t, err)
	_, err = store.Create(t.Context(), platformapi.KindClaims, object)
	require.NoError(t, err)
	journals := NewJournalStorage(store, 1, time.Second, 0)
	require.Equal(t, claim.StoreUnavailable{}, journals.Create(t.Context(), testID(1), claim.Record{}))
	require.Equal(t, claim.ReadFailed{}, journals.Get(t.Context(), testID(1)))
}

// loadResult is the result of one load on one storage form.
type loadResult struct {
	claimed, refused int
	writes           uint64
	p50, p99         time.Duration
}

var loadSeconds = flag.Int("load-seconds", 1, "virtual seconds of each load")

// offerLoad lets eight instances claim and finish perSecond keys per second for
// load-seconds of virtual time. route returns the instance that writes a key.
func offerLoad(t *testing.T, form func(Store) Storage, perSecond int, route func(key, instance int) int) loadResult {
	const instances = 8
	seconds := *loadSeconds
	store := emulator.New(emulator.Options{WritesPerSecond: 300, ReadsPerSecond: 2000, Seed: 3})
	store.SetFaults(emulator.Faults{LatencyMS: 4})
	var storages []Storage
	for i := range instances {
		storages = append(storages, form(store.Local(fmt.Sprint(i))))
	}
	var mu sync.Mutex
	var result loadResult
	var latencies []time.Duration
	var group sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range perSecond * seconds {
		at := time.Duration(rng.Int64N(int64(time.Duration(seconds) * time.Second)))
		writer := storages[route(i, rng.IntN(instances))]
		group.Go(func() {
			time.Sleep(at)
			began := time.Now()
			record := claim.Record{Token: claim.Token{Attempt: uint64(i)}, CreatedAt: began}
			e, ok := writer.Create(context.Background(), testID(i), record).(claim.Written)
			took := time.Since(began)
			if ok {
				record.Result = &testResult
				writer.Replace(context.Background(), testID(i), e.Revision, record)
			}
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				result.refused++
				return
			}
			result.claimed++
			latencies = append(latencies, took)
		})
	}
	group.Wait()
	slices.Sort(latencies)
	result.p50, result.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	result.writes = store.Calls().Kinds[platformapi.KindClaims].Writes
	return result
}

// TestStorageFormsWithin300Writes compares the storage forms under the platform's limit of
// 300 writes per second, in virtual time with 4 ms per call. With -v -load-seconds=10 it
// prints the figures of docs/design/claims.md.
func TestStorageFormsWithin300Writes(t *testing.T) {
	const shards = 8
	journals := func(s Store) Storage { return NewJournalStorage(s, shards, time.Second, 40*time.Millisecond) }
	eager := func(s Store) Storage { return NewJournalStorage(s, shards, time.Second, 0) }
	objects := func(s Store) Storage { return NewObjectStorage(s) }
	// toWriter sends each key to its shard's single writer. toAny is the worst case,
	// while the hint at the writer changes: every instance writes every journal.
	toWriter := func(key, _ int) int {
		id := testID(key)
		return (int(id[1])<<8 | int(id[2])) % shards
	}
	toAny := func(_, instance int) int { return instance }
	claimed := map[string]int{}
	for _, c := range []struct {
		name  string
		form  func(Store) Storage
		rate  int
		route func(key, instance int) int
	}{
		{"objects", objects, 100, toAny},
		{"objects", objects, 300, toAny},
		{"journals, no wait", eager, 300, toWriter},
		{"journals, hint right", journals, 100, toWriter},
		{"journals, hint right", journals, 300, toWriter},
		{"journals, hint right", journals, 1000, toWriter},
		{"journals, no hint", journals, 100, toAny},
		{"journals, no hint", journals, 300, toAny},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := offerLoad(t, c.form, c.rate, c.route)
			t.Logf("%-20s offered %4d/s: claimed %4d/s, refused %4d/s, writes %4d/s, claim p50 %v p99 %v",
				c.name, c.rate, r.claimed / *loadSeconds, r.refused / *loadSeconds, int(r.writes) / *loadSeconds, r.p50, r.p99)
			claimed[fmt.Sprint(c.name, c.rate)] = r.claimed
		})
	}
	require.Greater(t, claimed["journals, hint right300"], claimed["objects300"])
	require.Greater(t, claimed["objects100"], claimed["journals, no hint100"])
}
