package explainapi

import (
	"encoding/json"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Fails if a malformed parameter is taken for something else, or isn't named.
func TestQueryIsParsedOrFaultNamed(t *testing.T) {
	whole := "route=r&account=a&prefix=s:100,own:10&tokens=110,80&hint=40&pieces=4,1&deadline=6s"
	for text, want := range map[string]struct {
		query Query
		fault string
	}{
		whole: {query: Query{
			Route: "r", Account: "a", Prefix: []Part{{"s", 100}, {"own", 10}}, PromptTokens: 110, OutputTokens: 80,
			Hint: 40, Pieces: []int{4, 1}, Deadline: 6 * time.Second,
		}},
		"route=r&hint=":             {query: Query{Route: "r"}},
		"":                          {fault: ParamRoute},
		"route=r&route=s":           {fault: ParamRoute},
		"route=r&other=1":           {fault: "other"},
		"route=r&prefix=s":          {fault: ParamPrefix},
		"route=r&prefix=:1":         {fault: ParamPrefix},
		"route=r&prefix=s:-1":       {fault: ParamPrefix},
		"route=r&tokens=110":        {fault: ParamTokens},
		"route=r&hint=1,2":          {fault: ParamHint},
		"route=r&pieces=1,x":        {fault: ParamPieces},
		"route=r&pieces=99999999":   {fault: ParamPieces},
		"route=r&deadline=6":        {fault: ParamDeadline},
		"route=r&deadline=-1s":      {fault: ParamDeadline},
		"route=r&deadline=9999999h": {fault: ParamDeadline},
	} {
		query, err := url.ParseQuery(text)
		require.NoError(t, err)
		got, err := ParseQuery(query)
		if want.fault == "" {
			require.NoError(t, err, text)
		} else {
			var fault *ParameterError
			require.ErrorAs(t, err, &fault, text)
			require.Equal(t, want.fault, fault.Name, text)
		}
		require.Equal(t, want.query, got, text)
	}
}

// Fails if a field is renamed, which operators' scripts read.
func TestBytesOfAnswer(t *testing.T) {
	age := 3.0
	for want, answer := range map[string]Answer{
		`{"route":"","decided_by":{"role":""},"knowledge_age_ms":0,"candidates":null,"candidates_omitted":0}`: {},
		`{"route":"r","service":"s","account":"a","decided_by":{"role":"holder","name":"h"},"stages_decided_by":{"role":"holder"},"knowledge_age_ms":1,` +
			`"chosen":"t","reason":"load","random":true,"candidates":[{"target":"t","data_centre":"d","state":"usable",` +
			`"ejected_ms":2,"chosen":true,"cached_tokens":4,"cost":{"wait_ms":1,"own_ms":2,"reading_ms":3,"memory_ms":4,` +
			`"slowdown":5,"crossing_ms":6,"penalty_ms":7,"home_ms":8,"included_slowdown":9,"sum_ms":10},"score":{"load":1,"slots":2,"utilization":3,"slowdown":4,` +
			`"cache_discount":5,"sum":6},"age_ms":3}],"candidates_omitted":1,"stages":[{"service":"s","pieces":1,"wait_ms":2,` +
			`"time_ms":3}],"refusal":{"reason":"no_target","retry_after_ms":1000},"unknown":[{"what":"w","why":"y"}]}`: {
			Route: "r", Service: "s", Account: "a", DecidedBy: Decider{RoleHolder, "h"}, StagesDecidedBy: &Decider{Role: RoleHolder}, KnowledgeAgeMS: 1,
			Chosen: "t", Reason: "load", Random: true,
			Candidates: []Candidate{{
				Target: "t", DataCentre: "d", State: "usable", EjectedMS: 2, Chosen: true, CachedTokens: 4,
				Cost: &Cost{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, Score: &Score{1, 2, 3, 4, 5, 6}, AgeMS: &age,
			}},
			CandidatesOmitted: 1, Stages: []Stage{{"s", 1, 2, 3}},
			Refusal: &Refusal{"no_target", 1000}, Unknown: []Unknown{{"w", "y"}},
		},
	} {
		body, err := json.Marshal(answer)
		require.NoError(t, err)
		require.Equal(t, want, string(body))
	}
}
