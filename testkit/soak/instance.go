package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// Times of a planned stop in the settings of the instances.
const (
	// shortGrace ends while streams still wait for slow stages.
	grace         = 4 * time.Second
	shortGrace    = 2500 * time.Millisecond
	balancerDelay = 500 * time.Millisecond
	// graceTolerance is how much longer than its grace a process may run; a paused or busy
	// process needs part of it.
	graceTolerance = 2 * time.Second
)

// instance is one daemon, started again whenever it ends.
type instance struct {
	name string
	// sourceAddress is the IP address from which it connects to targets.
	sourceAddress string
	callerAddress string
	adminAddress  string
	settingsPath  string
	// baseSettings are the settings without the times of a planned stop.
	baseSettings string
	log          *os.File
	// grace is the time limit of a planned stop.
	grace time.Duration
	// singleThread sets GOMAXPROCS=1, as on a small machine: after a pause, expired timers run
	// before pending socket data is read.
	singleThread bool
	// restarting is locked from the time that the soak ends the process until the next start.
	restarting sync.Mutex

	mu sync.Mutex
	// disturbedAt is when the process was last started or sent a signal.
	disturbedAt time.Time
	process     *exec.Cmd
	history     *processHistory
	// histories are those of all processes, including the current one.
	histories []*processHistory
	// exited is closed when the current process has exited.
	exited chan struct{}
	// endRequested reports whether the soak itself ended the current process.
	endRequested bool
}

// addInstance writes an instance's settings and starts it.
func (tb *testbed) addInstance(name string) error {
	path, err := relay.Start("127.0.0.1:0", tb.storeHTTP.Listener.Addr().String())
	if err != nil {
		return err
	}
	tb.relays[name] = path
	ports, err := tb.reservePorts(3)
	if err != nil {
		return err
	}
	source := fmt.Sprintf("127.200.0.%d", len(tb.instances)+1)
	in := &instance{
		name: name, sourceAddress: source, callerAddress: ports[0], adminAddress: ports[1], settingsPath: filepath.Join(tb.options.Dir, name+".ini"),
		grace: grace, singleThread: tb.options.Planned && len(tb.instances)%2 == 0,
		baseSettings: fmt.Sprintf("[instance]\nname = %s\ndata_centre = x\n[listen]\ncallers = %s\nadmin = %s\npeers = %s\n"+
			"[platform]\nurl = http://%s\ncalls_per_second = 200\ndata_centre_drains = true\n"+
			"[warmup]\noverage = %v\nslack = %v\n[targets]\nsource_address = %s\n", name, ports[0], ports[1], ports[2], path.Addr(), coldOverage, coldSlack, source),
	}
	if tb.options.Accounts {
		in.baseSettings += schedulingSettings
	}
	if tb.options.Planned && len(tb.instances)%3 == 1 {
		in.grace = shortGrace
	}
	if err := in.writeSettings(balancerDelay); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(tb.options.Dir, name+".log")); err != nil {
		return err
	}
	tb.instances = append(tb.instances, in)
	return tb.launch(in)
}

// writeSettings replaces the settings file atomically.
func (in *instance) writeSettings(delay time.Duration) error {
	text := in.baseSettings + fmt.Sprintf("[shutdown]\ngrace = %s\nbalancer_delay = %s\n", in.grace, delay)
	if err := os.WriteFile(in.settingsPath+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(in.settingsPath+".new", in.settingsPath)
}

// launch starts an instance's process and watches for its exit.
func (tb *testbed) launch(in *instance) error {
	command := exec.Command(tb.options.Binary, "gateway", "--config", in.settingsPath)
	command.Stdout, command.Stderr = in.log, in.log
	if in.singleThread {
		command.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	// The kernel kills the process when this one ends, for whatever reason.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	in.mu.Lock()
	ended := make(chan struct{})
	history := &processHistory{instance: in.name, grace: in.grace, launchedAt: time.Now()}
	in.process, in.history, in.endRequested, in.exited = command, history, false, ended
	in.histories = append(in.histories, history)
	in.disturbedAt = time.Now()
	in.mu.Unlock()
	go func() {
		defer close(ended)
		err := command.Wait()
		history.recordExit()
		in.mu.Lock()
		endRequested := in.endRequested
		in.mu.Unlock()
		if !endRequested {
			tb.violation("%s ended by itself: %v", in.name, err)
		}
		if err != nil && tb.options.Planned && history.mustExitCleanly() {
			tb.violation("a planned stop ended with %v: %s", err, history.describe(time.Now()))
		}
	}()
	return nil
}

// signal sends a signal to an instance's process; ends marks an end that the soak requests.
func (in *instance) signal(s syscall.Signal, ends bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.endRequested = in.endRequested || ends
	in.send(s)
}

// send sends a signal. The caller holds in.mu.
func (in *instance) send(s syscall.Signal) {
	in.history.recordSignal(s)
	in.disturbedAt = time.Now()
	_ = in.process.Process.Signal(s) // the process may have exited
}

// undisturbedFor reports whether the process was neither started nor sent a signal in the last span.
func (in *instance) undisturbedFor(span time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return time.Since(in.disturbedAt) >= span
}

// reload sends SIGHUP, so that the process reads its settings again. It waits until the
// process handles signals: before that, SIGHUP ends a process by default.
func (in *instance) reload() {
	for {
		in.mu.Lock()
		early := startupTime - time.Since(in.history.launchedAt)
		if early <= 0 {
			in.send(syscall.SIGHUP)
			in.mu.Unlock()
			return
		}
		in.mu.Unlock()
		time.Sleep(early)
	}
}

// current returns the history of the running process, or of the last one.
func (in *instance) current() (history *processHistory, ended <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.history, in.exited
}

// processes returns the histories of all processes so far.
func (in *instance) processes() []*processHistory {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.histories)
}

// awaitExit waits until the current process has exited.
func (in *instance) awaitExit() {
	_, ended := in.current()
	<-ended
}
