package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// exitForced is the exit code after a second signal cut a planned stop short.
const exitForced = 3

// Main runs the daemon's command line and returns the exit code.
func Main() int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignal(cancel)
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

// stopOnSignal starts the planned stop at the first signal. A second one ends
// the process at once: whoever sends it has waited long enough.
func stopOnSignal(stop context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	stop()
	<-signals
	os.Exit(exitForced)
}
