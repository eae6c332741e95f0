package record_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

const (
	oldSpec = `{"schema_version":1,"rank":0,"deadline_ms":100,"engine_priority":0}`
	newSpec = `{"schema_version":1, "rank":-1}`
)

func object(revision uint64, spec string, status any) *platformapi.Object {
	o := &platformapi.Object{Metadata: platformapi.Metadata{Name: "gold", Revision: revision}, Spec: json.RawMessage(spec)}
	if status != nil {
		o.Status, _ = json.Marshal(status)
	}
	return o
}

// An operator overwrites an accepted spec with an invalid one, and every instance
// is replaced before any has evaluated it. A new instance finds only the invalid
// spec; it must take the accepted one from the status, or the tier is lost.
func TestStatusPreservesVersionInForce(t *testing.T) {
	key := config.Key{Kind: catalog.RecordTiers, Name: "gold"}
	written := record.StatusOf(config.Verdict{Key: key, Revision: 5, Accepted: true}, []byte(oldSpec))
	_, state, err := record.ReadStatus(object(6, oldSpec, written))
	require.NoError(t, err)
	assert.Equal(t, record.StateAccepted, state)

	over := object(9, newSpec, written)
	_, state, _ = record.ReadStatus(over)
	assert.Equal(t, record.StatePending, state)
	set := config.New(record.Decode)
	for _, kind := range config.Kinds {
		set.ApplyList(kind, nil, 0)
	}
	_, snapshot, verdicts := set.Apply([]config.Record{record.FromObject(catalog.RecordTiers, over)})
	_, ok := snapshot.Tier("gold")
	assert.True(t, ok)
	require.Len(t, verdicts, 1)
	assert.True(t, record.NeedsStatus(over, verdicts[0]))
	refused := record.StatusOf(verdicts[0], over.Spec)
	assert.Contains(t, refused.Reason, "rank")
	assert.JSONEq(t, oldSpec, string(refused.LastAccepted.Spec))
	assert.False(t, record.NeedsStatus(object(9, `{"schema_version":1,"rank":-1}`, refused), verdicts[0]), "white space is no change")
	assert.False(t, record.NeedsStatus(object(10, newSpec, nil), verdicts[0]), "a verdict on another revision must not be written")
}

// A status that cannot be decoded, such as one written by hand, must cause a new
// evaluation of the record: it must neither count as accepted nor block it.
func TestBadStatusIsPending(t *testing.T) {
	_, state, err := record.ReadStatus(object(1, oldSpec, "noise"))
	assert.Error(t, err)
	assert.Equal(t, record.StatePending, state)
	r := record.FromObject(catalog.RecordTiers, object(1, oldSpec, "noise"))
	assert.False(t, r.Accepted)
	gone := record.FromEvent(catalog.RecordTiers, &platformapi.Event{Deleted: true, Object: *object(4, "", nil)})
	assert.True(t, gone.Newest.Deleted)
	assert.Equal(t, uint64(4), gone.Newest.Revision)
}

func TestParseFile(t *testing.T) {
	good := `{"kind":"tiers","metadata":{"name":"gold","revision":4},"spec":` + oldSpec + `,"status":{"accepted":true}}`
	documents, faults := record.ParseFile([]byte(good + "\n[{\"kind\":\"tiers\",\"metadata\":{\"name\":\"batch\"},\n\"spec\":" + newSpec + "}]"))
	require.Empty(t, faults)
	require.Len(t, documents, 2)
	assert.Equal(t, uint64(4), documents[0].Object.Metadata.Revision)
	_, faults = record.Check(documents)
	require.Len(t, faults, 3)
	assert.Equal(t, 3, faults[0].Line)
	assert.Equal(t, "tiers/batch: rank", faults[0].Field)
	for text, want := range map[string]string{
		"": "holds no record", "[]": "holds no record", "3": "records[0]: must be an object",
		good + good: "tiers/gold: stands on line 1 already",
		`{"kind":"tier","metadata":{"name":"x","colour":1},"spec":{}}`:           `records[0].kind: "tier" is not one of`,
		`{"kind":"tiers","metadata":{"revision":-1},"spec":[]}`:                  "records[0].metadata.name: is missing",
		"{\"kind\":\"tiers\",\n\"metadata\":{\"name\":\"x\"},\n\"specs\":{}}":    "line 3: records[0].specs: is not a known field",
		`{"kind":"tiers","metadata":{"name":"x"},"spec":{"a":"` + "\x01" + `"}}`: "not valid JSON",
	} {
		_, faults := record.ParseFile([]byte(text))
		assert.ErrorContains(t, faults, want)
	}
}

// A file of a few megabytes that contains no records must be refused at once:
// counting lines from the start for each of a million faults takes far too long.
func TestFaultsOfFileWithoutRecordsAreBounded(t *testing.T) {
	_, faults := record.ParseFile([]byte("[1" + strings.Repeat(",\n1", 1<<16) + "]"))
	assert.Len(t, faults, 1000)
	assert.Equal(t, 1000, faults[999].Line)
}
