package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	platformemulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	targetemulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// verb is the body of a verb: it returns what went wrong.
type verb func(ts *testscript.TestScript, w *world, args []string) error

// Verbs returns the scenario's verbs; README.md beside this file lists them.
func Verbs() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	verbs := map[string]verb{
		"platform": startPlatform,
		"target":   startTarget,
		"instance": startInstance,
		"kill":     signalVerb(syscall.SIGKILL),
		"term":     signalVerb(syscall.SIGTERM),
		"freeze":   signalVerb(syscall.SIGSTOP),
		"thaw":     signalVerb(syscall.SIGCONT),
		"ended":    waitEnded,
		"store":    setStoreFaults,
		"fault":    setTargetFaults,
		"leaving":  setLeaving,
		"unlist":   unlistTarget,
		"apply":    applyRecords,
		"ready":    waitReady,
		"inforce":  waitInForce,
		"runs":     expectRuns,
		"answered": expectAnswer,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(verbs))
	for name, body := range verbs {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := body(ts, worldOf(ts), args)
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

func startPlatform(ts *testscript.TestScript, w *world, args []string) error {
	p, err := w.start(ts, "platform", "standin", append([]string{"platform"}, args...)...)
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
func startTarget(ts *testscript.TestScript, w *world, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: target NAME POOL KIND [FLAG...]")
	}
	flags := []string{
		"target", "--incarnation", args[0], "--pool", args[1], "--kind", args[2],
		"--platform", w.platform,
	}
	p, err := w.start(ts, args[0], "standin", append(flags, args[3:]...)...)
	if err != nil {
		return err
	}
	_, err = p.address("")
	return err
}

// startInstance: instance NAME DATA_CENTRE [SETTING...]; it waits until the
// instance is ready unless a setting is "--nowait".
func startInstance(ts *testscript.TestScript, w *world, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: instance NAME DATA_CENTRE [SETTING...]")
	}
	extra := args[2:]
	nowait := len(extra) > 0 && extra[0] == "--nowait"
	if nowait {
		extra = extra[1:]
	}
	path, err := w.settings(args[0], args[1], extra)
	if err != nil {
		return err
	}
	p, err := w.start(ts, args[0], "ivyhollowd", "serve", "--config", path)
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
	if nowait {
		return nil
	}
	return waitReady(ts, w, args[:1])
}

func signalVerb(s syscall.Signal) verb {
	return func(_ *testscript.TestScript, w *world, args []string) error {
		for _, name := range args {
			p, err := w.find(name)
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
func waitEnded(_ *testscript.TestScript, w *world, args []string) error {
	p, err := w.find(args[0])
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

// setStoreFaults: store JSON, store ok.
func setStoreFaults(_ *testscript.TestScript, w *world, args []string) error {
	text := strings.Join(args, " ")
	if text == "ok" {
		text = "{}"
	}
	return put(http.MethodPut, w.platform+platformemulator.PathFaults, text)
}

// setTargetFaults: fault TARGET JSON, fault TARGET ok.
func setTargetFaults(_ *testscript.TestScript, w *world, args []string) error {
	base, err := w.url(args[0], "")
	if err != nil {
		return err
	}
	text := strings.Join(args[1:], " ")
	if text == "ok" {
		text = "[]"
	}
	return put(http.MethodPost, base+targetemulator.PathAdminFaults, text)
}

// setLeaving: leaving TARGET; the target itself says so, the list does not yet.
func setLeaving(_ *testscript.TestScript, w *world, args []string) error {
	base, err := w.url(args[0], "")
	if err != nil {
		return err
	}
	return put(http.MethodPost, base+targetemulator.PathAdminLeaving, `{"leaving":true}`)
}

// unlistTarget: unlist TARGET takes it off the platform's list.
func unlistTarget(_ *testscript.TestScript, w *world, args []string) error {
	return put(http.MethodDelete, w.platform+platformemulator.PathTargets+"/"+args[0], "{}")
}

// applyRecords: apply FILE creates or replaces the file's records.
func applyRecords(ts *testscript.TestScript, w *world, args []string) error {
	text, err := os.ReadFile(ts.MkAbs(args[0]))
	if err != nil {
		return err
	}
	documents, faults := record.ParseFile(text)
	if len(faults) > 0 {
		return faults
	}
	store := platform.New(platform.Options{BaseURL: w.platform, Instance: "operator"})
	for _, d := range documents {
		kind := string(d.Kind)
		_, err := store.Create(context.Background(), kind, d.Object)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			_, err = store.Update(context.Background(), kind, d.Object)
		}
		if err != nil {
			return errors.Wrap(err, d.Prefix())
		}
	}
	return nil
}

// waitReady: ready NAME...
func waitReady(_ *testscript.TestScript, w *world, args []string) error {
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

// waitInForce: inforce NAME PIPELINE SCHEMA_VERSION waits until the instance
// serves the definition.
func waitInForce(_ *testscript.TestScript, w *world, args []string) error {
	base, err := w.url(args[0], "callers")
	if err != nil {
		return err
	}
	return until(strings.Join(args, " "), func() bool {
		call := Call{URL: base, Pipeline: args[1], SchemaVersion: args[2], Key: DefaultKey, Malformed: true}
		answer, err := call.Do()
		return err == nil && answer.Status == http.StatusBadRequest
	})
}

// expectRuns: runs TARGET COUNT tells how much work a target has started.
func expectRuns(_ *testscript.TestScript, w *world, args []string) error {
	base, err := w.url(args[0], "")
	if err != nil {
		return err
	}
	_, _, body, err := exchange(http.MethodGet, base+targetemulator.PathAdminRuns, nil, nil)
	if err != nil {
		return err
	}
	var report targetemulator.RunsReport
	if err := json.Unmarshal(body, &report); err != nil {
		return err
	}
	total := 0
	for _, n := range report.Runs {
		total += n
	}
	if strconv.Itoa(total) != args[1] {
		return errors.Newf("%d runs: %s", total, body)
	}
	return nil
}

// expectAnswer: answered FILE compares the last submitted answer with what the
// program expected printed into the file.
func expectAnswer(ts *testscript.TestScript, _ *world, args []string) error {
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
