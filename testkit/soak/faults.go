package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// injectFaults starts sampled faults until the given time, several of which may overlap, and
// waits for their ends.
func (tb *testbed) injectFaults(until time.Time) {
	done := make(chan struct{}, 64)
	running := 0
	for time.Now().Before(until) {
		fault := tb.sampleFault()
		running++
		go func() {
			fault()
			done <- struct{}{}
		}()
		time.Sleep(time.Duration(100+tb.random.IntN(500)) * time.Millisecond)
	}
	for ; running > 0; running-- {
		<-done
	}
}

// sampleFault samples a fault. It samples all values whatever the kind, so that a seed gives
// the same series of faults.
func (tb *testbed) sampleFault() func() {
	in := tb.instances[tb.random.IntN(len(tb.instances))]
	names := []string{"plain-1", "plain-2", "engine-1", "engine-2", "stage-1"}
	target := names[tb.random.IntN(len(names))]
	span := time.Duration(200+tb.random.IntN(1500)) * time.Millisecond
	path := in.name
	if tb.random.IntN(2) == 0 {
		path = target
	}
	kind := tb.random.IntN(12)
	behaviour := standin.Fault(tb.random.IntN(int(standin.Unframed) + 1))
	every := 2 + tb.random.IntN(10)
	tb.logf("kind %d, %s, %s, path %s, %v, fault %d of one in %d", kind, in.name, target, path, span, behaviour, every)
	switch kind {
	case 0:
		return func() { tb.restart(in, syscall.SIGKILL, span) }
	case 1:
		return func() { tb.restart(in, syscall.SIGTERM, 0) }
	case 2:
		return func() {
			in.signal(syscall.SIGSTOP, false)
			time.Sleep(span)
			in.signal(syscall.SIGCONT, false)
		}
	case 3:
		return func() { tb.disturbPath(path, span, func(r *relay.Relay) { r.Mute(relay.Both) }) }
	case 4:
		return func() { tb.disturbPath(path, span, func(r *relay.Relay) { r.MuteNew(relay.Both) }) }
	case 5:
		return func() {
			end := tb.breaks.begin(path)
			tb.disturbPath(path, span, (*relay.Relay).Reset)
			end()
		}
	case 6:
		return func() { tb.disturbPath(path, span, func(r *relay.Relay) { r.Delay(relay.Both, span/10) }) }
	case 7:
		return func() {
			tb.store.Refuse(func(*http.Request) int { return http.StatusServiceUnavailable })
			time.Sleep(span)
			tb.store.Refuse(nil)
		}
	case 8:
		return tb.store.Compact
	case 9:
		return tb.reconfigure
	case 10:
		return func() { tb.injectTargetFault(target, behaviour, every, span) }
	default:
		return in.reload
	}
}

func (tb *testbed) logf(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faults = append(tb.faults, fmt.Sprintf(format, args...))
}

// reconfigure writes a configuration version. A key is valid for two versions only, so at most
// one version a second may be written.
func (tb *testbed) reconfigure() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.writeConfiguration()
}

// restart ends an instance and starts it again after the given time.
func (tb *testbed) restart(in *instance, s syscall.Signal, after time.Duration) {
	in.restarting.Lock()
	defer in.restarting.Unlock()
	in.signal(syscall.SIGCONT, false)
	in.signal(s, true)
	in.awaitExit()
	time.Sleep(after)
	if err := tb.launch(in); err != nil {
		tb.violation("%s doesn't start: %v", in.name, err)
	}
}

// disturbPath applies a fault to a relay and restores it after the given time.
func (tb *testbed) disturbPath(name string, span time.Duration, disturb func(*relay.Relay)) {
	_, path := tb.target(name)
	disturb(path)
	time.Sleep(span)
	err := path.Restore()
	tb.mu.Lock()
	departed := tb.departed[name]
	tb.mu.Unlock()
	if err != nil && !departed {
		tb.violation("path %s doesn't heal: %v", name, err)
	}
}

// injectTargetFault makes a target inject the fault into one in the given number of requests
// for a while.
func (tb *testbed) injectTargetFault(name string, fault standin.Fault, every int, span time.Duration) {
	n := 0
	end := tb.injector.injectAt(name, func() standin.Fault {
		if n++; n%every == 0 {
			return fault
		}
		return standin.NoFault
	})
	time.Sleep(span)
	end()
}
