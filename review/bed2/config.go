package bed2

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Objective, Timeout, Gap     int64 // in milliseconds
	MaxAttempts                 int
	Resumable                   bool
}

// Configure writes a configuration without tenants.
func (b *Bed) Configure(version int, services []string, routes ...Route) {
	config := map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	}
	var listed, named []map[string]any
	for _, r := range routes {
		route := map[string]any{
			"name": r.Name, "host": Host, "path_prefix": r.Prefix, "kind": r.Kind, "service": r.Service, "priority": 1,
			"target_latency_ms": r.Objective, "timeout_ms": r.Timeout, "max_attempts": r.MaxAttempts, "resumable": r.Resumable,
		}
		if r.Gap > 0 {
			route["target_gap_ms"] = r.Gap
		}
		listed = append(listed, route)
	}
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "health_path": "/health", "max_connections": 500})
	}
	config["routes"], config["services"] = listed, named
	b.Store.Put("config", "main", config)
}
