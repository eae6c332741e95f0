// Package target is the client side of the interface that targets offer. It
// makes one attempt at a time, bounds every wait, and says of an attempt that
// brought no answer whether anything can have been run.
package target

import (
	"context"
	"net"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Values used when Options leaves a field at 0.
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

// Options bounds what calls may wait for and hold.
type Options struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the time from the send to the answer's headers. An
	// answer that is not streamed sends them when the work is done.
	HeaderTimeout time.Duration
	// EventGap bounds the time without a byte within a body.
	BodyIdleTimeout time.Duration
	// ControlTimeout bounds Cancel, Load and CacheEvents as a whole.
	ControlTimeout time.Duration
	// OrderTimeout bounds Order, which lasts until the order is in force.
	OrderTimeout time.Duration
	// MaxBody bounds an answer, in bytes.
	MaxBody int64
	// IdlePerTarget and IdleTotal bound the idle connections that are kept.
	IdlePerTarget int
	IdleTotal     int
	// IdleTimeout is when an idle connection is closed.
	IdleTimeout time.Duration
	// MaxCancels bounds the cancellations under way at once; further ones are
	// left to the closing of the connection.
	MaxCancels int
	// Tracer starts a span for each call; nil means that of the process.
	Tracer trace.Tracer
	// Dial replaces the dialler; nil means that of package net.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is one attempt to run a stage at one target.
type Call struct {
	// Address is the host and port of the target.
	Address string
	// Incarnation that is meant; empty when any will do.
	Incarnation string
	// AttemptID is never used twice: a late answer to the first attempt, or its
	// cancellation, would be taken for the second's.
	AttemptID string
	RequestID string
	// Deadline is when the answer is of no more use; zero means none.
	Deadline time.Time
	// Priority is 0 (most urgent) to 9.
	Priority int
	Tier     string
	// HeaderTimeout replaces that of the Options unless it is 0.
	HeaderTimeout time.Duration
	Run           targetapi.RunRequest
}

// Meta is what the headers of an answer tell about the target. It may be
// filled beside an error.
type ResponseMeta struct {
	Incarnation string
	Leaving     bool
	// HasLoad tells whether Active, Queued and Slots were reported.
	HasLoad bool
	Active  int
	Queued  int
	Slots   int
	// Received tells whether any answer came, so that the rest means something.
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
