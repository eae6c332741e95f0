package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// applyRecords: apply FILE creates or replaces the file's records.
func applyRecords(ts *testscript.TestScript, w *testbed, args []string) error {
	text, err := os.ReadFile(ts.MkAbs(args[0]))
	if err != nil {
		return err
	}
	documents, faults := record.ParseFile(text)
	if len(faults) > 0 {
		return faults
	}
	store := platform.New(platform.Options{BaseURL: w.platform, Instance: "operator"})
	return writeRecords(store, documents)
}

func writeRecords(store platform.Store, documents []record.Document) error {
	for _, d := range documents {
		kind := string(d.Kind)
		_, err := store.Create(context.Background(), kind, d.Object)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			_, err = store.Update(context.Background(), kind, d.Object)
		}
		if err != nil {
			return errors.Wrap(err, d.QualifiedName())
		}
	}
	return nil
}

// waitInForce: inforce NAME PIPELINE SCHEMA_VERSION waits until the instance
// serves the definition.
func waitInForce(_ *testscript.TestScript, w *testbed, args []string) error {
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

// waitAnswers: answers NAME PIPELINE TEXT waits until the instance answers a call of the
// pipeline with an output that begins with the text. Records are passed on one by one:
// that a later one is in force at an instance doesn't say that an earlier one is.
func waitAnswers(_ *testscript.TestScript, w *testbed, args []string) error {
	base, err := w.url(args[0], "callers")
	if err != nil {
		return err
	}
	return until(strings.Join(args, " "), func() bool {
		call := Call{URL: base, Pipeline: args[1], Key: DefaultKey, Input: "x"}
		answer, err := call.Do()
		return err == nil && answer.Status == http.StatusOK && strings.HasPrefix(answer.Answer.Output, args[2])
	})
}

// waitListed: listed waits until the platform lists all started targets.
func waitListed(_ *testscript.TestScript, w *testbed, _ []string) error {
	store := platform.New(platform.Options{BaseURL: w.platform, Instance: "operator"})
	return until("list of targets", func() bool {
		list, err := store.List(context.Background(), platformapi.KindTargets)
		return err == nil && len(list.Items) == len(w.targets)
	})
}

// waitRefused: refused KIND NAME TEXT waits until the record's status says that
// its newest version is refused, for a reason with the text.
func waitRefused(_ *testscript.TestScript, w *testbed, args []string) error {
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

// raceWrites is how often each operator of a race writes.
const writesPerOperator = 5

// raceRecords: race FILE... lets one operator a file write its records, all of
// them at once and each again and again. One who is told of a conflict goes on.
func raceRecords(ts *testscript.TestScript, w *testbed, args []string) error {
	var operators errgroup.Group
	for _, name := range args {
		text, err := os.ReadFile(ts.MkAbs(name))
		if err != nil {
			return err
		}
		documents, faults := record.ParseFile(text)
		if len(faults) > 0 {
			return faults
		}
		store := platform.New(platform.Options{BaseURL: w.platform, Instance: "operator"})
		operators.Go(func() error {
			for range writesPerOperator {
				var conflict *platform.ConflictError
				if err := writeRecords(store, documents); err != nil && !errors.As(err, &conflict) {
					return err
				}
			}
			return nil
		})
	}
	return operators.Wait()
}
