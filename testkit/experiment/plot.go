package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// PlotAttainment writes a PNG that shows attainment over load for one shape and
// fault, with a line for each policy.
func PlotAttainment(path string, cells []*Cell, shape string, fault Fault) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s", shape, fault)
	p.X.Label.Text = "offered load, share of nominal capacity"
	p.Y.Label.Text = "attainment, % of offered requests"
	lines := map[string]plotter.XYs{}
	var order []string
	for _, c := range cells {
		if c.Shape != shape || c.Fault != fault {
			continue
		}
		if _, ok := lines[c.Policy]; !ok {
			order = append(order, c.Policy)
		}
		lines[c.Policy] = append(lines[c.Policy], plotter.XY{X: c.Load, Y: 100 * c.Mean((*Result).Attainment)})
	}
	var args []any
	for _, name := range order {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	p.Legend.Left = true
	p.Y.Max = 100
	return p.Save(plotWidth, plotHeight, path)
}
