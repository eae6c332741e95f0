// Package client implements the operators' command-line client: commands that
// write and read records through the platform's object API, and that query an
// instance about requests.
package client

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Names of the global flags and of the environment variables that replace them.
const (
	flagPlatform = "platform"
	flagInstance = "instance"
	flagKeyFile  = "key-file"
	flagOutput   = "output"
	flagTimeout  = "timeout"
	flagFile     = "file"

	envPlatform = "IVYHOLLOW_PLATFORM"
	envInstance = "IVYHOLLOW_INSTANCE"
	envKey      = "IVYHOLLOW_KEY"
)

// Options are the streams, the environment and the network of the process that the
// client runs in.
type Options struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv returns the value of an environment variable.
	Getenv func(string) string
	// OpenStore returns a store for the platform at baseURL; nil means an HTTP
	// client of the platform.
	OpenStore func(baseURL string) Store
	// HTTP sends the calls to instances; nil means a new HTTP client.
	HTTP *http.Client
}

// app executes one command line.
type app struct {
	Options
	sleep sleepFunc
}

// Run executes the command line args, which excludes the program's name, and
// returns the exit code.
func Run(ctx context.Context, args []string, options Options) int {
	a := &app{Options: options, sleep: sleep}
	if a.OpenStore == nil {
		a.OpenStore = func(baseURL string) Store { return platform.New(platform.Options{BaseURL: baseURL}) }
	}
	if a.HTTP == nil {
		a.HTTP = platform.NewHTTPClient(platform.NewTransport())
	}
	err := a.root().Run(ctx, append([]string{"ivyhollow"}, args...))
	a.printError(err)
	return ExitCode(err)
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:                  "ivyhollow",
		Usage:                 "write and read the records that drive ivyhollow, and see how requests fared",
		Writer:                a.Stdout,
		ErrWriter:             a.Stderr,
		EnableShellCompletion: true,
		Suggest:               true,
		// Run prints errors and maps them to the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          a.globalFlags(),
		Commands: []*cli.Command{
			a.applyCommand(), a.validateCommand(), a.getCommand(), a.listCommand(), a.watchCommand(),
			a.deleteCommand(), a.statusCommand(), a.requestCommand(), a.submitCommand(), a.explainCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("there is no command %q", cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
	applySettings(root)
	return root
}

// applySettings sets on a command and on its subcommands the settings that the
// library doesn't propagate to subcommands.
func applySettings(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	// File names may contain commas.
	cmd.DisableSliceFlagSeparator = true
	for _, sub := range cmd.Commands {
		applySettings(sub)
	}
}

func (a *app) globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "`URL` of the platform's object API, or " + envPlatform},
		&cli.StringFlag{Name: flagInstance, Usage: "`URL` of an instance, or " + envInstance},
		&cli.StringFlag{Name: flagKeyFile, Usage: "`FILE` that holds the caller key, or the key in " + envKey},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT`: table (or text) or json", Validator: checkOutput},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound on the whole command; watch has none"},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usagef("%v", err)
}

// printError prints err to Stderr. Stdout carries results only.
func (a *app) printError(err error) {
	if err != nil {
		fmt.Fprintf(a.Stderr, "ivyhollow: %v\n", err)
	}
}

// store opens the store at the platform URL of the command line or the
// environment.
func (a *app) store(cmd *cli.Command) (Store, error) {
	url := a.platformURL(cmd)
	if url == "" {
		return nil, usagef("name the platform with --%s or %s", flagPlatform, envPlatform)
	}
	return a.OpenStore(url), nil
}

// kindAndStore validates the kind of record in the command's first argument and
// opens the store.
func (a *app) kindAndStore(cmd *cli.Command) (kind string, store Store, err error) {
	kind = cmd.Args().First()
	if err := checkKind(kind); err != nil {
		return "", nil, err
	}
	store, err = a.store(cmd)
	return kind, store, err
}

func (a *app) platformURL(cmd *cli.Command) string {
	if url := cmd.String(flagPlatform); url != "" {
		return url
	}
	return a.Getenv(envPlatform)
}

// action wraps the handler of a command: it checks the number of arguments and
// applies the timeout.
func action(args int, names string, handler func(context.Context, *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != args {
			return usagef("%s takes %d arguments (%s), not %d", cmd.FullName(), args, names, cmd.Args().Len())
		}
		bounded, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return handler(bounded, cmd)
	}
}
