// Package dev implements the embedded mode for evaluation: one process with an instance, an
// in-memory emulator of the platform and emulated targets.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	platformemulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	targetemulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/examples"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Sample holds the records of the sample, in the file format of the operators' client.
var Sample = examples.Records()

// SampleKey is the caller key of the sample's client account.
const SampleKey = "demo-key"

const (
	loopback       = "127.0.0.1:0"
	dataCentre     = "local"
	targetsPerPool = 2
	readTimeout    = 5 * time.Second
	callTime       = 10 * time.Millisecond
	tokenTime      = 5 * time.Millisecond
)

// World is the platform and the targets that an instance in dev mode uses.
type World struct {
	Store *platformemulator.Store
	// PlatformURL is the base URL of the platform for the operators' client.
	PlatformURL string
	servers     []*http.Server
	targets     []*targetemulator.Target
	wrapTarget  func(http.Handler) http.Handler
	// callTime and tokenTime are the work times of targets per call and per token.
	callTime, tokenTime time.Duration
}

// Option changes a World.
type Option func(*World)

// WrapTargets wraps the handler of every target.
func WrapTargets(wrap func(http.Handler) http.Handler) Option {
	return func(w *World) { w.wrapTarget = wrap }
}

// WorkTimes sets the work times of a target per call and per token.
func WorkTimes(call, token time.Duration) Option {
	return func(w *World) { w.callTime, w.tokenTime = call, token }
}

// Start starts the platform and the targets on loopback and loads the sample.
func Start(ctx context.Context, options ...Option) (*World, error) {
	w := &World{Store: platformemulator.New(platformemulator.Options{TargetLag: time.Millisecond})}
	w.wrapTarget = func(target http.Handler) http.Handler { return target }
	w.callTime, w.tokenTime = callTime, tokenTime
	for _, option := range options {
		option(w)
	}
	address, err := w.serve(w.Store.Handler())
	if err != nil {
		return nil, err
	}
	w.PlatformURL = "http://" + address
	pools, err := w.loadSample(ctx)
	if err != nil {
		w.Close()
		return nil, err
	}
	for _, pool := range pools {
		if err := w.startTargets(pool); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// Close stops the platform and the targets.
func (w *World) Close() {
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
}

// loadSample writes the sample's records and returns its pools.
func (w *World) loadSample(ctx context.Context) ([]*catalog.Pool, error) {
	documents, faults := record.ParseFile(Sample)
	if len(faults) > 0 {
		return nil, errors.Wrap(faults, "dev: sample")
	}
	items, faults := record.Check(documents)
	if len(faults) > 0 {
		return nil, errors.Wrap(faults, "dev: sample")
	}
	store := w.Store.Local("dev")
	var pools []*catalog.Pool
	for i, doc := range documents {
		if _, err := store.Create(ctx, string(doc.Kind), doc.Object); err != nil {
			return nil, errors.Wrapf(err, "dev: write %s", doc.QualifiedName())
		}
		if pool, ok := items[i].(*catalog.Pool); ok {
			pools = append(pools, pool)
		}
	}
	return pools, nil
}

func (w *World) startTargets(pool *catalog.Pool) error {
	for i := range targetsPerPool {
		incarnation := fmt.Sprintf("%s-%d", pool.Name, i+1)
		t := targetemulator.New(targetemulator.Options{
			Kind:        pool.Kind,
			Incarnation: incarnation,
			Slots:       pool.Slots,
			CallTime:    w.callTime,
			TokenTime:   w.tokenTime,
		})
		address, err := w.serve(w.wrapTarget(t.Handler()))
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		w.Store.RegisterTarget(platformapi.TargetEntry{
			Pool:        pool.Name,
			Address:     address,
			DataCentre:  dataCentre,
			Incarnation: incarnation,
			State:       platformapi.TargetReady,
		})
	}
	return nil
}

func (w *World) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "dev: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return listener.Addr().String(), nil
}
