// Command waits reads the logs of instances from standard input. For each pipeline it prints
// how the time of requests is divided and how well it was predicted; with -plot it also
// writes two PNGs.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/ivyhollow/ivyhollow/testkit/waits"
)

func main() {
	prefix := flag.String("plot", "", "write PREFIX-waits.png and PREFIX-fill.png")
	flag.Parse()
	if err := run(*prefix); err != nil {
		fmt.Fprintln(os.Stderr, "waits:", err)
		os.Exit(1)
	}
}

func run(prefix string) error {
	l, err := waits.Read(os.Stdin)
	if err != nil {
		return err
	}
	if err := l.WriteTable(os.Stdout); err != nil {
		return err
	}
	fmt.Println()
	if err := l.WritePredictions(os.Stdout); err != nil || prefix == "" {
		return err
	}
	return l.Plot(prefix+"-waits.png", prefix+"-fill.png")
}
