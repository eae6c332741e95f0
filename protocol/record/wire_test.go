package record_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// A renamed field or value changes the record format: existing records in the store
// and in files would be refused, or decoded without some of their fields.
func TestBytesOfRecordSpecs(t *testing.T) {
	rows := []struct {
		name string
		item catalog.Item
		want string
	}{
		{"tier", &catalog.Tier{Name: "gold", Revision: 1, Rank: 2, Deadline: 3 * time.Second, EnginePriority: 4}, `tiers/gold {"schema_version":1,"rank":2,"deadline_ms":3000,"engine_priority":4}`},
		{"account", &catalog.Account{
			Name: "wards", Revision: 1, Tier: "gold", KeyHashes: [][32]byte{{1}, {31: 2}}, RequestsPerSecond: 3.5, Burst: 4.5,
		}, `accounts/wards {"schema_version":1,"tier":"gold","keys":[{"sha256":"0100000000000000000000000000000000000000000000000000000000000000"},{"sha256":"0000000000000000000000000000000000000000000000000000000000000002"}],"requests_per_s":3.5,"burst":4.5}`},
		{"pool", &catalog.Pool{
			Name: "engines", Revision: 1, Kind: catalog.KindEngine, Objective: catalog.ObjectiveCost, Slots: 2,
			ChecksFencing: true, EjectionFloor: 0.5,
			Desired: &catalog.DesiredState{Models: []string{"m", "n"}, Adapters: []string{"l"}, Version: "v", Role: "r"},
		}, `pools/engines {"schema_version":2,"kind":"engine","objective":"cost","slots":2,"checks_fencing":true,"ejection_floor":0.5,"desired":{"models":["m","n"],"adapters":["l"],"version":"v","role":"r"}}`},
		{"pool without orders", &catalog.Pool{
			Name: "encoders", Revision: 1, Kind: catalog.KindEncoder, Objective: catalog.ObjectiveAttainment, Slots: 2,
			ChecksFencing: true, EjectionFloor: 0.5,
		}, `pools/encoders {"schema_version":1,"kind":"encoder","objective":"attainment","slots":2,"checks_fencing":true,"ejection_floor":0.5}`},
		{"empty pool", &catalog.Pool{Desired: &catalog.DesiredState{}}, `pools/ {"schema_version":2,"kind":"","objective":"","slots":0,"checks_fencing":false,"ejection_floor":0,"desired":{}}`},
		{"pipeline 2", &catalog.Pipeline{
			Key: catalog.PipelineKey{Name: "chat", SchemaVersion: record.PipelineV2}, Revision: 1,
			Stages: []catalog.Stage{
				{Name: "a", Pool: "p", ExpectedDuration: 2 * time.Millisecond},
				{
					Name: "b", Pool: "q", After: []int{0}, ExpectedDuration: 3 * time.Millisecond, Repeatable: true, Resumable: true,
					Model: "m", Adapter: "l", MaxTokens: 4,
				},
			},
			Deadlines: map[string]time.Duration{"gold": 5 * time.Second}, MaxAttempts: 6,
		}, `pipelines/chat.v2 {"schema_version":2,"pipeline":"chat","stages":[{"name":"a","pool":"p","expected_ms":2,"repeatable":false},{"name":"b","pool":"q","after":["a"],"expected_ms":3,"repeatable":true,"resumable":true,"model":"m","adapter":"l","max_tokens":4}],"deadlines_ms":{"gold":5000},"max_attempts":6}`},
		{"pipeline 1", &catalog.Pipeline{
			Key: catalog.PipelineKey{Name: "chat", SchemaVersion: record.PipelineV1}, Revision: 1,
			Stages: []catalog.Stage{
				{Name: "a", Pool: "p", ExpectedDuration: 2 * time.Millisecond, Repeatable: true, Model: "m", MaxTokens: 3},
				{Name: "b", Pool: "q", After: []int{0}, ExpectedDuration: 4 * time.Millisecond},
			},
			Deadlines: map[string]time.Duration{"gold": 5 * time.Second}, MaxAttempts: 6,
		}, `pipelines/chat.v1 {"schema_version":1,"pipeline":"chat","stages":[{"name":"a","pool":"p","expected_ms":2,"repeatable":true,"model":"m","max_tokens":3},{"name":"b","pool":"q","expected_ms":4,"repeatable":false}],"deadlines_ms":{"gold":5000},"max_attempts":6}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			kind, name, spec, err := record.Encode(row.item)
			require.NoError(t, err)
			require.Equal(t, row.want, string(kind)+"/"+name+" "+string(spec))
		})
	}
}

// A renamed value changes the accepted or reported values of a field: a pool of a
// known kind would be refused, and a client would show no state.
func TestBytesOfRecordValues(t *testing.T) {
	spec := []byte(`{"a":1}`)
	rows := []struct {
		name  string
		value any
		want  string
	}{
		{"accepted", record.StatusOf(config.Verdict{
			Key: config.Key{Kind: catalog.RecordTiers, Name: "gold"}, Revision: 2, Accepted: true, Reason: "reason",
			InForce: config.Version{Revision: 3},
		}, spec), `{"revision":2,"spec_digest":"ca0b885a32fc8b48","accepted":true,"reason":"reason","in_force":3,"last_accepted":{"revision":2,"spec":{"a":1}}}`},
		{"refused", record.StatusOf(config.Verdict{
			Key: config.Key{Kind: catalog.RecordTiers, Name: "gold"}, Revision: 2, Reason: "reason",
			InForce: config.Version{Revision: 3, Spec: []byte(`{"b":4}`)},
		}, spec), `{"revision":2,"spec_digest":"ca0b885a32fc8b48","accepted":false,"reason":"reason","in_force":3,"last_accepted":{"revision":3,"spec":{"b":4}}}`},
		{"states", []string{record.StateAccepted, record.StateRefused, record.StatePending}, `["accepted","refused","pending"]`},
		{"pool kinds", []catalog.PoolKind{
			catalog.KindEngine, catalog.KindEncoder, catalog.KindRetriever, catalog.KindReranker, catalog.KindService,
		}, `["engine","encoder","retriever","reranker","service"]`},
		{"objectives", []catalog.Objective{catalog.ObjectiveAttainment, catalog.ObjectiveCost}, `["attainment","cost"]`},
		{"record kinds", []catalog.RecordKind{
			catalog.RecordPools, catalog.RecordTiers, catalog.RecordPipelines, catalog.RecordAccounts,
		}, `["pools","tiers","pipelines","accounts"]`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := json.Marshal(row.value)
			require.NoError(t, err)
			require.Equal(t, row.want, string(got))
		})
	}
}
