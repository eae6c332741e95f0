package relay

import (
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/drain"
)

// maxRoutes limits the number of routes whose durations are kept. It is several times the number
// of routes of a configuration. Where one more would be kept, all are dropped first.
const maxRoutes = 1024

// durations estimates the usual duration of responses by route, from the sending of the
// request to the end of the response.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*drain.DurationEstimate
}

func newDurations() *durations { return &durations{byRoute: map[string]*drain.DurationEstimate{}} }

// observe records the duration of a response.
func (d *durations) observe(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.byRoute[route]
	if estimate == nil {
		if len(d.byRoute) >= maxRoutes {
			clear(d.byRoute)
		}
		estimate = &drain.DurationEstimate{}
		d.byRoute[route] = estimate
	}
	estimate.Observe(duration)
}

// estimate returns a duration that most responses of a route don't exceed.
func (d *durations) estimate(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if estimate := d.byRoute[route]; estimate != nil {
		return estimate.Value()
	}
	return drain.DefaultDuration
}
