package relay

import (
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/drain"
)

// maxKinds bounds the kinds of request that durations are known of: several times the
// routes of a configuration.
const maxKinds = 1024

// durations are the usual times of answers by route, from the sending of the request
// to the answer's end.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*drain.Usual
}

func newDurations() *durations { return &durations{byRoute: map[string]*drain.Usual{}} }

// observe takes in an answer's time.
func (d *durations) observe(route string, taken time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.byRoute[route]
	if u == nil {
		if len(d.byRoute) >= maxKinds {
			clear(d.byRoute)
		}
		u = &drain.Usual{}
		d.byRoute[route] = u
	}
	u.Observe(taken)
}

// of returns how long an answer of a route usually takes, and at most: longer than any
// stop if that isn't known.
func (d *durations) of(route string) (usual, longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.byRoute[route]
	if u == nil {
		return drain.Unobserved, unbounded
	}
	longest, known := u.Longest()
	if !known {
		longest = unbounded
	}
	return u.Time(), longest
}
