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

// waitStarted: started [TARGET] COUNT waits until the target, or all targets together, have
// started COUNT runs, and fails when there are more.
func waitStarted(_ *testscript.TestScript, tb *testbed, args []string) error {
	names := args[:len(args)-1]
	want, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return err
	}
	if len(names) == 0 {
		names = tb.targets
	}
	total, failed := 0, error(nil)
	err = until(args[len(args)-1]+" started", func() bool {
		total = 0
		for _, name := range names {
			report, err := tb.runsReport(name)
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

// expectWhileLeaving: whileleaving TARGET [MOST] prints how many runs the target started after
// it reported that it leaves, and fails when there are more than MOST.
func expectWhileLeaving(ts *testscript.TestScript, tb *testbed, args []string) error {
	report, err := tb.runsReport(args[0])
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

func (tb *testbed) runsReport(name string) (targetemulator.RunsReport, error) {
	var report targetemulator.RunsReport
	base, err := tb.url(name, "")
	if err != nil {
		return report, err
	}
	_, _, body, err := exchange(http.MethodGet, base+targetemulator.PathAdminRuns, nil, nil)
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(body, &report)
}

// startsByInput returns how often a target started a run, by input. A killed target can't be
// queried; a service prints each start before it runs, and its output is kept.
func (tb *testbed) startsByInput(name string) (map[string]int, error) {
	p, err := tb.process(name)
	if err != nil {
		return nil, err
	}
	select {
	case <-p.exited:
		<-p.outputRead
		return p.started, nil
	default:
		report, err := tb.runsReport(name)
		return report.Inputs, err
	}
}
