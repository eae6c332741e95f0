package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Main runs the daemon's command line and returns the exit code.
func Main() int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := catchSignals()
	go s.stopOnSignal(cancel, os.Exit)
	root := &cli.Command{
		Name:                  "ivyhollowd",
		Usage:                 "serves multi-stage model pipelines on an entry instance",
		Version:               Version,
		Commands:              All(),
		EnableShellCompletion: true,
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ivyhollowd:", err)
		return ExitCode(err)
	}
	return 0
}
