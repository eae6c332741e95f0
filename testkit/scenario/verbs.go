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
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// verb is the body of a verb: it returns what went wrong.
type verb func(ts *testscript.TestScript, w *world, args []string) error

// Verbs returns the scenario's verbs; README.md beside this file lists them.
func Verbs() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	verbs := map[string]verb{
		"platform":     startPlatform,
		"target":       startTarget,
		"instance":     startInstance,
		"crash":        signalVerb(syscall.SIGKILL),
		"term":         signalVerb(syscall.SIGTERM),
		"freeze":       signalVerb(syscall.SIGSTOP),
		"thaw":         signalVerb(syscall.SIGCONT),
		"ended":        waitEnded,
		"store":        setStoreFaults,
		"fault":        setTargetFaults,
		"leaving":      setLeaving,
		"unlist":       unlistTarget,
		"apply":        applyRecords,
		"ready":        waitReady,
		"inforce":      waitInForce,
		"started":      waitStarted,
		"whileleaving": expectWhileLeaving,
		"refused":      waitRefused,
		"listed":       waitListed,
		"answered":     expectAnswer,
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
	w.targets = append(w.targets, args[0])
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

// waitStarted: started [TARGET] COUNT waits until the target, or all targets
// together, have started so much work, and fails when it is more.
func waitStarted(_ *testscript.TestScript, w *world, args []string) error {
	names := args[:len(args)-1]
	want := args[len(args)-1]
	if len(names) == 0 {
		names = w.targets
	}
	total, failed := 0, error(nil)
	err := until(want+" started", func() bool {
		total = 0
		for _, name := range names {
			report, err := w.runsOf(name)
			if err != nil {
				failed = err
				return true
			}
			total += report.Started
		}
		return strconv.Itoa(total) >= want || len(strconv.Itoa(total)) > len(want)
	})
	if err != nil || failed != nil {
		return errors.CombineErrors(failed, err)
	}
	if strconv.Itoa(total) != want {
		return errors.Newf("%d started", total)
	}
	return nil
}

// expectWhileLeaving: whileleaving TARGET MOST bounds the work that the target
// started after it said that it leaves.
func expectWhileLeaving(_ *testscript.TestScript, w *world, args []string) error {
	report, err := w.runsOf(args[0])
	if err != nil {
		return err
	}
	most, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	if report.StartedLeaving > most {
		return errors.Newf("%d started", report.StartedLeaving)
	}
	return nil
}

func (w *world) runsOf(name string) (targetemulator.RunsReport, error) {
	var report targetemulator.RunsReport
	base, err := w.url(name, "")
	if err != nil {
		return report, err
	}
	_, _, body, err := exchange(http.MethodGet, base+targetemulator.PathAdminRuns, nil, nil)
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(body, &report)
}

// waitListed: listed waits until the platform lists all started targets.
func waitListed(_ *testscript.TestScript, w *world, _ []string) error {
	store := platform.New(platform.Options{BaseURL: w.platform, Instance: "operator"})
	return until("list of targets", func() bool {
		list, err := store.List(context.Background(), platformapi.KindTargets)
		return err == nil && len(list.Items) == len(w.targets)
	})
}

// waitRefused: refused KIND NAME TEXT waits until the record's status says that
// its newest version is refused, for a reason with the text.
func waitRefused(_ *testscript.TestScript, w *world, args []string) error {
	store := platform.New(platform.Options{BaseURL: w.platform, Instance: "operator"})
	return until("status of "+args[1], func() bool {
		object, err := store.Get(context.Background(), args[0], args[1])
		if err != nil {
			return false
		}
		var status platformapi.RecordStatus
		_ = json.Unmarshal(object.Status, &status) // no status yet is no refusal
		return !status.Accepted && strings.Contains(status.Reason, args[2])
	})
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
