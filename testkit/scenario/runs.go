package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	targetemulator "github.com/ivyhollow/ivyhollow/emulator/target"
)

// waitStarted: started [TARGET] COUNT waits until the target, or all targets
// together, have started so much work, and fails when it is more.
func waitStarted(_ *testscript.TestScript, w *testbed, args []string) error {
	names := args[:len(args)-1]
	want, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return err
	}
	if len(names) == 0 {
		names = w.targets
	}
	total, failed := 0, error(nil)
	err = until(args[len(args)-1]+" started", func() bool {
		total = 0
		for _, name := range names {
			report, err := w.runsReport(name)
			if err != nil {
				failed = err
				return true
			}
			total += report.Started
		}
		return total >= want
	})
	if err != nil || failed != nil {
		return errors.CombineErrors(failed, err)
	}
	if total != want {
		return errors.Newf("%d started", total)
	}
	return nil
}

// expectWhileLeaving: whileleaving TARGET [MOST] prints how much work the target
// started after it said that it leaves, and fails when it is more than MOST.
func expectWhileLeaving(ts *testscript.TestScript, w *testbed, args []string) error {
	report, err := w.runsReport(args[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(ts.Stdout(), "started %d\n", report.StartedLeaving)
	if len(args) == 1 {
		return nil
	}
	most, err := strconv.Atoi(args[1])
	if err == nil && report.StartedLeaving > most {
		err = errors.Newf("%d started", report.StartedLeaving)
	}
	return err
}

func (w *testbed) runsReport(name string) (targetemulator.RunsReport, error) {
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

// startsOf returns how often a target started work, by input. A killed one can't
// be asked; a service has told each start before its work began, and the pipe
// keeps what it told.
func (w *testbed) startsByInput(name string) (map[string]int, error) {
	p, err := w.process(name)
	if err != nil {
		return nil, err
	}
	select {
	case <-p.exited:
		<-p.outputRead
		return p.started, nil
	default:
		report, err := w.runsReport(name)
		return report.Inputs, err
	}
}
