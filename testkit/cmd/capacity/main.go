// Command capacity measures how the state, the messages and the CPU time of an
// instance grow, and prints the slopes and the values at the design sizes.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/testkit/capacity"
)

func main() {
	only := flag.String("only", "", "measures to run, by name and comma; empty for all")
	repeat := flag.Int("repeat", 5, "repetitions of each point; the median counts")
	quick := flag.Bool("quick", false, "leave the largest sizes out")
	flag.Parse()
	if err := run(*only, capacity.Options{Repeat: *repeat, Quick: *quick}); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(only string, o capacity.Options) error {
	// Disables the logs: hundreds of instances in this process would each log
	// their members.
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	names := strings.Split(only, ",")
	for _, m := range capacity.Measurements() {
		if only != "" && !slices.Contains(names, m.Name) {
			continue
		}
		fmt.Printf("%s: %s\n", m.Name, m.About)
		series, err := m.Run(o)
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		if err := capacity.WriteTable(os.Stdout, series); err != nil {
			return err
		}
		fmt.Println()
	}
	return nil
}
