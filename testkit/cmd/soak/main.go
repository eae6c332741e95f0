// Command soak runs the fault soak with a series of seeds.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/testkit/soak"
)

func main() {
	binary := flag.String("binary", "target/ivyhollowd", "the daemon")
	first := flag.Uint64("seed", uint64(time.Now().UnixNano()), "the first seed")
	count := flag.Int("seeds", 10, "how many seeds to play, one after the other")
	faults := flag.Duration("faults", 10*time.Second, "how long faults come")
	dir := flag.String("dir", os.TempDir(), "where settings and logs of failed seeds are kept")
	planned := flag.Bool("planned", false, "do planned work only, and check that no caller loses by it")
	cuts := flag.Bool("cuts", false, "cut instances from targets only, and check how callers are served")
	accounts := flag.Bool("accounts", false, "have client accounts compete beside faults, and check how each is served")
	versions := flag.Bool("versions", false, "roll out software versions of engines beside faults, and check what becomes of streams")
	instances := flag.Int("instances", 4, "how many instances run")
	callers := flag.Int("callers", 12, "how many callers there are")
	pauses := flag.Bool("pauses", true, "pause targets again and again, beside faults or planned work")
	silences := flag.Int("silences", 2, "how often the store is silent after the faults, and a target leaves then")
	verbose := flag.Bool("verbose", false, "tell what was done in runs that pass, too")
	flag.Parse()
	failed := 0
	for i := range *count {
		seed := *first + uint64(i)
		o := soak.Options{
			Binary: *binary, Dir: filepath.Join(*dir, "soak-"+strconv.FormatUint(seed, 10)),
			Seed: seed, Faults: *faults, Instances: *instances, Callers: *callers, Planned: *planned, Cuts: *cuts, Versions: *versions, Accounts: *accounts,
			Silences: *silences, Pauses: *pauses,
		}
		if !runSeed(o, *verbose) {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, *count)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed, prints its report and keeps its logs if it failed.
func runSeed(o soak.Options, verbose bool) bool {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d requests, %d served, %d promises broken\n", report.Seed, report.Requests, report.Served, len(report.Violations))
	if o.Planned {
		fmt.Printf("  refused %d, crossed a close %d, not accepted %d, overdue %d, ended by a stop %d\n",
			report.Losses.Refused, report.Losses.Crossed, report.Losses.Unaccepted, report.Losses.Overdue, report.Losses.StopEnded)
	}
	if o.Versions {
		fmt.Printf("  %+v\n", report.Streams)
	}
	for _, a := range report.Accounts {
		fmt.Printf("  %+v\n", a)
	}
	for _, b := range report.Violations {
		fmt.Println("  broken:", b)
	}
	failed := len(report.Violations) > 0
	if failed || verbose {
		for _, f := range report.Faults {
			fmt.Println("  fault:", f)
		}
	}
	if !failed {
		_ = os.RemoveAll(o.Dir) // logs of a passed run aren't needed
	}
	return !failed
}
