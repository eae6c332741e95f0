// Command ivyhollowd is the daemon that runs one instance.
package main

import (
	"os"

	"github.com/ivyhollow/ivyhollow/daemon/command"
)

func main() { os.Exit(command.Main()) }
