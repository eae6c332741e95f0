// Command ivyhollowd is the daemon of every entry instance.
package main

import (
	"os"

	"github.com/ivyhollow/ivyhollow/daemon/command"
)

func main() { os.Exit(command.Main()) }
