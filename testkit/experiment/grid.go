package experiment

import (
	"runtime"
	"sync"
	"time"
)

// Grid is a set of runs: the Cartesian product of its lists.
type Grid struct {
	Shapes   []Shape
	Loads    []float64
	Faults   []Fault
	Seeds    []uint64
	Policies []Policy
	Length   time.Duration
	// AgeKnown is Config.AgeKnown of all runs.
	AgeKnown bool
}

// Cell is one combination of shape, policy, load and fault, with the results of all
// seeds.
type Cell struct {
	Shape, Policy string
	Load          float64
	Fault         Fault
	Results       []*Result
}

// maxParallel is the largest number of runs at once.
const maxParallel = 4

// Run executes the runs of the grid. It returns the cells ordered by shape, then fault,
// load and policy, each in the order of its list.
func (g *Grid) Run() []*Cell {
	var cells []*Cell
	var work []func()
	for _, shape := range g.Shapes {
		for _, fault := range g.Faults {
			for _, load := range g.Loads {
				for _, policy := range g.Policies {
					cell := &Cell{Shape: shape.Name, Policy: policy.Name, Load: load, Fault: fault}
					cell.Results = make([]*Result, len(g.Seeds))
					cells = append(cells, cell)
					for i, seed := range g.Seeds {
						config := Config{shape, load, fault, seed, g.Length, policy, g.AgeKnown}
						work = append(work, func() { cell.Results[i] = Run(config) })
					}
				}
			}
		}
	}
	runParallel(work)
	return cells
}

func runParallel(work []func()) {
	next := make(chan func())
	var workers sync.WaitGroup
	for range min(maxParallel, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for f := range next {
				f()
			}
		})
	}
	for _, f := range work {
		next <- f
	}
	close(next)
	workers.Wait()
}

// Mean returns the mean of a measure over the seeds.
func (c *Cell) Mean(measure func(*Result) float64) float64 {
	sum := 0.0
	for _, r := range c.Results {
		sum += measure(r)
	}
	return ratio(sum, float64(len(c.Results)))
}

// Range returns the smallest and the largest value of a measure over the seeds.
func (c *Cell) Range(measure func(*Result) float64) (least, most float64) {
	for i, r := range c.Results {
		v := measure(r)
		if i == 0 {
			least, most = v, v
		}
		least, most = min(least, v), max(most, v)
	}
	return least, most
}
