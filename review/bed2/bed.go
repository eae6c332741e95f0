// Package bed2 has what the scripts of the second review share: stand-ins for the store, the servers and the
// clients, and the processes of the project, started as the deploy file says.
package bed2

import (
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

// Bed is one run of a case.
type Bed struct {
	Store     *Store
	Instances []*Instance
	// Trouble is false if the run goes without the disruption.
	Trouble bool

	start  time.Time
	dir    string
	mu     sync.Mutex
	record *os.File
}

// mostTime bounds a run.
const mostTime = 115 * time.Second

// Main runs a case and ends the process: with 1 if the rule was broken, 0 if it held and 2 if the case couldn't
// run. The first argument is the case's folder.
func Main(run func(b *Bed) (broken bool, err error)) {
	b := &Bed{start: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	time.AfterFunc(mostTime, func() {
		b.Logf("couldn't run: not done after %v", mostTime)
		os.Exit(2) // ends the instances too
	})
	broken, err := b.run(run)
	for _, in := range b.Instances {
		in.Kill()
	}
	if b.dir != "" {
		_ = os.RemoveAll(b.dir) // a temporary folder of its own
	}
	switch {
	case err != nil:
		b.Logf("couldn't run: %v", err)
		os.Exit(2)
	case broken:
		b.Logf("BROKEN")
		os.Exit(1)
	}
	b.Logf("held")
	os.Exit(0)
}

func (b *Bed) run(run func(b *Bed) (bool, error)) (broken bool, err error) {
	if len(os.Args) < 2 {
		return false, fmt.Errorf("usage: %s FOLDER", os.Args[0])
	}
	if b.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		return false, err
	}
	if b.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return false, err
	}
	if b.Store, err = NewStore(); err != nil {
		return false, err
	}
	b.Logf("trouble: %v", b.Trouble)
	return run(b)
}

// Logf writes a line to the record and to the standard output.
func (b *Bed) Logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if b.record != nil {
		_, _ = b.record.WriteString(line) // the result is in the exit code too
	}
}

// Instance is one process of the project, as on a machine of its own.
type Instance struct {
	Name, Callers, Ready string
	// Address is where clients reach the machine: Callers, or the other end of its Link.
	Address string
	Link    *Link

	bed                            *Bed
	zone, ip, peers, metrics, path string
	log                            *os.File
	process                        *exec.Cmd
	ended                          chan struct{}
}

// freePort returns a free port of a loopback address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// AddInstances starts instances for the first time and waits until they are ready.
func (b *Bed) AddInstances(n int) error {
	for i := range n {
		in := &Instance{bed: b, Name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("zone-%d", i%3+1)}
		in.ip = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%250, i+1)
		var ports [4]int
		for p := range ports {
			var err error
			if ports[p], err = freePort(in.ip); err != nil {
				return err
			}
		}
		in.Callers, in.Ready, in.peers = fmt.Sprintf("%s:%d", in.ip, ports[0]), fmt.Sprintf("%s:%d", in.ip, ports[1]), fmt.Sprint(ports[2])
		in.metrics = fmt.Sprint(ports[3])
		in.Address = in.Callers
		in.path = filepath.Join(b.dir, in.Name+".ini")
		var err error
		if in.log, err = os.Create(filepath.Join(b.dir, in.Name+".log")); err != nil {
			return err
		}
		b.Instances = append(b.Instances, in)
	}
	for _, in := range b.Instances {
		if err := in.Start(true); err != nil {
			return err
		}
	}
	return b.AwaitReady(20 * time.Second)
}

// AwaitReady waits until all instances answer the balancer with 200.
func (b *Bed) AwaitReady(most time.Duration) error {
	until := time.Now().Add(most)
	for _, in := range b.Instances {
		for !in.IsReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", in.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// IsReady asks as the balancer does.
func (in *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + in.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// bounds are those of the sheets of small deployments.
var bounds = map[string]string{"bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "54", "bounds.budget_window_s": "10"}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// settings fills in the template of the deploy file.
func (in *Instance) settings(first bool) (string, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"node": in.Name, "zone": in.zone, "ip": in.ip, "limits.cpu_share": "0.4", "listen.front": in.Callers,
		"listen.ready": in.Ready, "port_range.0": in.peers, "provider.address": in.bed.Store.Address,
	}
	if first {
		values["bootstrap"] = "true"
	}
	for name, value := range bounds {
		values[name] = value
	}
	text := sections.ReplaceAllStringFunc(string(template), func(s string) string {
		m := sections.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	text = strings.Replace(text, "{{ip}}:9464", "{{ip}}:"+in.metrics, 1) // a free port
	return placeholders.ReplaceAllStringFunc(text, func(s string) string { return values[strings.Trim(s, "{}")] }), nil
}

// Start starts the process with the command of the deploy file.
func (in *Instance) Start(first bool) error {
	text, err := in.settings(first)
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.path, []byte(text), 0o600); err != nil {
		return err
	}
	command := exec.Command("target/ivyhollowd", "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "IVYHOLLOW_SETTINGS=" + in.path}
	command.Stdout, command.Stderr = in.log, in.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	in.process, in.ended = command, ended
	go func() {
		_ = command.Wait() // how it ended isn't needed
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (in *Instance) Signal(s syscall.Signal) { _ = in.process.Process.Signal(s) }

// Kill kills the process, if it runs, and waits for its end.
func (in *Instance) Kill() {
	if in.process == nil {
		return
	}
	_ = in.process.Process.Kill() // it may have ended
	<-in.ended
}

// Ended reports whether the process has ended.
func (in *Instance) Ended() bool {
	select {
	case <-in.ended:
		return true
	default:
		return false
	}
}

// Log returns what the process has written so far.
func (in *Instance) Log() string {
	text, _ := os.ReadFile(in.log.Name())
	return string(text)
}
