package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// harm draws faults until the time is over. They come in series and overlap.
func (w *testbed) injectFaults(until time.Time) {
	done := make(chan struct{}, 64)
	running := 0
	for time.Now().Before(until) {
		fault := w.sampleFault()
		running++
		go func() {
			fault()
			done <- struct{}{}
		}()
		time.Sleep(time.Duration(100+w.random.IntN(500)) * time.Millisecond)
	}
	for ; running > 0; running-- {
		<-done
	}
}

// draw chooses a fault. All that is drawn is drawn here, so that a seed gives the
// same series.
func (w *testbed) sampleFault() func() {
	in := w.instances[w.random.IntN(len(w.instances))]
	names := []string{"plain-1", "plain-2", "engine-1", "engine-2", "stage-1"}
	target := names[w.random.IntN(len(names))]
	span := time.Duration(200+w.random.IntN(1500)) * time.Millisecond
	path := in.name
	if w.random.IntN(2) == 0 {
		path = target
	}
	kind := w.random.IntN(12)
	behaviour := standin.Fault(w.random.IntN(int(standin.Unframed) + 1))
	every := 2 + w.random.IntN(10)
	w.logf("kind %d, %s, %s, path %s, %v, fault %d of one in %d", kind, in.name, target, path, span, behaviour, every)
	switch kind {
	case 0:
		return func() { w.restart(in, syscall.SIGKILL, span) }
	case 1:
		return func() { w.restart(in, syscall.SIGTERM, 0) }
	case 2:
		return func() {
			in.signal(syscall.SIGSTOP, false)
			time.Sleep(span)
			in.signal(syscall.SIGCONT, false)
		}
	case 3:
		return func() { w.disturbPath(path, span, func(r *relay.Relay) { r.Mute(relay.Both) }) }
	case 4:
		return func() { w.disturbPath(path, span, func(r *relay.Relay) { r.MuteNew(relay.Both) }) }
	case 5:
		return func() { w.disturbPath(path, span, (*relay.Relay).Reset) }
	case 6:
		return func() { w.disturbPath(path, span, func(r *relay.Relay) { r.Delay(relay.Both, span/10) }) }
	case 7:
		return func() {
			w.store.Refuse(func(*http.Request) int { return http.StatusServiceUnavailable })
			time.Sleep(span)
			w.store.Refuse(nil)
		}
	case 8:
		return w.store.Compact
	case 9:
		return w.reconfigure
	case 10:
		return func() { w.injectTargetFault(target, behaviour, every, span) }
	default:
		return in.reload
	}
}

func (w *testbed) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// reconfigure writes a version; the latest but one stays good, so at most one a
// second.
func (w *testbed) reconfigure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeConfiguration()
}

// restart ends an instance and starts it again after a while.
func (w *testbed) restart(in *instance, s syscall.Signal, after time.Duration) {
	in.restarting.Lock()
	defer in.restarting.Unlock()
	in.signal(syscall.SIGCONT, false)
	in.signal(s, true)
	in.awaitExit()
	time.Sleep(after)
	if err := w.launch(in); err != nil {
		w.violation("%s doesn't start: %v", in.name, err)
	}
}

// onPath harms a path and heals it.
func (w *testbed) disturbPath(name string, span time.Duration, harm func(*relay.Relay)) {
	_, path := w.target(name)
	harm(path)
	time.Sleep(span)
	if err := path.Restore(); err != nil {
		w.violation("path %s doesn't heal: %v", name, err)
	}
}

// misbehave has a target serve one request in a few badly.
func (w *testbed) injectTargetFault(name string, fault standin.Fault, every int, span time.Duration) {
	n := 0
	end := w.injector.injectAt(name, func() standin.Fault {
		if n++; n%every == 0 {
			return fault
		}
		return standin.NoFault
	})
	time.Sleep(span)
	end()
}
