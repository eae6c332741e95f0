package client

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// ordersRow shows how far the targets of a pool have reached its desired state.
type ordersRow struct {
	Pool string `json:"pool"`
	platformapi.OrdersEntry
}

func listOrders(ctx context.Context, store Store) ([]ordersRow, error) {
	list, err := store.List(ctx, platformapi.KindOrders)
	if err != nil {
		return nil, err
	}
	rows := make([]ordersRow, len(list.Items))
	for i := range list.Items {
		rows[i].Pool = list.Items[i].Metadata.Name
		if err := decodeSpec(&list.Items[i], &rows[i].OrdersEntry); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func ordersTable(rows []ordersRow) table {
	t := table{header: []string{"POOL", "DESIRED REVISION", "FENCING", "COMPLETE", "LACKING"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{
			r.Pool, formatRevision(r.DesiredRevision), strconv.FormatUint(r.Fencing, 10),
			fmt.Sprintf("%d/%d", r.Complete, r.Targets), formatLacking(r.Lacking),
		})
	}
	return t
}

// formatLacking lists what each target lacks. A target whose state could not be
// read has an empty list and is shown as "not read".
func formatLacking(targets []platformapi.LackingTarget) string {
	texts := make([]string, len(targets))
	for i, t := range targets {
		lacks := "not read"
		if len(t.Lacks) > 0 {
			lacks = strings.Join(t.Lacks, ", ")
		}
		texts[i] = t.Incarnation + ": " + lacks
	}
	return strings.Join(texts, "; ")
}
