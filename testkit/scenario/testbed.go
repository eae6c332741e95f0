package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// testbed holds the processes of one scenario.
type testbed struct {
	directory string
	// cluster differs for each scenario. An instance that got the port of an ended instance of
	// another scenario, or of another run, would otherwise join that one's cluster: a member
	// more, which competes for leases and raises their fencing numbers.
	cluster   string
	processes map[string]*process
	platform  string
	// targets names the started targets, in order.
	targets []string
	// listed holds the entries of the targets in the platform's list.
	listed map[string]platformapi.TargetEntry
	relays map[string]*relay.Relay
	loads  map[string]*load
}

// platformProcess is the name of the platform's process.
const platformProcess = "platform"

// budgetPattern matches the account budget of the sample records. In the "busy" records the
// budget is 0, which means none, so that the load of a scenario, including retries, is never
// refused because of it.
var budgetPattern = regexp.MustCompile(`"requests_per_s":\s*\d+`)

type testbedKey struct{}

// Setup prepares a scenario, and kills its processes when it ends.
func Setup(env *testscript.Env) error {
	tb := &testbed{
		directory: env.WorkDir,
		cluster:   "scenario-" + strconv.FormatUint(rand.Uint64(), 36),
		processes: make(map[string]*process),
		listed:    make(map[string]platformapi.TargetEntry),
		relays:    make(map[string]*relay.Relay),
		loads:     make(map[string]*load),
	}
	env.Values[testbedKey{}] = tb
	busy := budgetPattern.ReplaceAll(dev.Sample, []byte(`"requests_per_s": 0`))
	if bytes.Equal(busy, dev.Sample) {
		return errors.New("the sample records have no account budget")
	}
	for name, records := range map[string][]byte{"SAMPLE": dev.Sample, "BUSY": busy} {
		path := filepath.Join(env.WorkDir, strings.ToLower(name)+".json")
		env.Setenv(name, path)
		if err := os.WriteFile(path, records, 0o600); err != nil {
			return err
		}
	}
	env.Defer(func() {
		for _, l := range tb.loads {
			l.finish()
		}
		for _, r := range tb.relays {
			r.Close()
		}
		for _, p := range tb.processes {
			p.kill()
		}
	})
	return nil
}

func testbedOf(ts *testscript.TestScript) *testbed { return ts.Value(testbedKey{}).(*testbed) }

func (tb *testbed) startProcess(ts *testscript.TestScript, name, program string, args ...string) (*process, error) {
	path, err := lookPath(ts, program)
	if err != nil {
		return nil, err
	}
	environment := append(os.Environ(), "PATH="+ts.Getenv("PATH"), "HOME="+tb.directory)
	p, err := start(name, filepath.Join(tb.directory, name+".log"), environment, path, args...)
	if err != nil {
		return nil, err
	}
	tb.processes[name] = p
	return p, nil
}

// lookPath finds a program that the test binary provides.
func lookPath(ts *testscript.TestScript, program string) (string, error) {
	for _, directory := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(directory, program)
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path, nil
		}
	}
	return "", errors.Newf("no program %s", program)
}

func (tb *testbed) process(name string) (*process, error) {
	p, ok := tb.processes[name]
	if !ok {
		return nil, errors.Newf("no process %s in this scenario", name)
	}
	return p, nil
}

// url returns the base URL of a listener of a process: "callers" and "admin" of an instance,
// "" of an emulator.
func (tb *testbed) url(name, what string) (string, error) {
	p, err := tb.process(name)
	if err != nil {
		return "", err
	}
	address, err := p.address(what)
	return "http://" + address, err
}

// pollInterval is the time between two checks of an external condition.
const pollInterval = 20 * time.Millisecond

// until polls a condition of another process until it holds.
func until(what string, holds func() bool) error {
	return untilWithin(waitTimeout, what, holds)
}

// untilWithin is until with another timeout.
func untilWithin(bound time.Duration, what string, holds func() bool) error {
	timeout := time.NewTimer(bound)
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

var defaultClient = &http.Client{Timeout: waitTimeout}

// exchange sends one HTTP request and returns the status, header and body of the response.
func exchange(method, url string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	return exchangeWith(nil, method, url, body, header)
}

// exchangeWith is exchange with another client; nil means the package's default client.
func exchangeWith(client *http.Client, method, url string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	if client == nil {
		client = defaultClient
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, text, err
}

// sendJSON sends JSON to an admin path of an emulator.
func sendJSON(method, url, text string) error {
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

// writeSettings writes the INI file of an instance. A section [shutdown] among the extra lines
// replaces the short times that scenarios use by default.
func (tb *testbed) writeSettings(name, dataCentre, platformURL string, extra []string) (string, error) {
	shutdown := "[shutdown]\nbalancer_delay = 100ms\ngrace = 20s"
	if slices.Contains(extra, "[shutdown]") {
		shutdown = ""
	}
	text := fmt.Sprintf(`[instance]
name = %s
data_centre = %s
cluster = %s
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
admin = 127.0.0.1:0
[platform]
url = %s
timeout = 1s
%s
%s
`, name, dataCentre, tb.cluster, platformURL, shutdown, strings.Join(extra, "\n"))
	path := filepath.Join(tb.directory, name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}
