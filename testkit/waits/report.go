package waits

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// plotWindow is the interval over which the plots average.
	plotWindow = 2 * time.Second
	plotWidth  = 9 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// WriteTable writes a table with a row for each pipeline and, below, one with a row for each
// stage service.
func (l *Log) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pipeline\trequests\tanswered\tlate by first event\tqueued p50\tp90\tin calls p50\tp90\tfirst p50\tp90\tpause p90\t")
	byPipeline := map[string][]*Request{}
	for _, r := range l.Requests {
		byPipeline[r.Pipeline] = append(byPipeline[r.Pipeline], r)
	}
	for _, name := range slices.Sorted(maps.Keys(byPipeline)) {
		writePipeline(t, name, byPipeline[name])
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "service\tcalls\tpieces a call\t")
	byService := map[string][]Call{}
	for _, c := range l.Calls {
		byService[c.Service] = append(byService[c.Service], c)
	}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t\n", name, len(byService[name]), piecesPerCall(byService[name]))
	}
	return errors.Wrap(t.Flush(), "write")
}

func piecesPerCall(calls []Call) float64 {
	pieces := 0
	for _, c := range calls {
		pieces += c.Pieces
	}
	return float64(pieces) / float64(len(calls))
}

func writePipeline(w io.Writer, name string, requests []*Request) {
	var queued, inCalls, first, pause []time.Duration
	answered, late := 0, 0
	for _, r := range requests {
		if r.Status != http.StatusOK {
			continue
		}
		answered++
		first = append(first, r.FirstEvent)
		pause = append(pause, r.LongestPause)
		if r.StageTimes == nil {
			continue
		}
		queued = append(queued, r.StageTimes.Queued)
		inCalls = append(inCalls, r.StageTimes.InCalls)
		if r.StageTimes.TimeToObjective > 0 && r.StageWait+r.FirstEvent > r.StageTimes.TimeToObjective {
			late++
		}
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t", name, len(requests), answered, late)
	for _, cell := range []struct {
		values []time.Duration
		shares []float64
	}{{queued, []float64{0.5, 0.9}}, {inCalls, []float64{0.5, 0.9}}, {first, []float64{0.5, 0.9}}, {pause, []float64{0.9}}} {
		for _, share := range cell.shares {
			fmt.Fprintf(w, "%s\t", formatQuantile(cell.values, share))
		}
	}
	fmt.Fprintln(w)
}

// formatQuantile returns a quantile in milliseconds, or "-" without values.
func formatQuantile(values []time.Duration, share float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprint(values[min(int(share*float64(len(values))), len(values)-1)].Milliseconds())
}

// Plot writes two PNGs: the mean time of answered requests by part over the time of their
// ends, and the mean number of pieces per call over the time of the calls' ends.
func (l *Log) Plot(waitsPath, piecesPath string) error {
	start := l.firstTime()
	parts := map[string]map[int][]float64{}
	addValue := func(part string, at time.Time, value float64) {
		if parts[part] == nil {
			parts[part] = map[int][]float64{}
		}
		i := int(at.Sub(start) / plotWindow)
		parts[part][i] = append(parts[part][i], value)
	}
	for _, r := range l.Requests {
		if r.Status != http.StatusOK || r.StageTimes == nil {
			continue
		}
		addValue("queued", r.EndedAt, r.StageTimes.Queued.Seconds())
		addValue("in calls", r.EndedAt, r.StageTimes.InCalls.Seconds())
		addValue("engine, to the first event", r.EndedAt, r.FirstEvent.Seconds())
	}
	if err := plotMeans(waitsPath, "mean seconds of answered requests", parts); err != nil {
		return err
	}
	parts = map[string]map[int][]float64{}
	for _, c := range l.Calls {
		addValue(c.Service, c.EndedAt, float64(c.Pieces))
	}
	return plotMeans(piecesPath, "pieces a call", parts)
}

// firstTime returns the earliest time of a request or a call.
func (l *Log) firstTime() time.Time {
	var start time.Time
	observe := func(at time.Time) {
		if start.IsZero() || at.Before(start) {
			start = at
		}
	}
	for _, r := range l.Requests {
		observe(r.EndedAt)
	}
	for _, c := range l.Calls {
		observe(c.EndedAt)
	}
	return start
}

func plotMeans(path, label string, parts map[string]map[int][]float64) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", label
	var args []any
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		var line plotter.XYs
		for _, i := range slices.Sorted(maps.Keys(parts[name])) {
			line = append(line, plotter.XY{X: float64(i) * plotWindow.Seconds(), Y: mean(parts[name][i])})
		}
		args = append(args, name, line)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrapf(err, "plot %s", path)
	}
	p.Legend.Top = true
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
