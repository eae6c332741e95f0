// Command experiment simulates routing and admission policies over a grid of
// organisations, faults and loads in virtual time. It writes a table and, on
// request, a comparison with the baselines, a CSV file and plots.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/testkit/experiment"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

type options struct {
	loads, faults, shapes, policies, goal string
	seeds                                 int
	length                                time.Duration
	csv, plots                            string
	ageKnown                              bool
}

func parse() options {
	var o options
	flag.StringVar(&o.loads, "loads", "0.5,0.8,1.0,1.3,2.0", "offered loads, as shares of the nominal capacity")
	flag.StringVar(&o.faults, "faults", "", "faults; empty for all")
	flag.StringVar(&o.shapes, "shapes", "", "organisations; empty for all")
	flag.StringVar(&o.policies, "policies", "", "policies; empty for the baselines and ours")
	flag.StringVar(&o.goal, "goal", "", "policy to compare with the best baseline")
	flag.IntVar(&o.seeds, "seeds", 5, "number of seeds")
	flag.DurationVar(&o.length, "length", 48*time.Second, "virtual length of a run")
	flag.StringVar(&o.csv, "csv", "", "file for the CSV report")
	flag.StringVar(&o.plots, "plots", "", "directory for the plots")
	flag.BoolVar(&o.ageKnown, "age-known", false, "routers know the true age of load reports")
	flag.Parse()
	return o
}

func run() error {
	o := parse()
	grid, err := o.grid()
	if err != nil {
		return err
	}
	cells := grid.Run()
	if err := experiment.WriteTable(os.Stdout, cells); err != nil {
		return err
	}
	if o.goal != "" {
		fmt.Println()
		if err := experiment.WriteGoal(os.Stdout, cells, o.goal, names(experiment.Baselines())); err != nil {
			return err
		}
	}
	if err := o.writeCSV(cells); err != nil {
		return err
	}
	return o.writePlots(grid, cells)
}

func (o *options) grid() (*experiment.Grid, error) {
	grid := &experiment.Grid{Length: o.length, AgeKnown: o.ageKnown}
	for _, text := range strings.Split(o.loads, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("loads: %w", err)
		}
		grid.Loads = append(grid.Loads, load)
	}
	for seed := range o.seeds {
		grid.Seeds = append(grid.Seeds, uint64(seed+1))
	}
	var err error
	grid.Faults, err = choose("fault", o.faults, experiment.Faults(), func(f experiment.Fault) string { return string(f) })
	if err != nil {
		return nil, err
	}
	shapes := []experiment.Shape{experiment.Periyar(), experiment.Fjallaskali()}
	grid.Shapes, err = choose("shape", o.shapes, shapes, func(s experiment.Shape) string { return s.Name })
	if err != nil {
		return nil, err
	}
	policies := o.policies
	if policies == "" {
		policies = strings.Join(append(names(experiment.Baselines()), experiment.RoutingPolicy, experiment.ManagedPolicy, "gate_2_2", "oracle"), ",")
	}
	grid.Policies, err = choose("policy", policies, experiment.Policies(), func(p experiment.Policy) string { return p.Name })
	return grid, err
}

func names(policies []experiment.Policy) []string {
	var out []string
	for _, p := range policies {
		out = append(out, p.Name)
	}
	return out
}

// choose returns the items whose names are in the comma-separated list, or all
// items if the list is empty.
func choose[T any](kind, list string, all []T, name func(T) string) ([]T, error) {
	if list == "" {
		return all, nil
	}
	var chosen []T
next:
	for _, wanted := range strings.Split(list, ",") {
		for _, item := range all {
			if name(item) == wanted {
				chosen = append(chosen, item)
				continue next
			}
		}
		return nil, fmt.Errorf("unknown %s %q", kind, wanted)
	}
	return chosen, nil
}

func (o *options) writeCSV(cells []*experiment.Cell) error {
	if o.csv == "" {
		return nil
	}
	f, err := os.Create(o.csv)
	if err != nil {
		return err
	}
	if err := experiment.WriteCSV(f, cells); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func (o *options) writePlots(grid *experiment.Grid, cells []*experiment.Cell) error {
	if o.plots == "" {
		return nil
	}
	for _, shape := range grid.Shapes {
		for _, fault := range grid.Faults {
			name := fmt.Sprintf("attainment-%s-%s.png", shape.Name, fault)
			if err := experiment.PlotAttainment(filepath.Join(o.plots, name), cells, shape.Name, fault); err != nil {
				return err
			}
		}
	}
	return nil
}
