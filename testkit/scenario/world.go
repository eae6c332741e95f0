package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ivyhollow/ivyhollow/daemon/dev"
)

// world holds the processes of one scenario.
type world struct {
	directory string
	processes map[string]*process
	platform  string
	// targets names the started targets, in order.
	targets []string
}

type worldKey struct{}

// Setup prepares a scenario and ends its processes with it.
func Setup(env *testscript.Env) error {
	w := &world{directory: env.WorkDir, processes: make(map[string]*process)}
	env.Values[worldKey{}] = w
	sample := filepath.Join(env.WorkDir, "sample.json")
	env.Setenv("SAMPLE", sample)
	if err := os.WriteFile(sample, dev.Sample, 0o600); err != nil {
		return err
	}
	env.Defer(func() {
		for _, p := range w.processes {
			p.stop()
		}
	})
	return nil
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func (w *world) start(ts *testscript.TestScript, name, program string, args ...string) (*process, error) {
	path, err := lookPath(ts, program)
	if err != nil {
		return nil, err
	}
	environment := append(os.Environ(), "PATH="+ts.Getenv("PATH"), "HOME="+w.directory)
	p, err := start(name, filepath.Join(w.directory, name+".log"), environment, path, args...)
	if err != nil {
		return nil, err
	}
	w.processes[name] = p
	return p, nil
}

// lookPath finds a program that the test binary plays.
func lookPath(ts *testscript.TestScript, program string) (string, error) {
	for _, directory := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(directory, program)
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path, nil
		}
	}
	return "", errors.Newf("no program %s", program)
}

func (w *world) find(name string) (*process, error) {
	p, ok := w.processes[name]
	if !ok {
		return nil, errors.Newf("no process %s in this scenario", name)
	}
	return p, nil
}

// url returns the base URL of what a process listens on: "callers" and "admin"
// of an instance, "" of a stand-in.
func (w *world) url(name, what string) (string, error) {
	p, err := w.find(name)
	if err != nil {
		return "", err
	}
	address, err := p.address(what)
	return "http://" + address, err
}

// pollInterval is the time between two looks at a condition outside.
const pollInterval = 20 * time.Millisecond

// until polls a condition of another process until it holds.
func until(what string, holds func() bool) error {
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-timeout.C:
			return errors.Newf("not in time: %s", what)
		}
	}
	return nil
}

var client = &http.Client{Timeout: patience}

// exchange makes one HTTP call and returns its status and body.
func exchange(method, url string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, text, err
}

// put sends JSON to an admin path of a stand-in.
func put(method, url, text string) error {
	if !json.Valid([]byte(text)) {
		return errors.Newf("not JSON: %s", text)
	}
	status, _, body, err := exchange(method, url, []byte(text), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("%s answered %d: %s", url, status, body)
	}
	return nil
}

// settings writes the INI file of an instance.
func (w *world) settings(name, dataCentre string, extra []string) (string, error) {
	text := fmt.Sprintf(`[instance]
name = %s
data_centre = %s
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
admin = 127.0.0.1:0
[platform]
url = %s
timeout = 1s
[shutdown]
balancer_delay = 100ms
grace = 20s
%s
`, name, dataCentre, w.platform, strings.Join(extra, "\n"))
	path := filepath.Join(w.directory, name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}
