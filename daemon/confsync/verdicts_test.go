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

// Each verdict is written once by one instance. Neither the write itself, nor lists, nor a
// new writer may cause further writes, which would use up the store's write capacity that
// claims need.
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

// The status of a refused record must have the reason and the accepted version, so that an
// instance that starts with the store as its only source serves the accepted version.
func TestRefusedRecordKeepsItsAcceptedVersion(t *testing.T) {
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

// The writer fails, or its writes to the store do, right after a change. The status that
// is missing must be written nevertheless, by its successor or by a retry.
func TestMissingVerdictIsWrittenAfterFaults(t *testing.T) {
	cases := map[string]func(f *fleet){
		"killed":              func(f *fleet) { f.instances[0].kill() },
		"loses all responses": func(f *fleet) { f.store.SetFaults(emulator.Faults{LoseWrites: 5}) },
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
				synctest.Wait() // all have evaluated the record, nothing is written yet
				fail(f)
				f.advance(inForceBound)
				f.store.SetFaults(emulator.Faults{})
				f.advance(2 * inForceBound)
				_, state := f.status("tiers", "gold")
				assert.Equal(t, record.StateAccepted, state)
				assert.LessOrEqual(t, f.statusWrites("tiers"), 5, "writes must not repeat without limit")
			})
		})
	}
}

// observedStore calls onWrite before each write of a status, with errNotYetWritten, and after
// it, with its result.
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

// An operator replaces an invalid spec with a valid one while the refusal of the invalid
// one is being written. That write must fail, and the valid spec must get its own verdict.
func TestSpecChangeDuringStatusWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		replaced, results := false, []error{}
		f.add(func(s platform.Store) platform.Store {
			return observedStore{s, func(err error) {
				_, readErr := f.ops.Get(t.Context(), "accounts", "demo")
				if readErr == nil && err == errNotYetWritten && !replaced {
					replaced = true
					f.write("accounts", "demo", accountSpec("gold", 2))
				} else if replaced && err != errNotYetWritten {
					results = append(results, err)
				}
			}}
		})
		f.advance(inForceBound)
		f.write("accounts", "demo", accountSpec("ruby", 1))
		f.advance(2 * inForceBound)
		var conflict *platform.ConflictError
		require.Len(t, results, 2)
		assert.ErrorAs(t, results[0], &conflict)
		assert.NoError(t, results[1])
		status, state := f.status("accounts", "demo")
		assert.Equal(t, record.StateAccepted, state, status.Reason)
	})
}

// Two operators write at the same time: one shortens a tier's deadline, one makes a
// pipeline slower. Each record is valid only without the other, so instances that receive
// them in different orders accept different ones. They must converge.
func TestConflictingRecordsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.write("pipelines", "chat.v1", pipelineSpec(100))
		f.addN(4)
		f.advance(inForceBound)
		separated := f.instances[3]
		separated.set(func() { separated.partitioned = true })
		f.store.SetFaults(emulator.Faults{Instances: []string{separated.name}, Down: emulator.FailRefuse})
		f.write("tiers", "gold", tierSpec(300))
		f.advance(inForceBound)
		revision := f.write("pipelines", "chat.v1", pipelineSpec(800))
		first := config.LiveRecord(config.Key{Kind: "pipelines", Name: "chat.v1"}, revision, []byte(pipelineSpec(800)))
		body, err := configwire.EncodeRecord(first)
		require.NoError(t, err)
		separated.receive(spread.Record{Kind: "pipelines", Name: "chat.v1", Revision: revision, Body: body})
		f.advance(inForceBound)
		assert.Equal(t, int64(900), separated.deadline(), "it has not received the tier")

		f.store.SetFaults(emulator.Faults{})
		separated.set(func() { separated.partitioned = false })
		for _, key := range [][2]string{{"tiers", "gold"}, {"pipelines", "chat.v1"}} {
			r, ok := f.instances[0].table.Get(key[0], key[1])
			require.True(t, ok)
			separated.receive(r)
		}
		f.advance(inForceBound)
		for _, in := range f.instances {
			p, ok := in.sync.Snapshot().Pipeline("chat", 1)
			require.True(t, ok)
			assert.Equal(t, 800*time.Millisecond, p.CriticalPath(), in.name)
			assert.Equal(t, int64(300), in.deadline(), in.name)
			assert.True(t, in.sync.Digest().Same(separated.sync.Digest()), in.name)
		}
	})
}
