package client

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// A renamed field or value would change the output that operators' scripts parse, or
// the request that an instance reads.
func TestBytesOfClientOutput(t *testing.T) {
	object := platformapi.Object{
		Metadata: platformapi.Metadata{Name: "n", Revision: 1},
		Spec:     json.RawMessage(`{"a":2}`), Status: json.RawMessage(`{"b":3}`),
	}
	printed := func(v any) func(h *harness) error {
		return func(h *harness) error { return printJSON(&h.stdout, v) }
	}
	rows := []struct {
		name string
		act  func(h *harness) error
		want string
	}{
		{"written", printed([]writeRow{
			{Kind: "k", Name: "n", Result: resultCreated, Revision: 1}, {Kind: "k", Name: "n", Result: resultUpdated},
			{Result: resultUnchanged}, {Result: resultDeleted},
		}), "[\n  {\n    \"kind\": \"k\",\n    \"name\": \"n\",\n    \"result\": \"created\",\n    \"revision\": 1\n  },\n  {\n    \"kind\": \"k\",\n    \"name\": \"n\",\n    \"result\": \"updated\"\n  },\n  {\n    \"kind\": \"\",\n    \"name\": \"\",\n    \"result\": \"unchanged\"\n  },\n  {\n    \"kind\": \"\",\n    \"name\": \"\",\n    \"result\": \"deleted\"\n  }\n]\n"},
		{"document", printed(document{Kind: "k", Object: object}), "{\n  \"kind\": \"k\",\n  \"metadata\": {\n    \"name\": \"n\",\n    \"revision\": 1\n  },\n  \"spec\": {\n    \"a\": 2\n  },\n  \"status\": {\n    \"b\": 3\n  }\n}\n"},
		{"documents", printed([]document{{Kind: "k"}}), "[\n  {\n    \"kind\": \"k\",\n    \"metadata\": {\n      \"name\": \"\"\n    }\n  }\n]\n"},
		{"status", printed(statusOutput{
			Records: []statusRow{{Kind: "k", Name: "n", Revision: 1, State: "s", InForce: 2, Reason: "r"}},
			Instances: []instanceRow{{Name: "one", InstanceEntry: platformapi.InstanceEntry{
				Address: "a", CallerURL: "c", DataCentre: "d", Incarnation: 3, Capacity: 4,
			}}},
			Orders: []ordersRow{{Pool: "p", OrdersEntry: platformapi.OrdersEntry{
				DesiredRevision: 5, Fencing: 6, Targets: 7, Complete: 8,
				Lacking: []platformapi.LackingTarget{{Incarnation: "i", Lacks: []string{"x"}}},
			}}},
		}), "{\n  \"records\": [\n    {\n      \"kind\": \"k\",\n      \"name\": \"n\",\n      \"revision\": 1,\n      \"state\": \"s\",\n      \"in_force\": 2,\n      \"reason\": \"r\"\n    }\n  ],\n  \"instances\": [\n    {\n      \"name\": \"one\",\n      \"address\": \"a\",\n      \"caller_url\": \"c\",\n      \"data_centre\": \"d\",\n      \"incarnation\": 3,\n      \"capacity\": 4\n    }\n  ],\n  \"orders\": [\n    {\n      \"pool\": \"p\",\n      \"desired_revision\": 5,\n      \"fencing\": 6,\n      \"targets\": 7,\n      \"complete\": 8,\n      \"lacking\": [\n        {\n          \"incarnation\": \"i\",\n          \"lacks\": [\n            \"x\"\n          ]\n        }\n      ]\n    }\n  ]\n}\n"},
		{"empty status", printed(statusOutput{}), "{\n  \"records\": null,\n  \"instances\": null,\n  \"orders\": null\n}\n"},
		{"empty rows", printed(statusOutput{Records: []statusRow{{}}, Instances: []instanceRow{{}}, Orders: []ordersRow{{}}}), "{\n  \"records\": [\n    {\n      \"kind\": \"\",\n      \"name\": \"\",\n      \"revision\": 0,\n      \"state\": \"\"\n    }\n  ],\n  \"instances\": [\n    {\n      \"name\": \"\",\n      \"address\": \"\",\n      \"caller_url\": \"\",\n      \"data_centre\": \"\",\n      \"incarnation\": 0\n    }\n  ],\n  \"orders\": [\n    {\n      \"pool\": \"\",\n      \"desired_revision\": 0,\n      \"fencing\": 0,\n      \"targets\": 0,\n      \"complete\": 0\n    }\n  ]\n}\n"},
		{"watched", func(h *harness) error {
			w := &recordWatcher{app: &app{Options: Options{Stdout: &h.stdout}}, kind: "k", json: true, shown: map[string]uint64{}}
			return w.show(&platformapi.Event{Object: object, Deleted: true})
		}, "{\"deleted\":true,\"kind\":\"k\",\"metadata\":{\"name\":\"n\",\"revision\":1},\"spec\":{\"a\":2},\"status\":{\"b\":3}}\n"},
		{"watched and there", func(h *harness) error {
			w := &recordWatcher{app: &app{Options: Options{Stdout: &h.stdout}}, kind: "k", json: true, shown: map[string]uint64{}}
			return w.show(&platformapi.Event{Object: object})
		}, "{\"kind\":\"k\",\"metadata\":{\"name\":\"n\",\"revision\":1},\"spec\":{\"a\":2},\"status\":{\"b\":3}}\n"},
		{"answer", printed(callerapi.Response{RequestID: "r", Pipeline: "p", SchemaVersion: 1, Output: "<out>", Tokens: 2}), "{\n  \"request_id\": \"r\",\n  \"pipeline\": \"p\",\n  \"schema_version\": 1,\n  \"output\": \"<out>\",\n  \"tokens\": 2\n}\n"},
		{"sent request", func(h *harness) error {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(&h.stdout, r.Body)
				_, _ = io.WriteString(w, `{}`)
			}))
			defer server.Close()
			i := &instanceClient{http: server.Client(), base: server.URL, key: "k"}
			return i.do(h.ctx, call{
				method: http.MethodPost, path: "/",
				body: callerapi.Request{Input: "in", MaxTokens: 1, Prefix: []callerapi.Part{{ID: "a", Tokens: 2}}},
				read: func(*http.Response) error { return nil },
			})
		}, `{"input":"in","max_tokens":1,"prefix":[{"id":"a","tokens":2}]}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness()
			require.NoError(t, row.act(h))
			require.Equal(t, row.want, h.stdout.String())
		})
	}
}
