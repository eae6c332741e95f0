// Package settings parses an instance's INI file into typed settings. All faults of
// a file are reported at once, each with its section, key and line. example.ini in
// this folder documents every key.
package settings

import "time"

// Settings holds all settings of an instance.
type Settings struct {
	Instance   Instance
	Listen     Listen
	Platform   Platform
	Peers      Peers
	Limits     Limits
	Routing    Routing
	Shutdown   Shutdown
	Telemetry  Telemetry
	Status     Status
	Claims     Claims
	Orders     Orders
	Retries    Retries
	Warmup     Warmup
	Targets    Targets
	Scheduling Scheduling
}

// Instance identifies this instance.
type Instance struct {
	// Name is unique among the live instances of the cluster.
	Name string
	// DataCentre is the data centre in which the instance runs.
	DataCentre string
	// Cluster separates installations that share one platform.
	Cluster string
	// Capacity is the instance's processor share, in cores. Duties that one
	// instance performs for all are assigned to the instance with the largest
	// capacity.
	Capacity float64
	// FirstStart is true if the whole installation starts for the first time, so that
	// no instance has served callers before.
	FirstStart bool
}

// Listen holds the addresses that the instance listens on, each as IP:port.
type Listen struct {
	// Callers is the address of the callers' HTTP API.
	Callers string
	// Peers is the address for other instances. It is advertised to them, so it
	// cannot be the unspecified address.
	Peers string
	// Admin is the address of health, readiness and metrics.
	Admin string
	// Metrics is an additional address that serves only metrics; empty for none.
	Metrics string
}

// Platform configures access to the platform's object API.
type Platform struct {
	URL string
	// Timeout limits one call; the platform limits a watch.
	Timeout time.Duration
	// CallsPerSecond limits the reads of this instance, including retries. Writes
	// have a separate limit, a fixed fraction of this one.
	CallsPerSecond float64
	// DataCentreDrains is true if operators may request the drain of a data centre by an
	// object of the platform. Without it these objects aren't watched.
	DataCentreDrains bool
}

// Peers configures how instances connect to and authenticate one another.
type Peers struct {
	// Seeds are peer addresses, IP:port, to try before the platform's list of
	// live instances is known.
	Seeds []string
	// TLSCert, TLSKey and TLSCA are PEM files for mutual TLS: all three or none.
	// Without them Listen.Peers must be a loopback address, unless Cleartext is
	// set.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// Cleartext allows connections between instances without TLS on non-loopback
	// addresses, for networks that only instances can reach.
	Cleartext bool
}

// TLS reports whether mutual TLS is configured.
func (p Peers) TLS() bool {
	return p.TLSCert != "" && p.TLSKey != "" && p.TLSCA != ""
}

// Limits limits the resources that callers may use.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// MaxStreams is the maximum number of concurrent streamed responses.
	MaxStreams int
	// MaxInFlight is the maximum number of concurrent requests.
	MaxInFlight int
}

// Routing holds the routing settings of an instance.
type Routing struct {
	// Subset is the number of targets of a pool that the instance connects to; 0
	// means all.
	Subset int
}

// Shutdown configures the phases of a graceful shutdown.
type Shutdown struct {
	// Grace is the maximum wait for requests in flight.
	Grace time.Duration
	// BalancerDelay is how long the load balancer may continue to send requests
	// after the instance reports that it is not ready.
	BalancerDelay time.Duration
}

// Telemetry configures logs and traces.
type Telemetry struct {
	// OTLPEndpoint is the URL of an OTLP/HTTP collector; empty turns tracing off.
	OTLPEndpoint string
	// LogLevel is the klog verbosity; 0 logs only what an operator must see.
	LogLevel int
}

// Status limits the request status kept in memory.
type Status struct {
	// RingSize is the maximum number of requests kept.
	RingSize int
	// Retention is how long the status of a finished request is kept.
	Retention time.Duration
}

// Claims configures the claims of requests that may not be repeated.
type Claims struct {
	// Retention is how long a claim is kept after its request. A retry with the
	// same idempotency key within this time gets the recorded response.
	Retention time.Duration
}

// Orders limits the orders that instances send to targets.
type Orders struct {
	// LongestOrder is the maximum time from the check of an order to its end at the
	// target. The successor of a failed lease holder waits for this time before it
	// sends orders to targets that do not check fencing numbers.
	LongestOrder time.Duration
}

// Retries limits the requests that all instances together retry at a service.
type Retries struct {
	// Share is the maximum fraction of the service's requests that are retries, 0
	// to 1, and Slack the number of retries allowed on top, both within Window.
	Share  float64
	Slack  float64
	Window time.Duration
}

// Targets configures the connections to targets.
type Targets struct {
	// SourceAddress is the IP address that the connections are opened from; empty lets the system
	// choose. Only for the gateway.
	SourceAddress string
}

// Scheduling selects decisions under load that are off by default. Only for the gateway.
type Scheduling struct {
	// AccountSharing shares scarce capacity between client accounts.
	AccountSharing bool
	// AccountWeights has the weights of client accounts whose weight isn't 1, by name. It needs
	// AccountSharing.
	AccountWeights map[string]float64
	// RetryReservations reserves capacity for callers that are told when to retry.
	RetryReservations bool
	// ResultFlowControl releases work into a stage by the capacity of the stages after it.
	ResultFlowControl bool
	// CostPlacement chooses targets by predicted cost and by the work that each has left.
	CostPlacement bool
}

// Warmup limits the requests that all instances together send to one target in any second,
// for services whose configuration has a rate that a cold target bears. The limit is that
// rate times Overage, plus Slack.
type Warmup struct {
	Overage float64
	Slack   float64
}

// Default returns the settings of an empty file. The required keys
// (instance.name, instance.data_centre, platform.url) are empty.
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
		Warmup:    Warmup{Overage: 1},
	}
}
