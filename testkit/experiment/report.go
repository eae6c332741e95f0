package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// quantileMS returns a measure: a quantile of the response time in
// milliseconds, with q in percent.
func quantileMS(q float64) func(*Result) float64 {
	return func(r *Result) float64 { return float64(r.ResponseTimes.ValueAtQuantile(q)) / 1000 }
}

// column is one measure of the reports.
type column struct {
	name    string
	format  string
	measure func(*Result) float64
}

func percent(f func(*Result) float64) func(*Result) float64 {
	return func(r *Result) float64 { return 100 * f(r) }
}

func tierPercent(i int) func(*Result) float64 {
	return percent(func(r *Result) float64 { return r.Tiers[i].Attainment() })
}

func columns() []column {
	return []column{
		{"attained_%", "%.2f", percent((*Result).Attainment)},
		{"gold_%", "%.2f", tierPercent(0)},
		{"silver_%", "%.2f", tierPercent(1)},
		{"bronze_%", "%.2f", tierPercent(2)},
		{"refused_%", "%.2f", func(r *Result) float64 { return 100 * ratio(float64(r.Refused), float64(r.Offered)) }},
		{"failed_%", "%.2f", func(r *Result) float64 { return 100 * ratio(float64(r.Failed), float64(r.Offered)) }},
		{"p50_ms", "%.0f", quantileMS(50)},
		{"p99_ms", "%.0f", quantileMS(99)},
		{"stage_s", "%.3f", (*Result).SecondsPerAttained},
		{"prefill", "%.0f", (*Result).PrefillPerAttained},
		{"wasted_%", "%.1f", percent((*Result).WastedShare)},
		{"attempts", "%.3f", func(r *Result) float64 { return ratio(float64(r.Attempts), float64(r.Offered)) }},
		{"saveable", "%.0f", func(r *Result) float64 { return ratio(float64(r.AvoidableTokens), float64(r.Attained)) }},
	}
}

// WriteTable writes the cells as an aligned table, attainment with its range
// over the seeds.
func WriteTable(w io.Writer, cells []*Cell) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(out, "shape\tfault\tload\tpolicy\tspread_%")
	for _, col := range columns() {
		fmt.Fprint(out, "\t", col.name)
	}
	fmt.Fprintln(out)
	for _, c := range cells {
		least, most := c.Range((*Result).Attainment)
		fmt.Fprintf(out, "%s\t%s\t%.1f\t%s\t%.1f-%.1f", c.Shape, c.Fault, c.Load, c.Policy, 100*least, 100*most)
		for _, col := range columns() {
			fmt.Fprintf(out, "\t"+col.format, c.Mean(col.measure))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}

// WriteCSV writes the cells as CSV, with the mean, smallest and largest value
// of every column and the cost of each stage.
func WriteCSV(w io.Writer, cells []*Cell) error {
	out := csv.NewWriter(w)
	header := []string{"shape", "fault", "load", "policy", "seeds"}
	for _, col := range columns() {
		header = append(header, col.name, col.name+"_least", col.name+"_most")
	}
	for _, s := range stageShapes() {
		header = append(header, s.Name+"_s")
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, c := range cells {
		if err := out.Write(c.csv()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func (c *Cell) csv() []string {
	row := []string{c.Shape, string(c.Fault), decimal(c.Load), c.Policy, strconv.Itoa(len(c.Results))}
	for _, col := range columns() {
		least, most := c.Range(col.measure)
		row = append(row, decimal(c.Mean(col.measure)), decimal(least), decimal(most))
	}
	for i := range stageShapes() {
		row = append(row, decimal(c.Mean(func(r *Result) float64 {
			return ratio(r.Stages[i].Seconds, float64(r.Attained))
		})))
	}
	return row
}

func decimal(v float64) string {
	return strconv.FormatFloat(v, 'f', 4, 64)
}
