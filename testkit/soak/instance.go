package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// The times of a planned stop in the instances' settings.
const (
	// A short grace ends while streams wait for slow stages.
	grace         = 4 * time.Second
	shortGrace    = 2500 * time.Millisecond
	balancerDelay = 500 * time.Millisecond
	// lateGrace is how much longer than its grace a process may last; a paused or
	// busy one needs some of it.
	graceTolerance = 2 * time.Second
)

// instance is one daemon, started again whenever it ends.
type instance struct {
	name          string
	callerAddress string
	adminAddress  string
	settingsPath  string
	// text is the settings but for the times of a planned stop.
	baseSettings string
	log          *os.File
	// grace is the time that a planned stop has.
	grace time.Duration
	// oneCore has one thread run at a time, as on a small machine: what is due after a
	// pause is done in turn, timers before what lies in sockets.
	singleThread bool
	// restarting is held from an end to the next start.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	history *processHistory
	// ended is closed when the present process has ended.
	exited chan struct{}
	// asked tells that the run itself ended the present process.
	endRequested bool
}

// addInstance writes an instance's settings and starts it.
func (w *testbed) addInstance(name string) error {
	path, err := relay.Start("127.0.0.1:0", w.storeHTTP.Listener.Addr().String())
	if err != nil {
		return err
	}
	w.relays[name] = path
	ports, err := w.reservePorts(3)
	if err != nil {
		return err
	}
	in := &instance{
		name: name, callerAddress: ports[0], adminAddress: ports[1], settingsPath: filepath.Join(w.options.Dir, name+".ini"),
		grace: grace, singleThread: w.options.Planned && len(w.instances)%2 == 0,
		baseSettings: fmt.Sprintf("[instance]\nname = %s\ndata_centre = x\n[listen]\ncallers = %s\nadmin = %s\npeers = %s\n"+
			"[platform]\nurl = http://%s\ncalls_per_second = 200\n", name, ports[0], ports[1], ports[2], path.Addr()),
	}
	if w.options.Planned && len(w.instances)%3 == 1 {
		in.grace = shortGrace
	}
	if err := in.writeSettings(balancerDelay); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(w.options.Dir, name+".log")); err != nil {
		return err
	}
	w.instances = append(w.instances, in)
	return w.launch(in)
}

// writeSettings puts a settings file in place, whole at any moment.
func (in *instance) writeSettings(delay time.Duration) error {
	text := in.baseSettings + fmt.Sprintf("[shutdown]\ngrace = %s\nbalancer_delay = %s\n", in.grace, delay)
	if err := os.WriteFile(in.settingsPath+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(in.settingsPath+".new", in.settingsPath)
}

// launch starts an instance's process and watches for its end.
func (w *testbed) launch(in *instance) error {
	command := exec.Command(w.options.Binary, "gateway", "--config", in.settingsPath)
	command.Stdout, command.Stderr = in.log, in.log
	if in.singleThread {
		command.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	// The process ends with this one, however this one ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	in.mu.Lock()
	ended := make(chan struct{})
	l := &processHistory{instance: in.name, grace: in.grace, launchedAt: time.Now()}
	in.process, in.history, in.endRequested, in.exited = command, l, false, ended
	in.mu.Unlock()
	go func() {
		defer close(ended)
		err := command.Wait()
		l.recordExit()
		in.mu.Lock()
		asked := in.endRequested
		in.mu.Unlock()
		if !asked {
			w.violation("%s ended by itself: %v", in.name, err)
		}
		if err != nil && w.options.Planned && l.mustExitCleanly() {
			w.violation("a planned stop ended with %v: %s", err, l.describe(time.Now()))
		}
	}()
	return nil
}

// signal sends a signal to an instance's process; ends tells that it is to end.
func (in *instance) signal(s syscall.Signal, ends bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.endRequested = in.endRequested || ends
	in.send(s)
}

// send sends a signal; the caller holds the lock.
func (in *instance) send(s syscall.Signal) {
	in.history.recordSignal(s)
	_ = in.process.Process.Signal(s) // it may have ended
}

// hangUp has the process read its settings again, once it catches signals. Before, one
// would end it, as any program.
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

// present is the process that runs, or the one that ran last.
func (in *instance) current() (l *processHistory, ended <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.history, in.exited
}

// await waits until the present process has ended.
func (in *instance) awaitExit() {
	_, ended := in.current()
	<-ended
}
