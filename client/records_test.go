package client

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	slowTier     = `{"schema_version":1,"rank":1,"deadline_ms":9000,"engine_priority":5}`
	fastTier     = `{"schema_version":1,"rank":1,"deadline_ms":100,"engine_priority":5}`
	poolSpec     = `{"schema_version":1,"kind":"service","objective":"cost","slots":1,"checks_fencing":true,"ejection_floor":0.5}`
	chatPipeline = `{"schema_version":1,"pipeline":"chat","stages":[{"name":"s","pool":"p","expected_ms":500,"repeatable":true}]}`
)

func recordText(kind, name, spec string) string {
	return `{"kind":"` + kind + `","metadata":{"name":"` + name + `"},"spec":` + spec + `}`
}

func newFilledHarness() *harness {
	h := newHarness()
	h.store.set("pools", "p", poolSpec, "")
	h.store.set("tiers", "gold", slowTier, "")
	h.store.set("pipelines", "chat.v1", chatPipeline, "")
	return h
}

// Prevents a partial write: an invalid record must be refused before any record of
// the file is written.
func TestApplyRefusesBeforeItWrites(t *testing.T) {
	cases := []struct {
		name, text, want string
		code             int
	}{
		{"bad field", recordText("tiers", "x", `{"schema_version":1,"rank":-1,"deadline_ms":1,"engine_priority":0}`), "line 1: tiers/x: rank: -1", ExitInvalid},
		{"bad second record", recordText("tiers", "x", slowTier) + "\n" + recordText("tiers", "y", `{}`), "line 2: tiers/y: schema_version: is missing", ExitInvalid},
		{"unknown pool", recordText("pipelines", "chat.v1", strings.Replace(chatPipeline, `"p"`, `"q"`, 1)), "pool q does not exist", ExitInvalid},
		{"deadline under the pipeline", recordText("tiers", "gold", fastTier), "100 ms, is less than the 500 ms", ExitInvalid},
		{"not JSON", "tiers: gold", "not valid JSON", ExitInvalid},
		{"empty", "", "holds no record", ExitInvalid},
		{"an old revision", strings.Replace(recordText("tiers", "gold", slowTier), `"gold"`, `"gold","revision":1`, 1), "the record is at revision 2 now", ExitConflict},
		{"a revision of a record that is gone", strings.Replace(recordText("tiers", "x", slowTier), `"x"`, `"x","revision":1`, 1), "was deleted meanwhile", ExitConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newFilledHarness()
			assert.Equal(t, c.code, h.run("apply", "-f", writeTempFile(t, c.text)))
			assert.Contains(t, h.stderr.String(), c.want)
			assert.Empty(t, h.stdout.String())
			assert.Equal(t, uint64(3), h.store.revision, "nothing may be written")
		})
	}
}

func TestApplyWritesInOrderOfDependencies(t *testing.T) {
	h := newHarness()
	text := recordText("pipelines", "chat.v1", chatPipeline) + recordText("tiers", "gold", slowTier) + "[" + recordText("pools", "p", poolSpec) + "]"
	path := writeTempFile(t, text)
	require.Equal(t, ExitOK, h.run("-o", "json", "apply", "-f", path), h.stderr.String())
	var rows []writeRow
	require.NoError(t, json.Unmarshal(h.stdout.Bytes(), &rows))
	assert.Equal(t, writeRow{"pools", "p", resultCreated, 1}, rows[0])
	assert.Equal(t, writeRow{"pipelines", "chat.v1", resultCreated, 3}, rows[2])
	require.Equal(t, ExitOK, h.run("apply", "-f", path))
	assert.Contains(t, h.stdout.String(), resultUnchanged)
	assert.Equal(t, uint64(3), h.store.revision)
}

// The store's response is lost, or another client writes between the check and the
// write. The operator must learn the state of the record, and no change of another
// operator may be overwritten.
func TestWritesUnderFaults(t *testing.T) {
	other := strings.Replace(slowTier, "9000", "8000", 1)
	wanted := strings.Replace(slowTier, "9000", "7000", 1)
	byOther := func(spec, status string) func(*fakeStore) {
		return func(s *fakeStore) {
			act := func() error { s.set("tiers", "gold", spec, status); return nil }
			s.beforeCall = onFirst("update", act)
		}
	}
	refusedOnce := func(call string, err func() error) func(*fakeStore) {
		return func(s *fakeStore) { s.beforeCall = onFirst(call, err) }
	}
	lostOnce := func(call string) func(*fakeStore) {
		return func(s *fakeStore) { s.afterWrite = onFirst(call, unknownEffect) }
	}
	apply := []string{"apply", "-f"}
	remove := []string{"delete", "tiers", "spare"}
	cases := []struct {
		name   string
		args   []string
		script func(*fakeStore)
		code   int
		stderr string
		spec   string // of gold afterwards; empty if gold was deleted
	}{
		{"answer lost, write done", apply, lostOnce("update"), ExitOK, "", wanted},
		{"answer lost, write not done", apply, refusedOnce("update", unknownEffect), ExitOK, "", wanted},
		{"answer lost, read back fails", apply, func(s *fakeStore) {
			s.afterWrite = onFirst("update", func() error { s.beforeCall = func(string) error { return unavailable() }; return unknownEffect() })
		}, ExitUnknown, "reading back failed too", wanted},
		{"store down", apply, refusedOnce("update", unavailable), ExitStoreUnavailable, "unavailable", slowTier},
		{"store down at the check", apply, refusedOnce("list", unavailable), ExitStoreUnavailable, "unavailable", slowTier},
		{"another operator first", apply, byOther(other, ""), ExitConflict, "8000", other},
		{"another operator, the same spec", apply, byOther(wanted, ""), ExitOK, "", wanted},
		{"an instance wrote the status", apply, byOther(slowTier, `{"accepted":true}`), ExitOK, "", wanted},
		{"deleted meanwhile", apply, func(s *fakeStore) {
			s.beforeCall = onFirst("update", func() error { delete(s.objects["tiers"], "gold"); return nil })
		}, ExitConflict, "was deleted meanwhile", ""},
		{"delete", remove, func(*fakeStore) {}, ExitOK, "", slowTier},
		{"delete, answer lost", remove, lostOnce("delete"), ExitOK, "", slowTier},
		{"delete, not done", remove, refusedOnce("delete", unknownEffect), ExitOK, "", slowTier},
		{"delete, changed first", remove, func(s *fakeStore) {
			s.beforeCall = onFirst("delete", func() error { s.set("tiers", "spare", other, ""); return nil })
		}, ExitConflict, "8000", slowTier},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newFilledHarness()
			h.store.set("tiers", "spare", slowTier, "")
			c.script(h.store)
			args := c.args
			if args[0] == "apply" {
				args = append(args, writeTempFile(t, recordText("tiers", "gold", wanted)))
			}
			assert.Equal(t, c.code, h.run(args...), h.stderr.String())
			assert.Contains(t, h.stderr.String(), c.stderr)
			gold, ok := h.store.objects["tiers"]["gold"]
			assert.Equal(t, c.spec != "", ok)
			assert.Equal(t, c.spec, string(gold.Spec))
			if c.args[0] == "delete" && c.code == ExitOK {
				assert.NotContains(t, h.store.objects["tiers"], "spare")
			}
		})
	}
}

// Deleting a pool that a pipeline still uses must fail: the pipeline's requests
// would be refused once all instances have been replaced.
func TestDeleteRefusesRecordInUse(t *testing.T) {
	h := newFilledHarness()
	assert.Equal(t, ExitInvalid, h.run("delete", "pools", "p"))
	assert.Contains(t, h.stderr.String(), "still used by pipelines")
	assert.Equal(t, ExitNotFound, h.run("delete", "pools", "q"))
	assert.Equal(t, ExitOK, h.run("delete", "pipelines", "chat.v1"))
	assert.Equal(t, ExitOK, h.run("delete", "pools", "p"))
}

func TestValidateIsOfflineWithoutAPlatform(t *testing.T) {
	h := newFilledHarness()
	path := writeTempFile(t, recordText("pipelines", "chat.v1", strings.Replace(chatPipeline, `"p"`, `"q"`, 1)))
	assert.Equal(t, ExitInvalid, h.run("validate", "-f", path))
	h.env[envPlatform] = ""
	calls := len(h.store.calls)
	assert.Equal(t, ExitOK, h.run("validate", "-f", path))
	assert.Len(t, h.store.calls, calls)
	assert.Equal(t, ExitUsage, h.run("apply", "-f", path))
}

func TestReading(t *testing.T) {
	h := newFilledHarness()
	status, err := json.Marshal(platformapi.RecordStatus{Reason: "because", SpecDigest: record.SpecDigest([]byte(slowTier))})
	require.NoError(t, err)
	h.store.set("tiers", "batch", slowTier, string(status))
	h.store.set("instances", "one", `{"address":"127.0.0.1:1","data_centre":"north","incarnation":7}`, "")
	h.store.set("orders", "engines", `{"desired_revision":9,"fencing":2,"targets":3,"complete":1,"lacking":[
		{"incarnation":"e1","lacks":["load_model m","set_role r"]},{"incarnation":"e2"}]}`, "")
	for want, args := range map[string][]string{
		`"deadline_ms": 9000`:    {"get", "tiers", "gold"},
		`"kind": "tiers"`:        {"get", "tiers", "gold", "-o", "json"},
		"refused":                {"list", "tiers"},
		"because":                {"get", "tiers", "batch"},
		"no instance has judged": {"list", "tiers"},
		`"name": "batch"`:        {"list", "tiers", "-o", "json"},
		"one       north":        {"status"},
		`"data_centre": "north"`: {"-o", "json", "status"},
		"engines  9                 2        1/3       e1: load_model m, set_role r; e2: not read": {"status"},
		`"complete": 1`: {"-o", "json", "status"},
		"apply":         {"--help"},
	} {
		require.Equal(t, ExitOK, h.run(args...), h.stderr.String())
		assert.Contains(t, h.stdout.String(), want)
	}
	assert.Equal(t, ExitNotFound, h.run("get", "tiers", "none"))
}

// Scripts distinguish an invalid command line from a fault of the platform by the
// exit code.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"frobnicate"}, {"get", "tiers"}, {"get", "colours", "red"}, {"apply"}, {"list", "tiers", "-o", "yaml"},
		{"--nonsense"}, {"get", "--nonsense"}, {"request"}, {"request", "show"}, {"watch"}, {"submit", "chat"}, {"request", "show", "--x"},
	} {
		h := newFilledHarness()
		assert.Equal(t, ExitUsage, h.run(args...), "%v: %s", args, h.stderr.String())
		assert.NotEmpty(t, h.stderr.String())
	}
}

func TestCompletion(t *testing.T) {
	h := newFilledHarness()
	require.Equal(t, ExitOK, h.run("completion", "bash"))
	assert.Contains(t, h.stdout.String(), "ivyhollow")
	require.Equal(t, ExitOK, h.run("get", "--generate-shell-completion"))
	assert.Equal(t, "pools\ntiers\npipelines\naccounts\n", h.stdout.String())
}

// The platform is unavailable for a while and has dropped its history when it
// returns. A watch must resume by itself, print each change once and print the
// deletions that it missed.
func TestWatchResumesAfterOutage(t *testing.T) {
	h := newFilledHarness()
	h.store.set("tiers", "spare", slowTier, "")
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	step := 0
	h.store.beforeCall = func(call string) error {
		if call != "watch" {
			return nil
		}
		step++
		switch step {
		case 1:
			h.store.set("tiers", "batch", fastTier, "")
		case 2:
			cancelled := &platform.CallError{Err: platform.ErrCompacted}
			h.store.revision++
			delete(h.store.objects["tiers"], "spare")
			return cancelled
		case 3:
			cancel()
		}
		return nil
	}
	require.Equal(t, ExitOK, h.run("watch", "tiers"))
	var names []string
	for line := range strings.Lines(h.stdout.String()) {
		fields := strings.Fields(line)
		names = append(names, fields[0]+" "+fields[2])
	}
	assert.Equal(t, []string{"tiers/gold pending", "tiers/spare pending", "tiers/batch pending", "tiers/spare deleted"}, names)
}
