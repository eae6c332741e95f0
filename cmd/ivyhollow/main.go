// Command ivyhollow is the operators' command-line client of ivyhollow.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ivyhollow/ivyhollow/client"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := client.Run(ctx, os.Args[1:], client.Options{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
	})
	stop()
	os.Exit(code)
}
