// Package target is the client of the interface that targets offer. A call makes
// a single attempt, every wait has a timeout, and the error of an attempt without
// a response reports whether the target may have run the stage.
package target

import (
	"context"
	"net"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Defaults for fields of Options that are 0.
const (
	DefaultConnectTimeout  = time.Second
	DefaultHeaderTimeout   = 30 * time.Second
	DefaultBodyIdleTimeout = 10 * time.Second
	DefaultControlTimeout  = 2 * time.Second
	DefaultOrderTimeout    = time.Minute
	DefaultMaxBody         = 4 << 20
	DefaultIdlePerTarget   = 32
	DefaultIdleTotal       = 1024
	DefaultIdleTimeout     = 30 * time.Second
	DefaultMaxCancels      = 64
)

// Options are the timeouts and resource limits of a Client.
type Options struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the time from sending the request to receiving the
	// response headers. A target sends the headers of a response that is not
	// streamed when the work is done.
	HeaderTimeout time.Duration
	// BodyIdleTimeout bounds the time without a byte while a response body is read.
	BodyIdleTimeout time.Duration
	// ControlTimeout bounds Cancel, Load and CacheEvents as a whole.
	ControlTimeout time.Duration
	// OrderTimeout bounds Order, which returns when the order is in force.
	OrderTimeout time.Duration
	// MaxBody bounds a response body, in bytes.
	MaxBody int64
	// IdlePerTarget and IdleTotal bound the number of idle connections.
	IdlePerTarget int
	IdleTotal     int
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
	// MaxCancels bounds the concurrent cancellation requests. An attempt beyond
	// the bound is cancelled only by closing its connection.
	MaxCancels int
	// Tracer starts a span for each call; nil means the global tracer provider's.
	Tracer trace.Tracer
	// Dial opens connections; nil means net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Call holds the parameters of one attempt to run a stage on one target.
type Call struct {
	// Address is the target's host and port.
	Address string
	// Incarnation is the incarnation that must run the call; empty means any.
	Incarnation string
	// AttemptID must be unique: with a reused ID, a late response to the first
	// attempt, or its cancellation, would apply to the second.
	AttemptID string
	RequestID string
	// Deadline is the time after which the response is useless; zero means none.
	Deadline time.Time
	// Priority ranges from 0 (most urgent) to 9.
	Priority int
	Tier     string
	// HeaderTimeout overrides Options.HeaderTimeout unless it is 0.
	HeaderTimeout time.Duration
	// EndsIfSilent reports whether a stream that is silent for Options.BodyIdleTimeout ends before
	// its Deadline. nil means that it does.
	EndsIfSilent func() bool
	Run          targetapi.RunRequest
}

// ResponseMeta is what the response headers report about the target. It may be
// set even if the call returns an error.
type ResponseMeta struct {
	Incarnation string
	Leaving     bool
	// HasLoad reports whether the headers contained Active, Queued and Slots.
	HasLoad bool
	Active  int
	Queued  int
	Slots   int
	// Received reports whether a response to this attempt arrived; if not, the
	// other fields are zero.
	Received bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&o.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&o.BodyIdleTimeout, DefaultBodyIdleTimeout)
	setDefault(&o.ControlTimeout, DefaultControlTimeout)
	setDefault(&o.OrderTimeout, DefaultOrderTimeout)
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.IdlePerTarget, DefaultIdlePerTarget)
	setDefault(&o.IdleTotal, DefaultIdleTotal)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxCancels, DefaultMaxCancels)
	if o.Tracer == nil {
		o.Tracer = otel.Tracer(tracerName)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
