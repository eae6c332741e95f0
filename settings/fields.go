package settings

import "time"

// Upper limits of values. A setting above them is more likely a mistake than
// intended.
const (
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 1 << 20
	maxCount       = 1 << 20
	maxCores       = 1024
	maxLogLevel    = 10
	minWeight      = 0.001
	maxWeight      = 1000
	maxRetention   = 366 * 24 * time.Hour
)

// field binds one key of the file to a field of Settings.
type field struct {
	section  string
	key      string
	value    value
	required bool
}

// fields returns every key in the order of example.ini.
func (s *Settings) fields() []field {
	return []field{
		{"instance", "name", name(&s.Instance.Name), true},
		{"instance", "data_centre", name(&s.Instance.DataCentre), true},
		{"instance", "cluster", name(&s.Instance.Cluster), true},
		{"instance", "capacity", float{&s.Instance.Capacity, 0.001, maxCores}, true},
		{"instance", "first_start", boolean{&s.Instance.FirstStart}, true},

		{"listen", "callers", address{&s.Listen.Callers}, true},
		{"listen", "peers", address{&s.Listen.Peers}, true},
		{"listen", "admin", address{&s.Listen.Admin}, true},
		{"listen", "metrics", address{&s.Listen.Metrics}, false},

		{"platform", "url", httpURL{&s.Platform.URL}, true},
		{"platform", "timeout", duration{&s.Platform.Timeout, time.Millisecond, time.Minute}, true},
		{"platform", "calls_per_second", float{&s.Platform.CallsPerSecond, 0.1, 10000}, true},
		{"platform", "data_centre_drains", boolean{&s.Platform.DataCentreDrains}, true},

		{"peers", "seeds", addressList{&s.Peers.Seeds}, false},
		{"peers", "tls_cert", text{p: &s.Peers.TLSCert}, false},
		{"peers", "tls_key", text{p: &s.Peers.TLSKey}, false},
		{"peers", "tls_ca", text{p: &s.Peers.TLSCA}, false},
		{"peers", "cleartext", boolean{&s.Peers.Cleartext}, true},

		{"limits", "max_body_bytes", integer[int64]{&s.Limits.MaxBodyBytes, 1, maxBodyBytes}, true},
		{"limits", "max_header_bytes", integer[int]{&s.Limits.MaxHeaderBytes, 1024, maxHeaderBytes}, true},
		{"limits", "header_timeout", duration{&s.Limits.HeaderTimeout, time.Millisecond, time.Minute}, true},
		{"limits", "idle_timeout", duration{&s.Limits.IdleTimeout, time.Millisecond, time.Hour}, true},
		{"limits", "max_streams", integer[int]{&s.Limits.MaxStreams, 1, maxCount}, true},
		{"limits", "max_in_flight", integer[int]{&s.Limits.MaxInFlight, 1, maxCount}, true},

		{"routing", "subset", integer[int]{&s.Routing.Subset, 0, maxCount}, true},

		{"shutdown", "grace", duration{&s.Shutdown.Grace, 0, time.Hour}, true},
		{"shutdown", "balancer_delay", duration{&s.Shutdown.BalancerDelay, 0, time.Minute}, true},

		{"telemetry", "otlp_endpoint", httpURL{&s.Telemetry.OTLPEndpoint}, false},
		{"telemetry", "log_level", integer[int]{&s.Telemetry.LogLevel, 0, maxLogLevel}, true},

		{"status", "ring_size", integer[int]{&s.Status.RingSize, 1, maxCount}, true},
		{"status", "retention", duration{&s.Status.Retention, time.Second, 24 * time.Hour}, true},

		{"claims", "retention", duration{&s.Claims.Retention, time.Minute, maxRetention}, true},

		{"orders", "longest_order", duration{&s.Orders.LongestOrder, time.Second, time.Hour}, true},

		{"retries", "share", float{&s.Retries.Share, 0, 1}, true},
		{"retries", "slack", float{&s.Retries.Slack, 0, maxCount}, true},
		{"retries", "window", duration{&s.Retries.Window, 100 * time.Millisecond, time.Hour}, true},

		{"warmup", "overage", float{&s.Warmup.Overage, 0.001, maxCount}, true},
		{"warmup", "slack", float{&s.Warmup.Slack, 0, maxCount}, true},

		{"targets", "source_address", ipAddress{&s.Targets.SourceAddress}, false},

		{"scheduling", "account_sharing", boolean{&s.Scheduling.AccountSharing}, true},
		{"scheduling", "account_weights", weights{&s.Scheduling.AccountWeights, minWeight, maxWeight}, false},
		{"scheduling", "retry_reservations", boolean{&s.Scheduling.RetryReservations}, true},
		{"scheduling", "result_flow_control", boolean{&s.Scheduling.ResultFlowControl}, true},
		{"scheduling", "cost_placement", boolean{&s.Scheduling.CostPlacement}, true},
	}
}
