package relay

import (
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/drain"
)

// maxKinds bounds the kinds of request that durations are known of: several times the
// routes of a configuration.
const maxRoutes = 1024

// durations are the usual times of answers by route, from the sending of the request
// to the answer's end.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*drain.DurationEstimate
}

func newDurations() *durations { return &durations{byRoute: map[string]*drain.DurationEstimate{}} }

// observe takes in an answer's time.
func (d *durations) observe(route string, taken time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.byRoute[route]
	if u == nil {
		if len(d.byRoute) >= maxRoutes {
			clear(d.byRoute)
		}
		u = &drain.DurationEstimate{}
		d.byRoute[route] = u
	}
	u.Observe(taken)
}

// usual is how long an answer of a route usually takes.
func (d *durations) estimate(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.byRoute[route]; u != nil {
		return u.Value()
	}
	return drain.DefaultDuration
}
