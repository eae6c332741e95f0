package confsync_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// An operator reads the verdict on a record. It is written once by one
// instance: neither the write itself, nor lists, nor a new writer may answer it
// by further writes, which would take the store's writes from the claims.
func TestEachVerdictIsWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(1)
		var writer atomic.Int64
		for i := 1; i < 4; i++ {
			f.add(func(s platform.Store) platform.Store {
				return observedStore{s, func(error) { assert.Equal(t, int64(i), writer.Load(), "only one instance writes") }}
			})
		}
		const many = 1000
		for i := range many {
			f.write("accounts", fmt.Sprint("a", i), accountSpec("gold", i+1))
			f.advance(10 * time.Millisecond)
		}
		f.advance(time.Minute)
		assert.Equal(t, many, f.statusWrites("accounts"))
		f.instances[0].kill()
		writer.Store(1)
		f.advance(time.Minute)
		f.add(nil)
		f.advance(time.Minute)
		assert.Equal(t, many, f.statusWrites("accounts"), "after a change of the writer")
		f.write("tiers", "gold", tierSpec(700))
		f.advance(time.Minute)
		assert.Equal(t, many, f.statusWrites("accounts"), "after a change of a tier that all use")
	})
}

// A refused record must say why, and what it left in force must outlive every
// instance: one that starts alone, with the store as its only source, goes on
// serving the accepted version.
func TestARefusedRecordKeepsItsAcceptedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.write("accounts", "demo", accountSpec("gold", 1))
		f.addN(3)
		f.advance(inForceBound)
		f.write("accounts", "demo", accountSpec("ruby", 1))
		f.advance(inForceBound)
		status, state := f.status("accounts", "demo")
		assert.Equal(t, record.StateRefused, state)
		assert.Contains(t, status.Reason, "tier ruby does not exist")
		assert.NotNil(t, status.LastAccepted)
		for _, in := range f.instances {
			in.kill()
		}
		alone := f.add(nil)
		f.advance(inForceBound)
		account, ok := alone.sync.Snapshot().Accounts.Get("demo")
		require.True(t, ok)
		assert.Equal(t, "gold", account.Tier)
	})
}

// The writer dies, or loses the store, right after a change: its successor
// finds that the status is missing and writes it.
func TestTheNextWriterWritesWhatIsMissing(t *testing.T) {
	cases := map[string]func(f *fleet){
		"killed":            func(f *fleet) { f.instances[0].kill() },
		"loses all answers": func(f *fleet) { f.store.SetFaults(emulator.Faults{LoseWrites: 5}) },
		"writes refused for a while": func(f *fleet) {
			f.store.SetFaults(emulator.Faults{Calls: []emulator.CallKind{emulator.CallWrite}, Instances: []string{"i0"}, Down: emulator.FailRefuse})
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.addN(4)
				f.write("tiers", "gold", tierSpec(700))
				synctest.Wait() // all have judged, nothing is written yet
				fail(f)
				f.advance(inForceBound)
				f.store.SetFaults(emulator.Faults{})
				f.advance(2 * inForceBound)
				_, state := f.status("tiers", "gold")
				assert.Equal(t, record.StateAccepted, state)
				assert.LessOrEqual(t, f.statusWrites("tiers"), 5, "a storm")
			})
		})
	}
}

// racingStore tells of each write of a status, before and after.
type observedStore struct {
	platform.Store
	onWrite func(err error)
}

var errNotYetWritten = errors.New("not yet written")

func (r observedStore) UpdateStatus(ctx context.Context, kind string, o platformapi.Object) (*platformapi.Object, error) {
	r.onWrite(errNotYetWritten)
	written, err := r.Store.UpdateStatus(ctx, kind, o)
	r.onWrite(err)
	return written, err
}

// An operator replaces a bad spec by a good one while the refusal of the bad
// one is being written. That write must fail, and the good spec get its own.
func TestASpecChangeBeatsTheStatusOfTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		good, raced := false, []error{}
		f.add(func(s platform.Store) platform.Store {
			return observedStore{s, func(err error) {
				_, missing := f.ops.Get(t.Context(), "accounts", "demo")
				if missing == nil && err == errNotYetWritten && !good {
					good = true
					f.write("accounts", "demo", accountSpec("gold", 2))
				} else if good && err != errNotYetWritten {
					raced = append(raced, err)
				}
			}}
		})
		f.advance(inForceBound)
		f.write("accounts", "demo", accountSpec("ruby", 1))
		f.advance(2 * inForceBound)
		var conflict *platform.ConflictError
		require.Len(t, raced, 2)
		assert.ErrorAs(t, raced[0], &conflict)
		assert.NoError(t, raced[1])
		status, state := f.status("accounts", "demo")
		assert.Equal(t, record.StateAccepted, state, status.Reason)
	})
}

// Two operators write at once: one makes a tier faster, one a pipeline slower.
// Each fits alone. Instances that hear of them in another order judge them
// differently, and each would keep to its own judgement for ever.
func TestRecordsThatFitOnlySinglyEndTheSameEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.write("pipelines", "chat.v1", pipelineSpec(100))
		f.addN(4)
		f.advance(inForceBound)
		apart := f.instances[3]
		apart.set(func() { apart.partitioned = true })
		f.store.SetFaults(emulator.Faults{Instances: []string{apart.name}, Down: emulator.FailRefuse})
		f.write("tiers", "gold", tierSpec(300))
		f.advance(inForceBound)
		revision := f.write("pipelines", "chat.v1", pipelineSpec(800))
		first := config.LiveRecord(config.Key{Kind: "pipelines", Name: "chat.v1"}, revision, []byte(pipelineSpec(800)))
		body, err := configwire.EncodeRecord(first)
		require.NoError(t, err)
		apart.receive(spread.Record{Kind: "pipelines", Name: "chat.v1", Revision: revision, Body: body})
		f.advance(inForceBound)
		assert.Equal(t, int64(900), apart.deadline(), "it has not heard of the tier")

		f.store.SetFaults(emulator.Faults{})
		apart.set(func() { apart.partitioned = false })
		for _, key := range [][2]string{{"tiers", "gold"}, {"pipelines", "chat.v1"}} {
			r, ok := f.instances[0].table.Get(key[0], key[1])
			require.True(t, ok)
			apart.receive(r)
		}
		f.advance(inForceBound)
		for _, in := range f.instances {
			p, ok := in.sync.Snapshot().Pipeline("chat", 1)
			require.True(t, ok)
			assert.Equal(t, 800*time.Millisecond, p.CriticalPath(), in.name)
			assert.Equal(t, int64(300), in.deadline(), in.name)
			assert.True(t, in.sync.Digest().Same(apart.sync.Digest()), in.name)
		}
	})
}
