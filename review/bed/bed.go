// Package bed runs instances of ivyhollow as processes of their own, on loopback addresses, with
// stand-ins for the platform's store, targets and clients in the process of the test.
package bed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is the daemon as the build line of deploy/system.toml builds it.
const Program = "target/ivyhollowd"

// template is the settings template that deploy/system.toml names.
const template = "deploy/settings.ini"

// maxNets is the number of loopback networks to choose from, so that runs side by side don't meet.
const maxNets = 250

// metricsPort is the port that the template gives to metrics.
const metricsPort = 9464

// Bed is one run of a case.
type Bed struct {
	Store *Store

	mu        sync.Mutex
	record    *os.File
	started   time.Time
	dir       string
	net       string
	nextHost  int
	instances []*Instance
}

// New creates a run that writes record.txt in a folder, and starts the store.
func New(folder string) (*Bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ivyhollow-review-")
	if err != nil {
		return nil, err
	}
	b := &Bed{record: record, started: time.Now(), dir: dir, nextHost: 10}
	for i := 0; i < maxNets && b.net == ""; i++ {
		n := (os.Getpid() + i) % maxNets
		prefix := fmt.Sprintf("127.%d.%d.", 60+n%60, 1+n)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, b.nextHost, metricsPort)); err == nil {
			_ = l.Close()
			b.net = prefix
		}
	}
	if b.net == "" {
		return nil, fmt.Errorf("no loopback network is free")
	}
	b.Store, err = startStore(b.net + "2:0")
	return b, err
}

// Recordf writes a line to the record.
func (b *Bed) Recordf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// Listen opens a port of a loopback address for a stand-in.
func (b *Bed) Listen() (net.Listener, error) { return net.Listen("tcp", b.net+"3:0") }

// Close ends the processes that the run has started.
func (b *Bed) Close() {
	for _, i := range b.instances {
		i.Kill()
	}
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// Instance is a process of the daemon.
type Instance struct {
	Name  string
	Front string

	bed      *Bed
	settings string
	ready    string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (i *Instance) process() (*exec.Cmd, chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd, i.done
}

// StartInstance starts an instance with the settings of the deploy file.
func (b *Bed) StartInstance(name, zone string) (*Instance, error) {
	ip := fmt.Sprintf("%s%d", b.net, b.nextHost)
	b.nextHost++
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	settings, err := renderSettings(map[string]string{
		"node": name, "zone": zone, "ip": ip, "limits.cpu_share": "0.4", "port_range.0": ports[2],
		"listen.front": ip + ":" + ports[0], "listen.ready": ip + ":" + ports[1],
		"provider.address": b.Store.Address, "bounds.grace_s": "8",
		"bounds.retry_ratio": "0.2", "bounds.retry_slack": "54", "bounds.budget_window_s": "10",
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	i := &Instance{Name: name, Front: ip + ":" + ports[0], ready: ip + ":" + ports[1], bed: b, settings: path}
	if err := i.start(log); err != nil {
		return nil, err
	}
	b.instances = append(b.instances, i)
	return i, nil
}

// start starts the process.
func (i *Instance) start(log *os.File) error {
	cmd, done := exec.Command(Program, "gateway"), make(chan struct{})
	cmd.Env = []string{"IVYHOLLOW_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		close(done)
	}()
	i.mu.Lock()
	i.cmd, i.done = cmd, done
	i.mu.Unlock()
	i.bed.Recordf("instance %s started, process %d", i.Name, cmd.Process.Pid)
	return nil
}

// Restart starts the process again after Kill, as the platform does.
func (i *Instance) Restart() error {
	log, err := os.OpenFile(strings.TrimSuffix(i.settings, ".ini")+".log", os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	return i.start(log)
}

// Log returns what an instance has written.
func (b *Bed) Log(i *Instance) string {
	text, _ := os.ReadFile(filepath.Join(b.dir, i.Name+".log"))
	return string(text)
}

// Kill ends the process at once.
func (i *Instance) Kill() {
	cmd, done := i.process()
	_ = cmd.Process.Kill() // it may have ended
	<-done
}

// Pid returns the id of the process.
func (i *Instance) Pid() int {
	cmd, _ := i.process()
	return cmd.Process.Pid
}

// Ended reports whether the process has ended.
func (i *Instance) Ended() bool {
	_, done := i.process()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the instance answers the readiness check with 200.
func (i *Instance) AwaitReady(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/readyz", nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", i.Name)
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

var (
	section     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// renderSettings fills the template in, as far as it uses plain values and sections of them.
func renderSettings(values map[string]string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	filled := section.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if _, ok := values[parts[1]]; ok {
			return parts[2]
		}
		return ""
	})
	filled = placeholder.ReplaceAllStringFunc(filled, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
	return filled, nil
}

// Trouble reports whether the run is to have the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Main runs a case and exits with its code.
func Main(folder string, run func(b *Bed) (int, error)) {
	b, err := New(folder)
	code := CannotRun
	if err == nil {
		code, err = run(b)
		if err != nil {
			b.Recordf("the case couldn't run: %v", err)
		}
		for _, i := range b.instances {
			if i.Ended() {
				b.Recordf("%s has ended", i.Name)
			}
		}
		keepLogs(b)
		b.Close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = CannotRun
	}
	os.Exit(code)
}

// keepLogs copies the logs of the instances to the folder that REVIEW_LOGS names, if any.
func keepLogs(b *Bed) {
	folder := os.Getenv("REVIEW_LOGS")
	if folder == "" {
		return
	}
	for _, i := range b.instances {
		_ = os.WriteFile(filepath.Join(folder, i.Name+".log"), []byte(b.Log(i)), 0o600) // only an aid
	}
}
