package waits

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// outlook tells whether the stages alone were predicted to take longer than there was for
// an answer in time.
func (m *Made) outlook() string {
	if m.Predicted > m.Left {
		return "late"
	}
	return "in time"
}

// WritePredictions writes for each pipeline how long stages took and were predicted to
// take at the admission, apart for those that were predicted to be in time and to be late.
// It counts all requests whose stages were done, whatever became of them, but those
// without stages and those that were taken over, of which there is no prediction.
func (l *Log) WritePredictions(w io.Writer) error {
	type row struct{ pipeline, outlook string }
	made := map[row][]*Made{}
	for _, r := range l.Requests {
		if r.Made != nil && r.Made.Predicted > 0 {
			at := row{r.Pipeline, r.Made.outlook()}
			made[at] = append(made[at], r.Made)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pipeline\tpredicted\tstages done\tpredicted p50\tp90\ttaken p50\tp90\ttaken less predicted p10\tp50\tp90\tover the time left\t")
	rows := slices.SortedFunc(maps.Keys(made), func(a, b row) int {
		return slices.Compare([]string{a.pipeline, a.outlook}, []string{b.pipeline, b.outlook})
	})
	for _, at := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\n", at.pipeline, at.outlook, predictions(made[at]))
	}
	return errors.Wrap(t.Flush(), "write")
}

// predictions are the cells of a row.
func predictions(made []*Made) string {
	var predicted, taken, over []time.Duration
	late := 0
	for _, m := range made {
		predicted = append(predicted, m.Predicted)
		taken = append(taken, m.Taken)
		over = append(over, m.Taken-m.Predicted)
		if m.Taken > m.Left {
			late++
		}
	}
	return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t", len(made),
		quantile(predicted, 0.5), quantile(predicted, 0.9), quantile(taken, 0.5), quantile(taken, 0.9),
		quantile(over, 0.1), quantile(over, 0.5), quantile(over, 0.9), late)
}
