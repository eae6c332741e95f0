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
func (m *StageTimes) predictedOutcome() string {
	if m.Predicted > m.TimeToObjective {
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
	made := map[row][]*StageTimes{}
	for _, r := range l.Requests {
		if r.StageTimes != nil && r.StageTimes.Predicted > 0 {
			at := row{r.Pipeline, r.StageTimes.predictedOutcome()}
			made[at] = append(made[at], r.StageTimes)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pipeline\tpredicted\tstages done\tpredicted p50\tp90\ttaken p50\tp90\ttaken less predicted p10\tp50\tp90\tover the time left\t")
	rows := slices.SortedFunc(maps.Keys(made), func(a, b row) int {
		return slices.Compare([]string{a.pipeline, a.outlook}, []string{b.pipeline, b.outlook})
	})
	for _, at := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\n", at.pipeline, at.outlook, predictionCells(made[at]))
	}
	return errors.Wrap(t.Flush(), "write")
}

// predictions are the cells of a row.
func predictionCells(made []*StageTimes) string {
	var predicted, taken, over []time.Duration
	late := 0
	for _, m := range made {
		predicted = append(predicted, m.Predicted)
		taken = append(taken, m.Elapsed)
		over = append(over, m.Elapsed-m.Predicted)
		if m.Elapsed > m.TimeToObjective {
			late++
		}
	}
	return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t", len(made),
		formatQuantile(predicted, 0.5), formatQuantile(predicted, 0.9), formatQuantile(taken, 0.5), formatQuantile(taken, 0.9),
		formatQuantile(over, 0.1), formatQuantile(over, 0.5), formatQuantile(over, 0.9), late)
}
