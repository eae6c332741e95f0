package capacity

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/daemon/app"
	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

const pathLength = 6 * time.Second

// measurePath sends whole requests of four stages through an instance to
// emulated targets, with callers, instance and targets in this process.
func measurePath(o Options) ([]Series, error) {
	processor := Series{Quantity: "a request, caller and targets included", Unit: "ms", SizeUnit: "caller", DesignSize: 12}
	rate := Series{Quantity: "answered", Unit: "1/s", SizeUnit: "caller", DesignSize: 12}
	for _, n := range o.sizes(2, 6, 12) {
		var answered float64
		cost := o.medianOf(func() float64 {
			count, used, err := sendRequests(n)
			if err != nil || count == 0 {
				return 0
			}
			answered = float64(count) / pathLength.Seconds()
			return used.Seconds() * 1000 / float64(count)
		})
		if cost == 0 {
			return nil, errors.New("no request was answered")
		}
		processor.add(n, cost)
		rate.add(n, answered)
	}
	return []Series{processor, rate}, nil
}

// sendRequests runs n callers that each send one request after the other. It
// returns the number of successful requests and the CPU time used.
func sendRequests(n int) (answered int64, used time.Duration, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instance, stop, err := startInstance(ctx)
	if err != nil {
		return 0, 0, err
	}
	defer stop()
	var count atomic.Int64
	var wg sync.WaitGroup
	begun, end := cpuTime(), time.Now().Add(pathLength)
	for range n {
		wg.Go(func() {
			for time.Now().Before(end) {
				if sendOne(instance.CallersURL()) {
					count.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return count.Load(), cpuTime() - begun, nil
}

func startInstance(ctx context.Context) (*app.App, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	world, err := dev.Start(ctx)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	tel, err := telemetry.Start(ctx, telemetry.Options{Instance: "one"})
	if err != nil {
		cancel()
		return nil, nil, err
	}
	s := settings.Default()
	s.Instance.Name, s.Instance.DataCentre = "one", "local"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Shutdown.BalancerDelay = 0
	instance, err := app.New(s, tel, world.Store.Local("one"))
	if err != nil {
		cancel()
		return nil, nil, err
	}
	ended := make(chan error, 1)
	go func() { ended <- instance.Run(ctx) }()
	<-instance.Started()
	return instance, func() {
		cancel()
		<-ended
		world.Close()
		_ = tel.Shutdown(context.Background())
	}, nil
}

func sendOne(url string) bool {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/pipelines/dossier/requests", strings.NewReader(`{"input":"x"}`))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+dev.SampleKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
