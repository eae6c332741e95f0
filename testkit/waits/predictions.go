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

// predictedOutcome returns "late" if the stages alone were predicted to take longer than the
// time to the objective, and "in time" otherwise.
func (t *StageTimes) predictedOutcome() string {
	if t.Predicted > t.TimeToObjective {
		return "late"
	}
	return "in time"
}

// WritePredictions writes a table that compares, for each pipeline, the time that the stages
// took with the prediction at the admission. Requests that were predicted to meet and to
// miss their objectives are in separate rows. All requests whose stages were completed count,
// whatever their outcome, except those without a prediction: requests without stages and
// those imported from another stage queue.
func (l *Log) WritePredictions(w io.Writer) error {
	type row struct{ pipeline, outcome string }
	byRow := map[row][]*StageTimes{}
	for _, r := range l.Requests {
		if r.StageTimes != nil && r.StageTimes.Predicted > 0 {
			key := row{r.Pipeline, r.StageTimes.predictedOutcome()}
			byRow[key] = append(byRow[key], r.StageTimes)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pipeline\tpredicted\tstages done\tpredicted p50\tp90\ttaken p50\tp90\ttaken less predicted p10\tp50\tp90\tover the time left\t")
	rows := slices.SortedFunc(maps.Keys(byRow), func(a, b row) int {
		return slices.Compare([]string{a.pipeline, a.outcome}, []string{b.pipeline, b.outcome})
	})
	for _, key := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\n", key.pipeline, key.outcome, predictionCells(byRow[key]))
	}
	return errors.Wrap(t.Flush(), "write")
}

// predictionCells returns the cells of a row, separated by tabs.
func predictionCells(times []*StageTimes) string {
	var predicted, elapsed, excess []time.Duration
	late := 0
	for _, m := range times {
		predicted = append(predicted, m.Predicted)
		elapsed = append(elapsed, m.Elapsed)
		excess = append(excess, m.Elapsed-m.Predicted)
		if m.Elapsed > m.TimeToObjective {
			late++
		}
	}
	return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t", len(times),
		formatQuantile(predicted, 0.5), formatQuantile(predicted, 0.9), formatQuantile(elapsed, 0.5), formatQuantile(elapsed, 0.9),
		formatQuantile(excess, 0.1), formatQuantile(excess, 0.5), formatQuantile(excess, 0.9), late)
}
