package record_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

const (
	stageA = `{"name":"a","pool":"p","expected_ms":10,"repeatable":true}`
	stageB = `{"name":"b","pool":"p","expected_ms":20,"repeatable":true}`
)

var (
	zeros = strings.Repeat("0", 64)
	ones  = strings.Repeat("1", 64)
)

func pipeline(version int, fields string, stages ...string) string {
	return fmt.Sprintf(`{"schema_version":%d,"pipeline":"x","stages":[%s]%s}`, version, strings.Join(stages, ","), fields)
}

func tier(fields string) string { return `{"schema_version":1,` + fields + `}` }

func account(keys, fields string) string {
	return `{"schema_version":1,"tier":"gold","keys":[` + keys + `],` + fields + `}`
}

// Every invalid record must be refused with the path of each fault.
func TestDecodeFaults(t *testing.T) {
	goodKey, good := `{"sha256":"`+zeros+`"}`, `"requests_per_s":1,"burst":1`
	pool := `{"schema_version":1,"kind":"engine","objective":"cost","slots":1,"checks_fencing":true,"ejection_floor":0.5}`
	with := func(old, new string) string { return strings.Replace(pool, old, new, 1) }
	v2 := func(desired string) string {
		return strings.Replace(with(`"schema_version":1`, `"schema_version":2`), `"slots"`, `"desired":`+desired+`,"slots"`, 1)
	}
	after := func(stage, names string) string { return strings.Replace(stage, "}", `,"after":[`+names+`]}`, 1) }
	cases := []struct {
		name, record, spec string
		want               []string
	}{
		{"truncated", "tiers/gold", `{"schema_version":1,`, []string{"the text ends too early"}},
		{"not JSON", "tiers/gold", "{\n]", []string{"line 2: not valid JSON"}},
		{"two values", "tiers/gold", `{} {}`, []string{"must be one JSON object"}},
		{"a list", "tiers/gold", `[]`, []string{"must be an object, not a list"}},
		{"too deep", "tiers/gold", strings.Repeat("[", 50) + strings.Repeat("]", 50), []string{"nest deeper"}},
		{"too long", "tiers/gold", `"` + strings.Repeat("x", record.MaxSpecBytes) + `"`, []string{"longer than"}},
		{"no schema version", "tiers/gold", `{"rank":1}`, []string{"schema_version: is missing"}},
		{"unknown schema version", "tiers/gold", `{"schema_version":7}`, []string{"schema_version: 7 is not a known"}},
		{"schema version as text", "tiers/gold", `{"schema_version":"1"}`, []string{"schema_version: must be a number, not a string"}},
		{"unknown kind", "colours/red", `{}`, []string{`kind: "colours"`}},
		{"bad record name", "tiers/Gold", tier(`"rank":0,"deadline_ms":1,"engine_priority":0`), []string{`name: "Gold" is not a name`}},
		{"all at once", "tiers/gold", tier(`"rank":-1,"deadline_ms":0,"engine_priority":10,"colour":1`),
			[]string{"rank: -1", "deadline_ms: 0", "engine_priority: 10", "colour: is not a known field"}},
		{"a field twice", "tiers/gold", tier(`"rank":1,"rank":2,"deadline_ms":1,"engine_priority":0`), []string{"rank: stands twice"}},
		{"null", "tiers/gold", tier(`"rank":null,"deadline_ms":1,"engine_priority":0`), []string{"rank: must be a number, not null"}},
		{"a fraction", "tiers/gold", tier(`"rank":1.5,"deadline_ms":1e3,"engine_priority":0`), []string{"rank: 1.5 is not a whole", "deadline_ms: 1e3"}},
		{"overflow", "tiers/gold", tier(`"rank":99999999999999999999,"deadline_ms":1,"engine_priority":0`), []string{"rank: 99999"}},
		{"unknown kind of pool", "pools/p", with("engine", "motor"), []string{`kind: "motor" is not one of`}},
		{"unknown objective", "pools/p", with("cost", "speed"), []string{`objective: "speed"`}},
		{"no slots", "pools/p", with(`"slots":1`, `"slots":0`), []string{"slots: 0"}},
		{"floor above 1", "pools/p", with("0.5", "1.5"), []string{"ejection_floor: 1.5"}},
		{"desired in v1", "pools/p", with(`"slots"`, `"desired":{},"slots"`), []string{"desired: is not a known field"}},
		{"desired of a service", "pools/p", strings.Replace(v2(`{}`), "engine", "service", 1), []string{"desired: only pools of kind engine"}},
		{"desired is no object", "pools/p", v2(`["m"]`), []string{"desired: must be an object, not a list"}},
		{"all faults of desired", "pools/p", v2(`{"models":["m",
"m",7],"adapters":["../x"],"version":"","role":1,"colour":"red"}`), []string{
			`line 2: desired.models[1]: "m" stands twice`, "line 2: desired.models[2]: must be a string", `line 2: desired.adapters[0]: "../x" is not`,
			`line 2: desired.version: "" is not`, "line 2: desired.role: must be a string", "line 2: desired.colour: is not a known field"}},
		{"too many models", "pools/p", v2(`{"models":[` + strings.Repeat(`"m",`, record.MaxDesiredModels) + `"m"]}`), []string{"desired.models: holds 17 names, more than 16"}},
		{"fencing as text", "pools/p", with("true", `"yes"`), []string{"checks_fencing: must be a boolean"}},
		{"negative budget", "accounts/a", account(goodKey, `"requests_per_s":-1,"burst":-2`), []string{"requests_per_s: -1", "burst: -2"}},
		{"infinite budget", "accounts/a", account(goodKey, `"requests_per_s":1e999,"burst":1`), []string{"requests_per_s: 1e999"}},
		{"burst too small", "accounts/a", account(goodKey, `"requests_per_s":5,"burst":0.5`), []string{"burst: must be at least 1"}},
		{"no keys", "accounts/a", account("", good), []string{"keys: must hold 1 to 2 keys, not 0"}},
		{"three keys", "accounts/a", account(goodKey+","+goodKey+","+goodKey, good), []string{"keys: must hold"}},
		{"one key twice", "accounts/a", account(goodKey+","+goodKey, good), []string{"keys[1].sha256: stands twice"}},
		{"bad key", "accounts/a", account(`{"sha256":"demo-key","note":1}`, good), []string{"keys[0].sha256: must be the SHA-256", "keys[0].note: is not a known"}},
		{"key that is no object", "accounts/a", account(`"x"`, good), []string{"keys[0]: must be an object"}},
		{"bad tier name", "accounts/a", strings.Replace(account(goodKey, good), "gold", "GOLD", 1), []string{`tier: "GOLD"`}},
		{"record named otherwise", "pipelines/x.v2", pipeline(1, "", stageA), []string{`name: "x.v2" does not agree`}},
		{"no stages", "pipelines/x.v1", pipeline(1, ""), []string{"stages: must hold 1 to 16"}},
		{"a stage twice", "pipelines/x.v1", pipeline(1, "", stageA, stageA), []string{`stages[1].name: "a" names two stages`}},
		{"stage that is no object", "pipelines/x.v1", pipeline(1, "", "1"), []string{"stages[0]: must be an object"}},
		{"negative time", "pipelines/x.v1", pipeline(1, "", strings.Replace(stageA, "10", "-10", 1)), []string{"stages[0].expected_ms: -10"}},
		{"after in v1", "pipelines/x.v1", pipeline(1, "", stageA, after(stageB, `"a"`)), []string{"stages[1].after: is not a known field"}},
		{"deadline less than its stages", "pipelines/x.v1", pipeline(1, `,"deadlines_ms":{"gold":29}`, stageA, stageB), []string{"deadlines_ms.gold: 29 is less than the 30 ms"}},
		{"bad tier in deadlines", "pipelines/x.v1", pipeline(1, `,"deadlines_ms":{"":50}`, stageA), []string{`deadlines_ms: "" is not a name`}},
		{"no attempts", "pipelines/x.v1", pipeline(1, `,"max_attempts":0`, stageA), []string{"max_attempts: 0"}},
		{"after an unknown stage", "pipelines/x.v2", pipeline(2, "", stageA, after(stageB, `"c"`)), []string{`stages[1].after: "c" is not a stage`}},
		{"after a number", "pipelines/x.v2", pipeline(2, "", after(stageA, "1")), []string{"stages[0].after[0]: must be a string"}},
		{"cycle", "pipelines/x.v2", pipeline(2, "", after(stageA, `"b"`), after(stageB, `"a"`)), []string{`stages[0].after: stage "a" waits for itself`, `stages[1].after`}},
		{"two last stages", "pipelines/x.v2", pipeline(2, "", stageA, stageB), []string{`stages[0].name: no stage comes after "a", nor after "b"`}},
		{"bad model", "pipelines/x.v2", pipeline(2, "", strings.Replace(stageA, "}", `,"model":"../x y","adapter":"-"}`, 1)), []string{"stages[0].model", "stages[0].adapter"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kind, name, _ := strings.Cut(c.record, "/")
			item, err := record.Decode(catalog.RecordKind(kind), name, 1, []byte(c.spec))
			faults, ok := err.(record.Faults)
			require.True(t, ok, "must be refused")
			assert.Nil(t, item)
			assert.Len(t, faults, len(c.want), "%v", faults)
			for _, want := range c.want {
				assert.Contains(t, err.Error(), want)
			}
		})
	}
}

func TestPipelineOrder(t *testing.T) {
	spec := pipeline(2, "",
		`{"name":"generate","pool":"g","after":["rerank","encode"],"expected_ms":40,"repeatable":true,"resumable":true,"adapter":"l"}`,
		`{"name":"encode","pool":"e","expected_ms":10,"repeatable":true}`,
		`{"name":"retrieve","pool":"r","expected_ms":30,"repeatable":true}`,
		`{"name":"rerank","pool":"k","after":["retrieve"],"expected_ms":5,"repeatable":false}`)
	item, err := record.Decode(catalog.RecordPipelines, "x.v2", 7, []byte(spec))
	require.NoError(t, err)
	p := item.(*catalog.Pipeline)
	var names []string
	for i, s := range p.Stages {
		names = append(names, s.Name)
		for _, before := range s.After {
			assert.Less(t, before, i)
		}
	}
	assert.Equal(t, []string{"encode", "retrieve", "rerank", "generate"}, names)
	assert.Equal(t, []int{2, 0}, p.Stages[3].After)
	assert.Equal(t, 75*time.Millisecond, p.CriticalPath())
	assert.Equal(t, record.DefaultMaxAttempts, p.MaxAttempts)
	assert.False(t, p.Repeatable())
}

func randomItem(t *rapid.T) catalog.Item {
	name := rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,20}[a-z0-9])?`)
	whole := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
	millis := func(high int) time.Duration { return time.Duration(whole("ms", 1, high)) * time.Millisecond }
	switch whole("kind", 0, 3) {
	case 0:
		return &catalog.Tier{Name: name.Draw(t, "name"), Revision: 3, Rank: whole("rank", 0, 99), Deadline: millis(9000), EnginePriority: whole("priority", 0, 9)}
	case 1:
		p := &catalog.Pool{Name: name.Draw(t, "name"), Revision: 3, Kind: catalog.KindService, Objective: catalog.ObjectiveCost,
			Slots: whole("slots", 1, 99), ChecksFencing: rapid.Bool().Draw(t, "checks"), EjectionFloor: rapid.Float64Range(0, 1).Draw(t, "floor")}
		if rapid.Bool().Draw(t, "orders") {
			models := rapid.SliceOfNDistinct(rapid.StringMatching(`[A-Za-z0-9]([A-Za-z0-9._/-]{0,20}[A-Za-z0-9])?`), 1, record.MaxDesiredModels, rapid.ID[string])
			p.Kind, p.Desired = catalog.KindEngine, &catalog.DesiredState{Models: models.Draw(t, "models"), Version: "1.2"}
		}
		return p
	case 2:
		return &catalog.Account{Name: name.Draw(t, "name"), Revision: 3, Tier: "gold", KeyHashes: [][32]byte{{byte(whole("key", 0, 255))}},
			RequestsPerSecond: rapid.Float64Range(0, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1e6).Draw(t, "burst")}
	}
	p := &catalog.Pipeline{Key: catalog.PipelineKey{Name: name.Draw(t, "name"), SchemaVersion: whole("version", 1, 2)}, Revision: 3, MaxAttempts: whole("attempts", 1, 10)}
	for i := range whole("stages", 1, record.MaxStages) {
		s := catalog.Stage{Name: fmt.Sprint("s", i), Pool: name.Draw(t, "pool"), ExpectedDuration: millis(100), Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxTokens: whole("tokens", 0, 99)}
		if i > 0 {
			s.After = []int{i - 1}
		}
		if p.Key.SchemaVersion == 2 {
			s.Resumable, s.Adapter = rapid.Bool().Draw(t, "resumable"), "a/b-1"
			if i > 1 && rapid.Bool().Draw(t, "join") {
				s.After = append(s.After, whole("before", 0, i-2))
			}
		}
		p.Stages = append(p.Stages, s)
	}
	if rapid.Bool().Draw(t, "override") {
		p.Deadlines = map[string]time.Duration{"gold": p.CriticalPath() + millis(100)}
	}
	return p
}

func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		item := randomItem(t)
		kind, name, spec, err := record.Encode(item)
		require.NoError(t, err)
		back, err := record.Decode(kind, name, 3, spec)
		require.NoError(t, err)
		require.Equal(t, item, back)
	})
}

func TestEncodeRefusesStageThatV1CannotExpress(t *testing.T) {
	item, err := record.Decode(catalog.RecordPipelines, "x.v2", 1, []byte(pipeline(2, "", strings.Replace(stageA, "}", `,"resumable":true}`, 1))))
	require.NoError(t, err)
	p := item.(*catalog.Pipeline)
	p.Key.SchemaVersion = record.PipelineV1
	_, _, _, err = record.Encode(p)
	assert.ErrorContains(t, err, "stage a needs schema version 2")
}

func TestKindsAgreeWithThePlatform(t *testing.T) {
	kinds := []string{string(catalog.RecordPools), string(catalog.RecordTiers), string(catalog.RecordPipelines), string(catalog.RecordAccounts)}
	assert.Equal(t, platformapi.RecordKinds, kinds)
}

func FuzzDecode(f *testing.F) {
	for _, spec := range []string{pipeline(2, `,"deadlines_ms":{"gold":99}`, stageA), account(`{"sha256":"`+ones+`"}`, `"requests_per_s":1,"burst":1`), tier(`"rank":1`), `{"a":[{}]}`} {
		for i := range 4 {
			f.Add(i, []byte(spec))
		}
	}
	f.Fuzz(func(t *testing.T, i int, spec []byte) {
		kind := catalog.RecordKind(platformapi.RecordKinds[(i&3)%4])
		item, err := record.Decode(kind, "x.v2", 1, spec)
		if (item == nil) == (err == nil) {
			t.Fatalf("item %v with error %v", item, err)
		}
		if faults, ok := err.(record.Faults); err != nil && (!ok || len(faults) == 0) {
			t.Fatalf("a refusal without faults: %v", err)
		}
		if p, ok := item.(*catalog.Pipeline); ok && p.CriticalPath() <= 0 {
			t.Fatal("an accepted pipeline takes no time")
		}
		documents, faults := record.ParseFile(spec)
		record.Check(documents)
		if len(documents) == 0 && len(faults) == 0 {
			t.Fatal("neither records nor faults")
		}
		if err == nil && !json.Valid(spec) {
			t.Fatal("accepted what is not JSON")
		}
	})
}
