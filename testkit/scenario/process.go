package scenario

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// waitTimeout bounds every wait for an event. It measures nothing: a scenario that reaches it
// has failed.
const waitTimeout = 30 * time.Second

// process is one process of a scenario.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File

	mu sync.Mutex
	// addresses holds the addresses that the process has printed, by listener.
	addresses    map[string]string
	addressAdded chan struct{}
	// started counts the runs that a service has printed, by input.
	started map[string]int
	exited  chan struct{}
	// outputRead is closed once all output of the process is read.
	outputRead chan struct{}
}

// Lines in which processes print their addresses, and a service the start of a run.
var (
	daemonAddressLine  = regexp.MustCompile(`"listening for (\w+)".* address="([^"]+)"`)
	standinAddressLine = regexp.MustCompile(`^()listening (\S+)`)
	startedLine        = regexp.MustCompile(`^started (\S+)$`)
)

// start runs a program of the test binary and reads its output.
func start(name, logPath string, environment []string, program string, args ...string) (*process, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	p := &process{
		name:         name,
		cmd:          exec.Command(program, args...),
		log:          log,
		addresses:    make(map[string]string),
		addressAdded: make(chan struct{}),
		started:      make(map[string]int),
		exited:       make(chan struct{}),
		outputRead:   make(chan struct{}),
	}
	p.cmd.Env = environment
	reader, writer := io.Pipe()
	p.cmd.Stdout = writer
	p.cmd.Stderr = writer
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go p.readOutput(reader)
	go func() {
		_ = p.cmd.Wait() // the exit code is read from ProcessState
		_ = writer.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) readOutput(output io.Reader) {
	defer close(p.outputRead)
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		line := scanner.Text()
		_, _ = p.log.WriteString(line + "\n")
		if found := startedLine.FindStringSubmatch(line); found != nil {
			p.mu.Lock()
			p.started[found[1]]++
			p.mu.Unlock()
		}
		for _, pattern := range []*regexp.Regexp{daemonAddressLine, standinAddressLine} {
			if found := pattern.FindStringSubmatch(line); found != nil {
				p.addAddress(found[1], found[2])
			}
		}
	}
	_, _ = io.Copy(p.log, output)
}

func (p *process) addAddress(what, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[what] = address
	close(p.addressAdded)
	p.addressAdded = make(chan struct{})
}

// address waits until the process has printed where it listens.
func (p *process) address(what string) (string, error) {
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	for {
		p.mu.Lock()
		address, ok := p.addresses[what]
		signal := p.addressAdded
		p.mu.Unlock()
		if ok {
			return address, nil
		}
		select {
		case <-signal:
		case <-p.exited:
			return "", errors.Newf("%s ended before it listened; its log is %s", p.name, p.log.Name())
		case <-timer.C:
			return "", errors.Newf("%s did not listen in time", p.name)
		}
	}
}

// send sends a signal to the process.
func (p *process) send(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.name)
}

// wait waits for the exit of the process and returns its exit code, -1 after a signal.
func (p *process) wait() (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(waitTimeout):
		return 0, errors.Newf("%s did not end in time", p.name)
	}
}

// kill kills the process at the end of a scenario, also if it is paused.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}
