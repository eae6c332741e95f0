package scenario

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	operators "github.com/ivyhollow/ivyhollow/client"
	"github.com/ivyhollow/ivyhollow/daemon/command"
	"github.com/ivyhollow/ivyhollow/testkit/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"ivyhollowd": func() { os.Exit(command.Main()) },
		"standin":    func() { os.Exit(standin.Main()) },
		"ivyhollow":  operatorMain,
		"submit":     SubmitMain,
		"expected":   ExpectedMain,
	})
}

// operatorMain is the operators' client, wired as in its command.
func operatorMain() {
	os.Exit(operators.Run(context.Background(), os.Args[1:], operators.Options{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
	}))
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: Setup,
		Cmds:  Verbs(),
	})
}
