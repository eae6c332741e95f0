package client

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
)

func (a *app) getCommand() *cli.Command {
	return &cli.Command{
		Name:          "get",
		Usage:         "show a record and what became of it",
		ArgsUsage:     "KIND NAME",
		ShellComplete: a.completeKinds,
		Action:        action(2, "KIND NAME", a.get),
	}
}

func (a *app) listCommand() *cli.Command {
	return &cli.Command{
		Name:          "list",
		Usage:         "list the records of a kind",
		ArgsUsage:     "KIND",
		ShellComplete: a.completeKinds,
		Action:        action(1, "KIND", a.list),
	}
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show which records are accepted or refused, and why, the instances and what targets lack",
		Action: action(0, "none", a.status),
	}
}

// completeKinds prints the kinds as completions of the first argument.
func (a *app) completeKinds(_ context.Context, cmd *cli.Command) {
	if cmd.Args().Len() > 0 {
		return
	}
	for _, kind := range config.Kinds {
		fmt.Fprintln(a.Stdout, kind)
	}
}

func (a *app) get(ctx context.Context, cmd *cli.Command) error {
	kind, store, err := a.kindAndStore(cmd)
	if err != nil {
		return err
	}
	object, err := store.Get(ctx, kind, cmd.Args().Get(1))
	if err != nil {
		return err
	}
	rows := []statusRow{newStatusRow(kind, object)}
	if err := a.print(cmd, statusTable(rows), document{kind, *object}); err != nil {
		return err
	}
	if cmd.String(flagOutput) == outputTable {
		_, err = fmt.Fprintln(a.Stdout, indent(object.Spec))
	}
	return err
}

func (a *app) list(ctx context.Context, cmd *cli.Command) error {
	kind, store, err := a.kindAndStore(cmd)
	if err != nil {
		return err
	}
	list, err := store.List(ctx, kind)
	if err != nil {
		return err
	}
	documents := make([]document, len(list.Items))
	rows := make([]statusRow, len(list.Items))
	for i := range list.Items {
		documents[i] = document{kind, list.Items[i]}
		rows[i] = newStatusRow(kind, &list.Items[i])
	}
	return a.print(cmd, statusTable(rows), documents)
}

// statusRow shows the state of one record.
type statusRow struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	State    string `json:"state"`
	// InForce is the revision in force according to the record's status; 0 if
	// there is none.
	InForce uint64 `json:"in_force,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

func newStatusRow(kind string, object *platformapi.Object) statusRow {
	row := statusRow{Kind: kind, Name: object.Metadata.Name, Revision: object.Metadata.Revision}
	status, state, err := record.ReadStatus(object)
	row.State = state
	switch {
	case err != nil:
		row.Reason = err.Error()
	case state == record.StatePending:
		row.Reason = "no instance has judged it yet"
	default:
		row.Reason = status.Reason
	}
	row.InForce = status.InForce
	if status.LastAccepted != nil {
		row.InForce = status.LastAccepted.Revision
	}
	return row
}

func statusTable(rows []statusRow) table {
	t := table{header: []string{"KIND", "NAME", "REVISION", "STATE", "IN FORCE", "REASON"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{r.Kind, r.Name, formatRevision(r.Revision), r.State, formatRevision(r.InForce), r.Reason})
	}
	return t
}

// statusOutput is the output of the status command.
type statusOutput struct {
	Records   []statusRow   `json:"records"`
	Instances []instanceRow `json:"instances"`
	Orders    []ordersRow   `json:"orders"`
}

// instanceRow shows one instance as it registered itself at its start.
type instanceRow struct {
	Name string `json:"name"`
	platformapi.InstanceEntry
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	store, err := a.store(cmd)
	if err != nil {
		return err
	}
	answer := statusOutput{}
	for _, kind := range config.Kinds {
		list, err := store.List(ctx, string(kind))
		if err != nil {
			return err
		}
		for i := range list.Items {
			answer.Records = append(answer.Records, newStatusRow(string(kind), &list.Items[i]))
		}
	}
	answer.Instances, err = listInstances(ctx, store)
	if err != nil {
		return err
	}
	answer.Orders, err = listOrders(ctx, store)
	if err != nil {
		return err
	}
	if cmd.String(flagOutput) == outputJSON {
		return printJSON(a.Stdout, answer)
	}
	if err := statusTable(answer.Records).write(a.Stdout); err != nil {
		return err
	}
	fmt.Fprintln(a.Stdout)
	if err := instanceTable(answer.Instances).write(a.Stdout); err != nil || len(answer.Orders) == 0 {
		return err
	}
	fmt.Fprintln(a.Stdout)
	return ordersTable(answer.Orders).write(a.Stdout)
}

func listInstances(ctx context.Context, store Store) ([]instanceRow, error) {
	list, err := store.List(ctx, platformapi.KindInstances)
	if err != nil {
		return nil, err
	}
	rows := make([]instanceRow, 0, len(list.Items))
	for i := range list.Items {
		row := instanceRow{Name: list.Items[i].Metadata.Name}
		if err := decodeSpec(&list.Items[i], &row.InstanceEntry); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b instanceRow) int { return strings.Compare(a.Name, b.Name) })
	return rows, nil
}

func instanceTable(rows []instanceRow) table {
	t := table{header: []string{"INSTANCE", "DATA CENTRE", "ADDRESS", "CALLER URL", "INCARNATION"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{r.Name, r.DataCentre, r.Address, r.CallerURL, formatRevision(r.Incarnation)})
	}
	return t
}
