package scenario

import (
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

// verb is the body of a verb: it returns what went wrong.
type verb func(ts *testscript.TestScript, w *testbed, args []string) error

// Verbs returns the scenario's verbs; README.md beside this file lists them.
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
		"unlist":       unlistTarget,
		"apply":        applyRecords,
		"race":         raceRecords,
		"ready":        waitReady,
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

func startPlatform(ts *testscript.TestScript, w *testbed, args []string) error {
	p, err := w.startProcess(ts, platformProcess, "standin", append([]string{"platform"}, args...)...)
	if err != nil {
		return err
	}
	address, err := p.address("")
	if err != nil {
		return err
	}
	w.platform = "http://" + address
	ts.Setenv("PLATFORM", w.platform)
	return nil
}

// startTarget: target NAME POOL KIND [FLAG...].
func startTarget(ts *testscript.TestScript, w *testbed, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: target NAME POOL KIND [FLAG...]")
	}
	flags := []string{"target", "--incarnation", args[0], "--pool", args[1], "--kind", args[2], "--platform", w.platform}
	p, err := w.startProcess(ts, args[0], "standin", append(flags, args[3:]...)...)
	if err != nil {
		return err
	}
	address, err := p.address("")
	w.targets = append(w.targets, args[0])
	w.listed[args[0]] = platformapi.TargetEntry{
		Pool: args[1], Address: address, DataCentre: dataCentreOf(args[3:]), Incarnation: args[0], State: platformapi.TargetReady,
	}
	return err
}

// dataCentreOf finds the data centre among the flags of a target.
func dataCentreOf(flags []string) string {
	if i := slices.Index(flags, "--data-centre"); i >= 0 && i+1 < len(flags) {
		return flags[i+1]
	}
	return "dc1"
}

// startInstance: instance NAME DATA_CENTRE [--platform RELAY] [--nowait]
// [SETTING...]. It waits until the instance is ready unless --nowait is given.
func startInstance(ts *testscript.TestScript, w *testbed, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: instance NAME DATA_CENTRE [SETTING...]")
	}
	extra := args[2:]
	platformURL := w.platform
	if len(extra) > 1 && extra[0] == "--platform" {
		r, ok := w.relays[extra[1]]
		if !ok {
			return errors.Newf("no relay %s in this scenario", extra[1])
		}
		platformURL, extra = "http://"+r.Addr(), extra[2:]
	}
	nowait := len(extra) > 0 && extra[0] == "--nowait"
	if nowait {
		extra = extra[1:]
	}
	path, err := w.writeSettings(args[0], args[1], platformURL, extra)
	if err != nil {
		return err
	}
	p, err := w.startProcess(ts, args[0], "ivyhollowd", "serve", "--config", path)
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
	return waitReady(ts, w, args[:1])
}

func signalVerb(s syscall.Signal) verb {
	return func(_ *testscript.TestScript, w *testbed, args []string) error {
		for _, name := range args {
			p, err := w.process(name)
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

// waitEnded: ended NAME CODE.
func waitEnded(_ *testscript.TestScript, w *testbed, args []string) error {
	p, err := w.process(args[0])
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

// waitUnready: unready NAME waits until the instance wants no new connections.
func waitUnready(_ *testscript.TestScript, w *testbed, args []string) error {
	base, err := w.url(args[0], "admin")
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
func waitReady(_ *testscript.TestScript, w *testbed, args []string) error {
	for _, name := range args {
		base, err := w.url(name, "admin")
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

// expectAnswer: answered FILE compares the last submitted answer with what the
// program expected printed into the file.
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
