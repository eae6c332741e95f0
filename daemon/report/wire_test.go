package report

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// Prevents a change of a field's name in stored reports: their readers would find no values.
func TestBytesOfStoredReports(t *testing.T) {
	full := requests.Row{
		Key: requests.Key{Pipeline: "p", Stage: "s", Tier: "t", Account: "a"},
		Counters: requests.Counters{
			Count: 1, Attained: 2, Elapsed: 3 * time.Millisecond, Work: 4 * time.Millisecond, Wasted: 5 * time.Millisecond,
			Tokens: 6, PrefillTokens: 7,
		},
	}
	rows := []struct {
		name    string
		summary requests.Summary
		want    string
	}{
		{"full", requests.Summary{Rows: []requests.Row{full}}, `{"instance":"one","from":"1970-01-12T13:46:40Z","to":"1970-01-12T14:46:40Z","rows":[{"pipeline":"p","stage":"s","tier":"t","account":"a","count":1,"attained":2,"elapsed_ms":3,"work_ms":4,"wasted_ms":5,"tokens":6,"prefill_tokens":7}]}`},
		{"empty row", requests.Summary{Rows: []requests.Row{{}}}, `{"instance":"one","from":"1970-01-12T13:46:40Z","to":"1970-01-12T14:46:40Z","rows":[{"pipeline":"","tier":"","count":0,"elapsed_ms":0}]}`},
		{"no row", requests.Summary{}, `{"instance":"one","from":"1970-01-12T13:46:40Z","to":"1970-01-12T14:46:40Z","rows":[]}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newRig(t)
			require.NoError(t, r.write(t.Context(), row.summary, epoch, epoch.Add(time.Hour)))
			object, err := r.store.Local("operator").Get(t.Context(), platformapi.KindDigests, "one")
			require.NoError(t, err)
			require.Equal(t, row.want, string(object.Spec))
		})
	}
}
