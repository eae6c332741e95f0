package soak

import (
	"cmp"
	"slices"
	"syscall"
	"time"
)

// stop is one planned stop of an instance. Times count from the first SIGTERM; events with a
// zero time don't happen.
type stop struct {
	in *instance
	// offset is when the stop begins, counted from the start of the series.
	offset time.Duration
	// secondTermAt is when a second SIGTERM is sent.
	secondTermAt time.Duration
	// reloadAt is when the settings are rewritten with newDelay as balancer delay and SIGHUP
	// is sent.
	reloadAt, newDelay time.Duration
	// pauseAt and resumeAt are when the process is paused and resumed.
	pauseAt, resumeAt time.Duration
	// downtime is the time from the exit of the process to the next start.
	downtime time.Duration
	// stopNextEarly has the next process stopped during startup, earlyOffset after its launch.
	stopNextEarly bool
	earlyOffset   time.Duration
}

// times returns the values of a stop that are logged.
func (s stop) times() any {
	return struct {
		After, Again, Hangup, Freeze, Thaw time.Duration
		Early                              bool
	}{s.offset, s.secondTermAt, s.reloadAt, s.pauseAt, s.resumeAt, s.stopNextEarly}
}

// runStop stops an instance and starts it again. It does nothing if the instance is already
// stopping or down.
func (tb *testbed) runStop(s stop) {
	if !s.in.restarting.TryLock() {
		return
	}
	defer s.in.restarting.Unlock()
	tb.performStop(s)
	time.Sleep(s.downtime)
	tb.relaunch(s.in)
	if s.stopNextEarly {
		time.Sleep(s.earlyOffset)
		tb.performStop(stop{in: s.in})
		tb.relaunch(s.in)
	}
}

func (tb *testbed) relaunch(in *instance) {
	if err := tb.launch(in); err != nil {
		tb.violation("%s doesn't start: %v", in.name, err)
	}
}

// stopAction is an action during a stop.
type stopAction struct {
	at time.Duration
	do func()
}

// performStop performs the actions of a stop in order and waits for the exit of the process.
func (tb *testbed) performStop(s stop) {
	in := s.in
	_, ended := in.current()
	actions := []stopAction{{0, func() { in.signal(syscall.SIGTERM, true) }}}
	add := func(at time.Duration, do func()) {
		if at > 0 {
			actions = append(actions, stopAction{at, do})
		}
	}
	add(s.secondTermAt, func() { in.signal(syscall.SIGTERM, true) })
	add(s.reloadAt, func() { tb.rewriteSettings(in, s.newDelay) })
	add(s.pauseAt, func() { in.signal(syscall.SIGSTOP, false) })
	add(s.resumeAt, func() { in.signal(syscall.SIGCONT, false) })
	slices.SortStableFunc(actions, func(a, b stopAction) int { return cmp.Compare(a.at, b.at) })
	begin := time.Now()
	for _, e := range actions {
		select {
		case <-ended:
			return
		case <-time.After(time.Until(begin.Add(e.at))):
			e.do()
		}
	}
	select {
	case <-ended:
	case <-time.After(time.Until(begin.Add(in.grace + graceTolerance))):
		if tb.options.Planned {
			tb.violation("%s still runs %v after its stop began", in.name, in.grace+graceTolerance)
		}
		in.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// rewriteSettings rewrites an instance's settings and sends SIGHUP.
func (tb *testbed) rewriteSettings(in *instance, delay time.Duration) {
	if err := in.writeSettings(delay); err != nil {
		tb.violation("settings of %s: %v", in.name, err)
	}
	in.signal(syscall.SIGHUP, false)
}
