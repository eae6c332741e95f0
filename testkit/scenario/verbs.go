package scenario

import (
	"bytes"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// verb implements one verb of the scripts; it returns the failure.
type verb func(ts *testscript.TestScript, tb *testbed, args []string) error

// Verbs returns the verbs of the scenarios; README.md in this folder lists them.
func Verbs() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	verbs := map[string]verb{
		"platform":     startPlatform,
		"target":       startTarget,
		"instance":     startInstance,
		"crash":        signalVerb(syscall.SIGKILL),
		"term":         signalVerb(syscall.SIGTERM),
		"interrupt":    signalVerb(syscall.SIGINT),
		"hangup":       signalVerb(syscall.SIGHUP),
		"freeze":       signalVerb(syscall.SIGSTOP),
		"thaw":         signalVerb(syscall.SIGCONT),
		"ended":        waitEnded,
		"store":        setStoreFaults,
		"fault":        setTargetFaults,
		"leaving":      setLeaving,
		"release":      releaseOrders,
		"unlist":       unlistTarget,
		"apply":        applyRecords,
		"race":         raceRecords,
		"ready":        waitReady,
		"joined":       waitJoined,
		"unready":      waitUnready,
		"inforce":      waitInForce,
		"answers":      waitAnswers,
		"started":      waitStarted,
		"whileleaving": expectWhileLeaving,
		"refused":      waitRefused,
		"relay":        startRelay,
		"link":         runRelayCommand,
		"dropped":      waitDropped,
		"load":         runLoad,
		"exits":        expectExitCode,
		"listed":       waitListed,
		"answered":     expectAnswer,
		"holder":       waitHolder,
		"lapsed":       waitLapsed,
		"has":          waitHas,
		"complete":     waitComplete,
		"orders":       printOrders,
		"order":        giveOrder,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(verbs))
	for name, body := range verbs {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := body(ts, testbedOf(ts), args)
			if neg && err == nil {
				ts.Fatalf("%s: unexpected success", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return out
}

func startPlatform(ts *testscript.TestScript, tb *testbed, args []string) error {
	p, err := tb.startProcess(ts, platformProcess, "standin", append([]string{"platform"}, args...)...)
	if err != nil {
		return err
	}
	address, err := p.address("")
	if err != nil {
		return err
	}
	tb.platform = "http://" + address
	ts.Setenv("PLATFORM", tb.platform)
	return nil
}

// startTarget: target NAME POOL KIND [FLAG...].
func startTarget(ts *testscript.TestScript, tb *testbed, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: target NAME POOL KIND [FLAG...]")
	}
	flags := []string{"target", "--incarnation", args[0], "--pool", args[1], "--kind", args[2], "--platform", tb.platform}
	p, err := tb.startProcess(ts, args[0], "standin", append(flags, args[3:]...)...)
	if err != nil {
		return err
	}
	address, err := p.address("")
	tb.targets = append(tb.targets, args[0])
	tb.listed[args[0]] = platformapi.TargetEntry{
		Pool: args[1], Address: address, DataCentre: dataCentreOf(args[3:]), Incarnation: args[0], State: platformapi.TargetReady,
	}
	return err
}

// dataCentreOf returns the data centre among the flags of a target.
func dataCentreOf(flags []string) string {
	if i := slices.Index(flags, "--data-centre"); i >= 0 && i+1 < len(flags) {
		return flags[i+1]
	}
	return "dc1"
}

// startInstance: instance NAME DATA_CENTRE [--platform RELAY] [--nowait] [SETTING...]. It
// waits until the instance is ready unless --nowait is given.
func startInstance(ts *testscript.TestScript, tb *testbed, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: instance NAME DATA_CENTRE [SETTING...]")
	}
	extra := args[2:]
	platformURL := tb.platform
	if len(extra) > 1 && extra[0] == "--platform" {
		r, ok := tb.relays[extra[1]]
		if !ok {
			return errors.Newf("no relay %s in this scenario", extra[1])
		}
		platformURL, extra = "http://"+r.Addr(), extra[2:]
	}
	nowait := len(extra) > 0 && extra[0] == "--nowait"
	if nowait {
		extra = extra[1:]
	}
	path, err := tb.writeSettings(args[0], args[1], platformURL, extra)
	if err != nil {
		return err
	}
	p, err := tb.startProcess(ts, args[0], "ivyhollowd", "serve", "--config", path)
	if err != nil {
		return err
	}
	for _, what := range []string{"callers", "admin"} {
		address, err := p.address(what)
		if err != nil {
			return err
		}
		ts.Setenv(args[0]+"_"+what, "http://"+address)
	}
	address, err := p.address("peers")
	if err != nil {
		return err
	}
	ts.Setenv(args[0]+"_peers", address)
	if nowait {
		return nil
	}
	return waitReady(ts, tb, args[:1])
}

func signalVerb(s syscall.Signal) verb {
	return func(_ *testscript.TestScript, tb *testbed, args []string) error {
		for _, name := range args {
			p, err := tb.process(name)
			if err != nil {
				return err
			}
			if err := p.send(s); err != nil {
				return err
			}
		}
		return nil
	}
}

// waitEnded: ended NAME [CODE] waits for the exit of the process, with the code if given.
func waitEnded(_ *testscript.TestScript, tb *testbed, args []string) error {
	p, err := tb.process(args[0])
	if err != nil {
		return err
	}
	code, err := p.wait()
	if err != nil {
		return err
	}
	if len(args) > 1 && strconv.Itoa(code) != args[1] {
		return errors.Newf("exit code %d", code)
	}
	return nil
}

// waitUnready: unready NAME waits until the instance reports that it accepts no new
// connections.
func waitUnready(_ *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "admin")
	if err != nil {
		return err
	}
	return until(args[0]+" not ready", func() bool {
		status, _, _, err := exchange(http.MethodGet, base+"/readyz", nil, nil)
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// expectExitCode: exits CODE PROGRAM [ARGUMENT...].
func expectExitCode(ts *testscript.TestScript, _ *testbed, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: exits CODE PROGRAM [ARGUMENT...]")
	}
	code, failed := 0, ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(failed, &exit) {
		code, failed = exit.ExitCode(), nil
	}
	if failed != nil {
		return failed
	}
	if strconv.Itoa(code) != args[0] {
		return errors.Newf("exit code %d", code)
	}
	return nil
}

// waitReady: ready NAME...
func waitReady(_ *testscript.TestScript, tb *testbed, args []string) error {
	for _, name := range args {
		base, err := tb.url(name, "admin")
		if err != nil {
			return err
		}
		err = until(name+" ready", func() bool {
			status, _, _, err := exchange(http.MethodGet, base+"/readyz", nil, nil)
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitJoined: joined NAME... waits until each of the instances knows all of them as alive.
func waitJoined(_ *testscript.TestScript, tb *testbed, args []string) error {
	alive := []byte(fmt.Sprintf(`membership_members{state="alive"} %d`, len(args)))
	for _, name := range args {
		base, err := tb.url(name, "admin")
		if err != nil {
			return err
		}
		err = until(name+" joined", func() bool {
			_, _, body, err := exchange(http.MethodGet, base+"/metrics", nil, nil)
			return err == nil && bytes.Contains(body, alive)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// expectAnswer: answered FILE compares the output of the last submitted request with the one
// that the program "expected" printed into the file.
func expectAnswer(ts *testscript.TestScript, _ *testbed, args []string) error {
	want := ts.ReadFile(args[0])
	for line := range strings.Lines(ts.ReadFile("stdout")) {
		if strings.HasPrefix(line, "output ") {
			if line == want {
				return nil
			}
			return errors.Newf("got %swant %s", line, want)
		}
	}
	return errors.New("no answer was submitted")
}
