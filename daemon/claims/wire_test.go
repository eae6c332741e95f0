package claims

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// A renamed field or value changes how stored claims are read. A request whose claim is
// read as empty would run a second time.
func TestBytesOfStoredClaims(t *testing.T) {
	at := time.Date(2001, 2, 3, 4, 5, 6, 7, time.UTC)
	finished := func(outcome claim.Outcome) claim.Record {
		return claim.Record{
			Token:      claim.Token{Owner: claim.Owner{Instance: "one", Incarnation: 1}, Attempt: 2},
			BodyDigest: claim.BodyDigest{3}, CreatedAt: at, Abandoned: true,
			Result: &claim.StoredResult{
				Outcome: outcome, Status: 4, ContentType: "type", Body: []byte("body"), BodyLength: 5, BodyDigest: claim.BodyDigest{6},
			},
		}
	}
	record := func(r claim.Record) func() (platformapi.Object, error) {
		return func() (platformapi.Object, error) { return encodeRecord(claim.ID{7}, 8, r) }
	}
	rows := []struct {
		name   string
		encode func() (platformapi.Object, error)
		want   string
	}{
		{"ran", record(finished(claim.OutcomeRan)), `0700000000000000000000000000000000000000000000000000000000000000 {"token":{"owner":{"instance":"one","incarnation":1},"attempt":2},"body":"0300000000000000000000000000000000000000000000000000000000000000","made":"2001-02-03T04:05:06.000000007Z","abandoned":true,"kept":{"outcome":"ran","status":4,"content_type":"type","body":"Ym9keQ==","body_length":5,"body_digest":"0600000000000000000000000000000000000000000000000000000000000000"}}`},
		{"not run", record(finished(claim.OutcomeNotRun)), `0700000000000000000000000000000000000000000000000000000000000000 {"token":{"owner":{"instance":"one","incarnation":1},"attempt":2},"body":"0300000000000000000000000000000000000000000000000000000000000000","made":"2001-02-03T04:05:06.000000007Z","abandoned":true,"kept":{"outcome":"not_run","status":4,"content_type":"type","body":"Ym9keQ==","body_length":5,"body_digest":"0600000000000000000000000000000000000000000000000000000000000000"}}`},
		{"unknown", record(finished(claim.OutcomeUnknown)), `0700000000000000000000000000000000000000000000000000000000000000 {"token":{"owner":{"instance":"one","incarnation":1},"attempt":2},"body":"0300000000000000000000000000000000000000000000000000000000000000","made":"2001-02-03T04:05:06.000000007Z","abandoned":true,"kept":{"outcome":"unknown","status":4,"content_type":"type","body":"Ym9keQ==","body_length":5,"body_digest":"0600000000000000000000000000000000000000000000000000000000000000"}}`},
		{"empty record", record(claim.Record{}), `0700000000000000000000000000000000000000000000000000000000000000 {"token":{"owner":{"instance":"","incarnation":0},"attempt":0},"body":"0000000000000000000000000000000000000000000000000000000000000000","made":"0001-01-01T00:00:00Z"}`},
		{"empty result", record(claim.Record{Result: &claim.StoredResult{}}), `0700000000000000000000000000000000000000000000000000000000000000 {"token":{"owner":{"instance":"","incarnation":0},"attempt":0},"body":"0000000000000000000000000000000000000000000000000000000000000000","made":"0001-01-01T00:00:00Z","kept":{"outcome":"","status":0,"body_length":0,"body_digest":"0000000000000000000000000000000000000000000000000000000000000000"}}`},
		{"journal", func() (platformapi.Object, error) {
			return journalView{revision: 9, spec: journalSpec{
				Sequence: 10, Sealed: []sealedSegment{{Name: "s", Newest: at}},
				Entries: map[string]*journalEntry{"e": {Sequence: 11, Record: finished(claim.OutcomeRan)}},
			}}.object("head", 12)
		}, `head {"sequence":10,"sealed":[{"name":"s","newest":"2001-02-03T04:05:06.000000007Z"}],"entries":{"e":{"sequence":11,"record":{"token":{"owner":{"instance":"one","incarnation":1},"attempt":2},"body":"0300000000000000000000000000000000000000000000000000000000000000","made":"2001-02-03T04:05:06.000000007Z","abandoned":true,"kept":{"outcome":"ran","status":4,"content_type":"type","body":"Ym9keQ==","body_length":5,"body_digest":"0600000000000000000000000000000000000000000000000000000000000000"}}}}}`},
		{"empty journal", func() (platformapi.Object, error) { return journalView{}.object("head", 0) }, `head {"sequence":0,"entries":null}`},
		{"segment name", func() (platformapi.Object, error) {
			v := journalView{revision: 9}
			return v.object(v.segmentName("head"), 0)
		}, `head-9 {"sequence":0,"entries":null}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			object, err := row.encode()
			require.NoError(t, err)
			require.Equal(t, row.want, object.Metadata.Name+" "+string(object.Spec))
		})
	}
}
