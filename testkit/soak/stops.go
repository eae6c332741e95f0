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
	after time.Duration
	// again is when SIGTERM comes a second time.
	again time.Duration
	// hangup is when SIGHUP comes, after the settings were written with this delay
	// for the balancer.
	hangup, delay time.Duration
	// freeze and thaw are when the process is paused and continued.
	freeze, thaw time.Duration
	// down is the time from the process' end to the next start.
	down time.Duration
	// early tells that the next process is stopped at its start, as long after the
	// launch as earlyAfter.
	early      bool
	earlyAfter time.Duration
}

// times are what is noted of a stop.
func (s stop) times() any {
	return struct {
		After, Again, Hangup, Freeze, Thaw time.Duration
		Early                              bool
	}{s.after, s.again, s.hangup, s.freeze, s.thaw, s.early}
}

// stop stops an instance and starts it again. One that is stopping or down already
// is left alone.
func (w *world) stop(s stop) {
	if !s.in.restarting.TryLock() {
		return
	}
	defer s.in.restarting.Unlock()
	w.end(s)
	time.Sleep(s.down)
	w.start(s.in)
	if s.early {
		time.Sleep(s.earlyAfter)
		w.end(stop{in: s.in})
		w.start(s.in)
	}
}

func (w *world) start(in *instance) {
	if err := w.launch(in); err != nil {
		w.breach("%s doesn't start: %v", in.name, err)
	}
}

// event is something that is done during a stop.
type event struct {
	at time.Duration
	do func()
}

// end does a stop's events in turn and waits for the end of the process.
func (w *world) end(s stop) {
	in := s.in
	_, ended := in.present()
	events := []event{{0, func() { in.signal(syscall.SIGTERM, true) }}}
	add := func(at time.Duration, do func()) {
		if at > 0 {
			events = append(events, event{at, do})
		}
	}
	add(s.again, func() { in.signal(syscall.SIGTERM, true) })
	add(s.hangup, func() { w.rewrite(in, s.delay) })
	add(s.freeze, func() { in.signal(syscall.SIGSTOP, false) })
	add(s.thaw, func() { in.signal(syscall.SIGCONT, false) })
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
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
	case <-time.After(time.Until(begin.Add(in.grace + lateGrace))):
		if w.options.Planned {
			w.breach("%s still runs %v after its stop began", in.name, in.grace+lateGrace)
		}
		in.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// rewrite writes an instance's settings anew and has it read them.
func (w *world) rewrite(in *instance, delay time.Duration) {
	if err := in.writeSettings(delay); err != nil {
		w.breach("settings of %s: %v", in.name, err)
	}
	in.signal(syscall.SIGHUP, false)
}
