// Package settings reads an instance's INI file into typed settings. Every
// fault of a file is reported at once, each with its section, key and line.
// example.ini beside this file documents every key.
package settings

import "time"

// Settings is all that an instance learns from its file.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Limits    Limits
	Routing   Routing
	Shutdown  Shutdown
	Telemetry Telemetry
	Status    Status
	Claims    Claims
	Orders    Orders
	Retries   Retries
}

// Instance says who this instance is.
type Instance struct {
	// Name is unique among the live instances of the cluster.
	Name string
	// DataCentre is where the instance runs.
	DataCentre string
	// Cluster separates installations that share one platform.
	Cluster string
	// Capacity is the instance's processor share, in cores. Duties that one
	// instance does for all go to the largest.
	Capacity float64
}

// Listen holds the addresses that the instance listens on, each as IP:port.
type Listen struct {
	// Callers is the address of the callers' HTTP API.
	Callers string
	// Peers is the address for other instances. They are told to connect to
	// it, so it can't be the unspecified address.
	Peers string
	// Admin is the address of health, readiness and metrics.
	Admin string
	// Metrics is a second address of the metrics alone; empty for none.
	Metrics string
}

// Platform says how to reach the platform's object API.
type Platform struct {
	URL string
	// Timeout bounds one call; a watch is bounded by the platform.
	Timeout time.Duration
	// CallsPerSecond bounds the reads of this instance, retries included;
	// writes have a fixed share of it beside that.
	CallsPerSecond float64
}

// Peers says how instances reach and authenticate one another.
type Peers struct {
	// Seeds are peer addresses, IP:port, to try before the platform's list of
	// live instances is known.
	Seeds []string
	// TLSCert, TLSKey and TLSCA are PEM files for mutual TLS: all three or
	// none. Without them Listen.Peers must be a loopback address.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// Cleartext allows connections between instances without TLS on other than
	// loopback addresses. It is for networks that only instances reach.
	Cleartext bool
}

// TLS tells whether mutual TLS is configured.
func (p Peers) TLS() bool {
	return p.TLSCert != "" && p.TLSKey != "" && p.TLSCA != ""
}

// Limits bounds what a caller may take of the instance.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout closes a kept-alive connection without a request.
	IdleTimeout time.Duration
	// MaxStreams bounds the streamed answers that are open at once.
	MaxStreams int
	// MaxInFlight bounds the requests that are served at once.
	MaxInFlight int
}

// Routing holds the choices of routing that differ by instance.
type Routing struct {
	// Subset is how many targets of a pool the instance connects to; 0 is all.
	Subset int
}

// Shutdown holds the times of a graceful shutdown.
type Shutdown struct {
	// Grace bounds the wait for requests in flight.
	Grace time.Duration
	// BalancerDelay is how long the balancer may send new requests after the
	// instance reports that it is not ready.
	BalancerDelay time.Duration
}

// Telemetry configures logs and traces.
type Telemetry struct {
	// OTLPEndpoint is the URL of an OTLP/HTTP collector; empty turns tracing off.
	OTLPEndpoint string
	// LogLevel is the klog verbosity; 0 logs what an operator must see.
	LogLevel int
}

// Status bounds the request status kept in memory.
type Status struct {
	// RingSize is the greatest number of requests kept.
	RingSize int
	// Retention is how long a finished request is kept.
	Retention time.Duration
}

// Claims configures the claims of requests that may not be repeated.
type Claims struct {
	// Retention is how long a claim stays after its request; a retry with the
	// same idempotency key within it gets the recorded answer.
	Retention time.Duration
}

// Orders bounds the orders that instances give to targets.
type Orders struct {
	// LongestOrder bounds an order from its check to its end at the target. The
	// successor of a holder that died waits it out before it orders targets that
	// don't check fencing numbers.
	LongestOrder time.Duration
}

// Retries bounds the requests that the whole fleet sends to a service once more.
type Retries struct {
	// Share is what they may be of the requests for the service, 0 to 1, Slack
	// what may come on top within Window.
	Share  float64
	Slack  float64
	Window time.Duration
}

// Default returns the settings of an empty file. The required keys
// (instance.name, instance.data_centre, platform.url) are empty in it.
func Default() Settings {
	return Settings{
		Instance: Instance{Cluster: "ivyhollow", Capacity: 1},
		Listen: Listen{
			Callers: "127.0.0.1:8080",
			Peers:   "127.0.0.1:7400",
			Admin:   "127.0.0.1:9090",
		},
		Platform: Platform{Timeout: 2 * time.Second, CallsPerSecond: 100},
		Limits: Limits{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			HeaderTimeout:  5 * time.Second,
			IdleTimeout:    time.Minute,
			MaxStreams:     1024,
			MaxInFlight:    4096,
		},
		Shutdown:  Shutdown{Grace: 30 * time.Second, BalancerDelay: 5 * time.Second},
		Telemetry: Telemetry{},
		Status:    Status{RingSize: 16384, Retention: 10 * time.Minute},
		Claims:    Claims{Retention: 24 * time.Hour},
		Orders:    Orders{LongestOrder: 30 * time.Second},
		Retries:   Retries{Share: 0.2, Slack: 50, Window: 10 * time.Second},
	}
}
