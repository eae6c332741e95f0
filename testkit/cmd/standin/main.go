// Command standin runs an emulator of the platform or of a target.
package main

import (
	"os"

	"github.com/ivyhollow/ivyhollow/testkit/standin"
)

func main() { os.Exit(standin.Main()) }
