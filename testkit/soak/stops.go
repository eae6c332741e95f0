package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
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

// plan does planned work until the time is over: stops in series that overlap,
// configuration changes, and targets that are replaced. All that is drawn is drawn
// here, from a source of its own, so that a seed gives the same series.
func (w *world) plan(until time.Time, rest time.Duration) {
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var wg sync.WaitGroup
	wg.Go(func() { w.changes(until, rest, rand.New(rand.NewPCG(w.options.Seed, 1<<32))) })
	for time.Now().Before(until) {
		var last time.Duration
		for _, s := range w.series(random) {
			w.note("planned: %+v of %s", s.times(), s.in.name)
			last = s.after
			wg.Go(func() {
				time.Sleep(s.after)
				w.stop(s)
			})
		}
		time.Sleep(last + rest + between(random, 0, time.Second))
	}
	wg.Wait()
}

// series draws stops of half to all instances, one or two at a time.
func (w *world) series(random *rand.Rand) []stop {
	order := random.Perm(len(w.instances))
	least := (len(order) + 1) / 2
	order = order[:least+random.IntN(len(order)-least+1)]
	gap := between(random, 200*time.Millisecond, time.Second)
	together := 1 + random.IntN(2)
	stops := make([]stop, 0, len(order))
	for i, n := range order {
		s := drawStop(random)
		s.in, s.after = w.instances[n], time.Duration(i/together)*gap
		stops = append(stops, s)
	}
	return stops
}

// drawStop draws what happens to a process around its stop.
func drawStop(random *rand.Rand) stop {
	s := stop{down: between(random, 0, 300*time.Millisecond)}
	again := between(random, time.Millisecond, 2*time.Second)
	hangup := between(random, 0, time.Second)
	// The end of the delay comes while the process is paused.
	freeze := between(random, balancerDelay-250*time.Millisecond, balancerDelay-20*time.Millisecond)
	thaw := between(random, balancerDelay+20*time.Millisecond, balancerDelay+200*time.Millisecond)
	earlyAfter := between(random, 0, 250*time.Millisecond)
	switch random.IntN(8) {
	case 0:
		s.again = again
	case 1:
		s.hangup, s.delay = hangup, balancerDelay+between(random, 0, 100*time.Millisecond)
	case 2, 3, 4, 5, 6:
		s.freeze, s.thaw = freeze, thaw
	}
	s.early, s.earlyAfter = random.IntN(5) == 0, earlyAfter
	return s
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
	add(s.hangup, func() { w.reread(in, s.delay) })
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
	case <-time.After(time.Until(begin.Add(grace + lateGrace))):
		if w.options.Planned {
			w.breach("%s still runs %v after its stop began", in.name, grace+lateGrace)
		}
		in.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// reread writes an instance's settings anew and has it read them.
func (w *world) reread(in *instance, delay time.Duration) {
	if err := in.writeSettings(delay); err != nil {
		w.breach("settings of %s: %v", in.name, err)
	}
	in.signal(syscall.SIGHUP, false)
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}
