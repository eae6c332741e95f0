// Command standin runs a stand-in of the platform or of a target.
package main

import (
	"os"

	"github.com/ivyhollow/ivyhollow/testkit/standin"
)

func main() { os.Exit(standin.Main()) }
