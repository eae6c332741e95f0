package capacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Point is one measured value at one size.
type Point struct{ Size, Value float64 }

// Series is a quantity measured at several sizes.
type Series struct {
	// Quantity is what was measured, Unit its unit.
	Quantity, Unit string
	// Size names what was varied, Target is its size to come.
	SizeUnit   string
	DesignSize float64
	// Budget is the most that the quantity may be at the target; 0 is none.
	Budget float64
	Points []Point
}

// add measures one more point.
func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

// Fit is a straight line by least squares.
type Fit struct {
	Intercept, Slope float64
	// Residual is the largest distance of a point from the line, as a share of
	// the largest value.
	Residual float64
}

// Fit fits the points. A single point gives a level line.
func (s *Series) Fit() Fit {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	var f Fit
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		f.Slope = (n*sumXY - sumX*sumY) / spread
	}
	if n > 0 {
		f.Intercept = (sumY - f.Slope*sumX) / n
	}
	f.Residual = s.residual(f)
	return f
}

func (s *Series) residual(f Fit) float64 {
	worst, largest := 0.0, 0.0
	for _, p := range s.Points {
		worst = max(worst, math.Abs(p.Value-f.valueAt(p.Size)))
		largest = max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}

func (f Fit) valueAt(size float64) float64 { return f.Intercept + f.Slope*size }

// AtTarget returns the value at the target size, and whether it was measured
// there and not extrapolated.
func (s *Series) AtDesignSize() (value float64, measured bool) {
	for _, p := range s.Points {
		if p.Size == s.DesignSize {
			return p.Value, true
		}
	}
	return s.Fit().valueAt(s.DesignSize), false
}

// WriteTable writes the points, the fit and the value at the target size.
func WriteTable(w io.Writer, all []Series) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range all {
		s := &all[i]
		fit := s.Fit()
		value, measured := s.AtDesignSize()
		how := "measured"
		if !measured {
			how = "EXTRAPOLATED"
		}
		fmt.Fprintf(table, "%s\t%s\t", s.Quantity, s.Unit)
		for _, p := range s.Points {
			fmt.Fprintf(table, "%.0f: %.4g\t", p.Size, p.Value)
		}
		fmt.Fprintf(table, "slope %.3g per %s\tresidual %.0f%%\tat %.0f: %.4g %s", fit.Slope, s.SizeUnit, 100*fit.Residual, s.DesignSize, value, how)
		if s.Budget > 0 {
			fmt.Fprintf(table, "\t%.0f%% of %.4g%s", 100*value/s.Budget, s.Budget, overBudgetMark(value, s.Budget))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func overBudgetMark(value, budget float64) string {
	if value > budget {
		return " OVER"
	}
	return ""
}

// The budgets of an instance for control.
const (
	// budgetCPU is in milliseconds of processor time a second: 1.2% of a core.
	cpuBudget = 12
	// budgetMemory is in megabytes.
	memoryBudget = 128
	// budgetBytes is in bytes sent a second.
	sendBudget = 2048
)

// Sizes to come.
const (
	designNodes    = 440
	designTargets  = 4000
	designAccounts = 32000
	// targetRequests is the requests a second of one instance at the peak.
	designRequestRate = 42000.0 / designNodes
)

const megabyte = 1 << 20
