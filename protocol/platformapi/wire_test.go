package platformapi_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// A renamed field or value changes the format of stored objects: entries written before
// the change, or by other builds, would be decoded as empty.
func TestBytesOfStoreMessages(t *testing.T) {
	object := platformapi.Object{
		Metadata: platformapi.Metadata{Name: "n", Revision: 1},
		Spec:     json.RawMessage(`{"a":2}`), Status: json.RawMessage(`{"b":3}`),
	}
	at := time.Date(2001, 2, 3, 4, 5, 6, 7, time.UTC)
	rows := []struct {
		name  string
		value any
		want  string
	}{
		{"object", object, `{"metadata":{"name":"n","revision":1},"spec":{"a":2},"status":{"b":3}}`},
		{"list", platformapi.List{Items: []platformapi.Object{object}, Revision: 4, Next: "m", Unreadable: 5}, `{"items":[{"metadata":{"name":"n","revision":1},"spec":{"a":2},"status":{"b":3}}],"revision":4,"next":"m"}`},
		{"watch", platformapi.WatchResponse{
			Events: []platformapi.Event{{Kind: "k", Object: object, Deleted: true}}, Revision: 4, Unreadable: 5,
		}, `{"events":[{"kind":"k","object":{"metadata":{"name":"n","revision":1},"spec":{"a":2},"status":{"b":3}},"deleted":true}],"revision":4}`},
		{"conflict", platformapi.Conflict{Error: "error", Current: &object}, `{"error":"error","current":{"metadata":{"name":"n","revision":1},"spec":{"a":2},"status":{"b":3}}}`},
		{"target", platformapi.TargetEntry{Pool: "p", Address: "a", DataCentre: "d", Incarnation: "i", State: "s"}, `{"pool":"p","address":"a","data_centre":"d","incarnation":"i","state":"s"}`},
		{"instance", platformapi.InstanceEntry{Address: "a", CallerURL: "c", DataCentre: "d", Incarnation: 1, Capacity: 2}, `{"address":"a","caller_url":"c","data_centre":"d","incarnation":1,"capacity":2}`},
		{"record status", platformapi.RecordStatus{
			Revision: 1, SpecDigest: "d", Accepted: true, Reason: "r", InForce: 2,
			LastAccepted: &platformapi.RecordVersion{Revision: 3, Spec: json.RawMessage(`{"a":4}`)},
		}, `{"revision":1,"spec_digest":"d","accepted":true,"reason":"r","in_force":2,"last_accepted":{"revision":3,"spec":{"a":4}}}`},
		{"digest", platformapi.DigestEntry{
			Instance: "i", From: at, To: at.Add(time.Hour),
			Rows: []platformapi.DigestRow{{
				Pipeline: "p", Stage: "s", Tier: "t", Account: "a", Count: 1, Attained: 2, ElapsedMS: 3, WorkMS: 4,
				WastedMS: 5, Tokens: 6, PrefillTokens: 7,
			}},
		}, `{"instance":"i","from":"2001-02-03T04:05:06.000000007Z","to":"2001-02-03T05:05:06.000000007Z","rows":[{"pipeline":"p","stage":"s","tier":"t","account":"a","count":1,"attained":2,"elapsed_ms":3,"work_ms":4,"wasted_ms":5,"tokens":6,"prefill_tokens":7}]}`},
		{"orders", platformapi.OrdersEntry{
			DesiredRevision: 1, Fencing: 2, Targets: 3, Complete: 4,
			Lacking: []platformapi.LackingTarget{{Incarnation: "i", Lacks: []string{"x", "y"}}},
		}, `{"desired_revision":1,"fencing":2,"targets":3,"complete":4,"lacking":[{"incarnation":"i","lacks":["x","y"]}]}`},
		{"empty object", platformapi.Object{}, `{"metadata":{"name":""}}`},
		{"empty list", platformapi.List{}, `{"items":null,"revision":0}`},
		{"empty watch", platformapi.WatchResponse{}, `{"events":null,"revision":0}`},
		{"empty event", platformapi.Event{}, `{"kind":"","object":{"metadata":{"name":""}}}`},
		{"empty conflict", platformapi.Conflict{}, `{"error":""}`},
		{"empty target", platformapi.TargetEntry{}, `{"pool":"","address":"","data_centre":"","incarnation":"","state":""}`},
		{"empty instance", platformapi.InstanceEntry{}, `{"address":"","caller_url":"","data_centre":"","incarnation":0}`},
		{"empty record status", platformapi.RecordStatus{}, `{"revision":0,"spec_digest":"","accepted":false}`},
		{"empty digest row", platformapi.DigestRow{}, `{"pipeline":"","tier":"","count":0,"elapsed_ms":0}`},
		{"empty orders", platformapi.OrdersEntry{}, `{"desired_revision":0,"fencing":0,"targets":0,"complete":0}`},
		{"empty lacking target", platformapi.LackingTarget{}, `{"incarnation":""}`},
		{"kinds", []string{
			platformapi.KindPipelines, platformapi.KindTiers, platformapi.KindAccounts, platformapi.KindPools,
			platformapi.KindTargets, platformapi.KindInstances, platformapi.KindClaims, platformapi.KindLeases,
			platformapi.KindDigests, platformapi.KindOrders, platformapi.KindAny,
		}, `["pipelines","tiers","accounts","pools","targets","instances","claims","leases","digests","orders","*"]`},
		{"record kinds", platformapi.RecordKinds, `["pools","tiers","pipelines","accounts"]`},
		{"target states", []string{platformapi.TargetReady, platformapi.TargetLeaving}, `["ready","leaving"]`},
		{"paths and header", []string{platformapi.PathObjects, platformapi.PathWeights, platformapi.HeaderInstance}, `["/v1/objects/","/v1/weights/","Instance"]`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := json.Marshal(row.value)
			require.NoError(t, err)
			require.Equal(t, row.want, string(got))
		})
	}
}
