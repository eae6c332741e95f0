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
func applyRecords(ts *testscript.TestScript, tb *testbed, args []string) error {
	text, err := os.ReadFile(ts.MkAbs(args[0]))
	if err != nil {
		return err
	}
	documents, faults := record.ParseFile(text)
	if len(faults) > 0 {
		return faults
	}
	store := platform.New(platform.Options{BaseURL: tb.platform, Instance: "operator"})
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

// waitInForce: inforce NAME PIPELINE SCHEMA_VERSION waits until the instance serves the
// definition.
func waitInForce(_ *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "callers")
	if err != nil {
		return err
	}
	return until(strings.Join(args, " "), func() bool {
		call := Call{URL: base, Pipeline: args[1], SchemaVersion: args[2], Key: DefaultKey, Malformed: true}
		reply, err := call.Do()
		return err == nil && reply.Status == http.StatusBadRequest
	})
}

// waitAnswers: answers NAME PIPELINE TEXT waits until the instance answers a request to the
// pipeline with an output that begins with the text. Records are disseminated one by one: that
// a later one is in force at an instance doesn't imply that an earlier one is.
func waitAnswers(_ *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "callers")
	if err != nil {
		return err
	}
	return until(strings.Join(args, " "), func() bool {
		call := Call{URL: base, Pipeline: args[1], Key: DefaultKey, Input: "x"}
		reply, err := call.Do()
		return err == nil && reply.Status == http.StatusOK && strings.HasPrefix(reply.Answer.Output, args[2])
	})
}

// waitListed: listed waits until the platform lists all started targets.
func waitListed(_ *testscript.TestScript, tb *testbed, _ []string) error {
	store := platform.New(platform.Options{BaseURL: tb.platform, Instance: "operator"})
	return until("list of targets", func() bool {
		list, err := store.List(context.Background(), platformapi.KindTargets)
		return err == nil && len(list.Items) == len(tb.targets)
	})
}

// waitRefused: refused KIND NAME TEXT waits until the record's status reports that its newest
// version is refused, for a reason that contains the text.
func waitRefused(_ *testscript.TestScript, tb *testbed, args []string) error {
	store := platform.New(platform.Options{BaseURL: tb.platform, Instance: "operator"})
	return until("status of "+args[1], func() bool {
		object, err := store.Get(context.Background(), args[0], args[1])
		if err != nil {
			return false
		}
		var status platformapi.RecordStatus
		_ = json.Unmarshal(object.Status, &status) // without a status the record isn't refused
		return !status.Accepted && strings.Contains(status.Reason, args[2])
	})
}

// writesPerOperator is how often each operator of a race writes its records.
const writesPerOperator = 5

// raceRecords: race FILE... has one operator per file write its records, all operators
// concurrently and each repeatedly. An operator continues after a conflict.
func raceRecords(ts *testscript.TestScript, tb *testbed, args []string) error {
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
		store := platform.New(platform.Options{BaseURL: tb.platform, Instance: "operator"})
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
