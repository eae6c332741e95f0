package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ivyhollow/ivyhollow/daemon/command"
	"github.com/ivyhollow/ivyhollow/testkit/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"ivyhollowd": func() { os.Exit(command.Main()) },
		"standin":    func() { os.Exit(standin.Main()) },
		"submit":     SubmitMain,
		"expected":   ExpectedMain,
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: Setup,
		Cmds:  Verbs(),
	})
}
