package client

import (
	"context"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

func fileFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "`FILE` of records, - for standard input; may stand several times"}
}

func (a *app) applyCommand() *cli.Command {
	return &cli.Command{
		Name:   "apply",
		Usage:  "check records, then create or update them",
		Flags:  []cli.Flag{fileFlag()},
		Action: action(0, "none", a.apply),
	}
}

func (a *app) validateCommand() *cli.Command {
	return &cli.Command{
		Name:   "validate",
		Usage:  "check records and write nothing; with --platform also against the store",
		Flags:  []cli.Flag{fileFlag()},
		Action: action(0, "none", a.validate),
	}
}

func (a *app) deleteCommand() *cli.Command {
	return &cli.Command{
		Name:          "delete",
		Usage:         "delete a record that no other one uses",
		ArgsUsage:     "KIND NAME",
		ShellComplete: a.completeKinds,
		Action:        action(2, "KIND NAME", a.delete),
	}
}

// readDocuments reads and validates the files of the command line, and returns
// their documents in the order of dependencies.
func (a *app) readDocuments(cmd *cli.Command) ([]record.Document, error) {
	files := cmd.StringSlice(flagFile)
	if len(files) == 0 {
		return nil, usagef("name a file with -f")
	}
	var all []record.Document
	for _, file := range files {
		text, err := a.readFile(file)
		if err != nil {
			return nil, err
		}
		documents, faults := record.ParseFile(text)
		if len(faults) == 0 {
			_, faults = record.Check(documents)
		}
		if len(faults) > 0 {
			return nil, &InvalidError{File: file, Faults: faults}
		}
		all = append(all, documents...)
	}
	slices.SortStableFunc(all, func(a, b record.Document) int {
		return slices.Index(config.Kinds, a.Kind) - slices.Index(config.Kinds, b.Kind)
	})
	return all, nil
}

func (a *app) readFile(name string) ([]byte, error) {
	source := a.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read records")
		}
		defer file.Close()
		source = file
	}
	// One byte over the limit lets the decoder detect a file that is too long.
	text, err := io.ReadAll(io.LimitReader(source, record.MaxFileBytes+1))
	return text, errors.Wrapf(err, "read records from %s", name)
}

func (a *app) validate(ctx context.Context, cmd *cli.Command) error {
	documents, err := a.readDocuments(cmd)
	if err != nil {
		return err
	}
	if a.platformURL(cmd) != "" {
		store, err := a.store(cmd)
		if err != nil {
			return err
		}
		if _, err := checkAgainstStore(ctx, store, documents); err != nil {
			return err
		}
	}
	rows := make([]writeRow, len(documents))
	for i, doc := range documents {
		rows[i] = writeRow{Kind: string(doc.Kind), Name: doc.Object.Metadata.Name, Result: "valid"}
	}
	return a.print(cmd, writeTable(rows), rows)
}

// checkAgainstStore validates the documents together with the records that the
// store holds.
func checkAgainstStore(ctx context.Context, store Store, documents []record.Document) (*storeSnapshot, error) {
	snapshot, err := readStore(ctx, store)
	if err != nil {
		return nil, err
	}
	if faults := snapshot.validate(documents); len(faults) > 0 {
		return nil, &InvalidError{File: "checked against the store", Faults: faults}
	}
	return snapshot, nil
}

func (a *app) apply(ctx context.Context, cmd *cli.Command) error {
	documents, err := a.readDocuments(cmd)
	if err != nil {
		return err
	}
	store, err := a.store(cmd)
	if err != nil {
		return err
	}
	snapshot, err := checkAgainstStore(ctx, store, documents)
	if err != nil {
		return err
	}
	if err := snapshot.checkRevisions(documents); err != nil {
		return err
	}
	var rows []writeRow
	for _, doc := range documents {
		row, err := writeDocument(ctx, store, snapshot, doc)
		if err != nil {
			// Earlier documents have been written: print them beside the error.
			return errors.CombineErrors(err, a.printWritten(cmd, rows))
		}
		rows = append(rows, row)
	}
	return a.printWritten(cmd, rows)
}

// printWritten prints the results of the written records, and nothing if there are
// none.
func (a *app) printWritten(cmd *cli.Command, rows []writeRow) error {
	if len(rows) == 0 {
		return nil
	}
	return a.print(cmd, writeTable(rows), rows)
}

func writeDocument(ctx context.Context, store Store, snapshot *storeSnapshot, doc record.Document) (writeRow, error) {
	name := doc.Object.Metadata.Name
	w := &recordWriter{store: store, kind: string(doc.Kind), checked: snapshot.objects[keyOf(doc)]}
	written, result, err := w.put(ctx, platformapi.Object{Metadata: platformapi.Metadata{Name: name}, Spec: doc.Object.Spec})
	if err != nil {
		return writeRow{}, err
	}
	return writeRow{Kind: w.kind, Name: name, Result: result, Revision: written.Metadata.Revision}, nil
}

func (a *app) delete(ctx context.Context, cmd *cli.Command) error {
	kind, store, err := a.kindAndStore(cmd)
	if err != nil {
		return err
	}
	snapshot, err := readStore(ctx, store)
	if err != nil {
		return err
	}
	key := config.Key{Kind: catalog.RecordKind(kind), Name: cmd.Args().Get(1)}
	w := &recordWriter{store: store, kind: kind, checked: snapshot.objects[key]}
	if w.checked == nil {
		return errors.Wrapf(platform.ErrNotFound, "%s/%s", kind, key.Name)
	}
	if reason := snapshot.checkDelete(key); reason != "" {
		fault := record.Fault{Field: kind + "/" + key.Name, Reason: reason}
		return &InvalidError{File: "checked against the store", Faults: record.Faults{fault}}
	}
	if err := w.delete(ctx, key.Name); err != nil {
		return err
	}
	rows := []writeRow{{Kind: kind, Name: key.Name, Result: resultDeleted}}
	return a.print(cmd, writeTable(rows), rows)
}
