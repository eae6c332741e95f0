package soak

import (
	"cmp"
	"slices"
	"syscall"
	"time"
)

// stop is one planned stop of an instance. Times count from the first SIGTERM; zero
// times don't happen.
type stop struct {
	in *instance
	// after is when it begins, from the series' begin.
	offset time.Duration
	// again is when SIGTERM comes a second time.
	secondTermAt time.Duration
	// hangup is when SIGHUP comes, after the settings were written with this delay
	// for the balancer.
	reloadAt, newDelay time.Duration
	// freeze and thaw are when the process is paused and continued.
	pauseAt, resumeAt time.Duration
	// down is the time from the process' end to the next start.
	downtime time.Duration
	// early tells that the next process is stopped at its start, as long after the
	// launch as earlyAfter.
	stopNextEarly bool
	earlyOffset   time.Duration
}

// times are what is noted of a stop.
func (s stop) times() any {
	return struct {
		After, Again, Hangup, Freeze, Thaw time.Duration
		Early                              bool
	}{s.offset, s.secondTermAt, s.reloadAt, s.pauseAt, s.resumeAt, s.stopNextEarly}
}

// stop stops an instance and starts it again. One that is stopping or down already
// is left alone.
func (w *testbed) runStop(s stop) {
	if !s.in.restarting.TryLock() {
		return
	}
	defer s.in.restarting.Unlock()
	w.performStop(s)
	time.Sleep(s.downtime)
	w.relaunch(s.in)
	if s.stopNextEarly {
		time.Sleep(s.earlyOffset)
		w.performStop(stop{in: s.in})
		w.relaunch(s.in)
	}
}

func (w *testbed) relaunch(in *instance) {
	if err := w.launch(in); err != nil {
		w.violation("%s doesn't start: %v", in.name, err)
	}
}

// event is something that is done during a stop.
type stopAction struct {
	at time.Duration
	do func()
}

// end does a stop's events in turn and waits for the end of the process.
func (w *testbed) performStop(s stop) {
	in := s.in
	_, ended := in.current()
	events := []stopAction{{0, func() { in.signal(syscall.SIGTERM, true) }}}
	add := func(at time.Duration, do func()) {
		if at > 0 {
			events = append(events, stopAction{at, do})
		}
	}
	add(s.secondTermAt, func() { in.signal(syscall.SIGTERM, true) })
	add(s.reloadAt, func() { w.rewriteSettings(in, s.newDelay) })
	add(s.pauseAt, func() { in.signal(syscall.SIGSTOP, false) })
	add(s.resumeAt, func() { in.signal(syscall.SIGCONT, false) })
	slices.SortStableFunc(events, func(a, b stopAction) int { return cmp.Compare(a.at, b.at) })
	begin := time.Now()
	for _, e := range events {
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
		if w.options.Planned {
			w.violation("%s still runs %v after its stop began", in.name, in.grace+graceTolerance)
		}
		in.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// rewrite writes an instance's settings anew and has it read them.
func (w *testbed) rewriteSettings(in *instance, delay time.Duration) {
	if err := in.writeSettings(delay); err != nil {
		w.violation("settings of %s: %v", in.name, err)
	}
	in.signal(syscall.SIGHUP, false)
}
