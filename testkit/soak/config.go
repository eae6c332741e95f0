package soak

import "fmt"

// keysInForce is the number of successive configuration versions that accept a key.
// keysInForcePlanned is the number in runs of planned work, in which callers use a key only
// after it has had time to come into force everywhere.
const (
	keysInForce        = 2
	keysInForcePlanned = 4
)

// writeConfiguration writes the next version of the configuration. It accepts the keys of the
// latest versions, the newest first, so that a caller's key stays valid for some versions.
func (tb *testbed) writeConfiguration() {
	tb.configVersion++
	kept, timeout := keysInForce, requestDeadline
	if tb.options.Planned {
		kept, timeout = keysInForcePlanned, maxStreamDeadline
	}
	var keys []string
	for n := range kept {
		keys = append(keys, fmt.Sprint("key-", tb.configVersion-n))
	}
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "host.example", "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300, "priority": 1, "max_attempts": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	resumable := map[string]any{"max_attempts": 2, "resumable": true, "sticky": true, "target_gap_ms": 300}
	staged := map[string]any{"max_attempts": 2, "resumable": true, "sticky": true, "target_gap_ms": 300, "stages": []map[string]any{
		{"service": "stage", "after": []int{}, "bytes": 1000},
		{"service": "stage", "after": []int{0}, "bytes": 1000},
	}}
	service := func(name string, more map[string]any) map[string]any {
		s := map[string]any{"name": name, "health_path": "/health", "max_connections": 200}
		for k, v := range more {
			s[k] = v
		}
		return s
	}
	tb.store.Put("config", "main", map[string]any{
		"version": tb.configVersion,
		"routes": []map[string]any{
			route("once", "/once/", "non_idempotent", "plain", nil),
			route("get", "/get/", "idempotent", "plain", map[string]any{"max_attempts": 2}),
			route("stream", "/stream/", "streaming", "engine", map[string]any{"sticky": true, "target_gap_ms": 300}),
			route("resume", "/stream-resume/", "streaming", "engine", resumable),
			route("staged", "/stream-staged/", "streaming", "engine", staged),
		},
		"services": []map[string]any{
			service("plain", nil),
			service("engine", map[string]any{"engine": map[string]any{"slots": 8}, "cold_per_s": tb.coldRate()}),
			service("stage", map[string]any{"segments": map[string]any{
				"slots": 1, "queue": 2, "batch": 8, "call_ms": 20.0, "item_ms": 1.0, "headroom_mb": 10.0, "handle_s": 4.0,
			}}),
		},
		"tenants": []map[string]any{{"name": "account-1", "api_keys": keys}},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 65536},
	})
	tb.keys.Store(&keys)
}
