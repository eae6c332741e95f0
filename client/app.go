// Package client is the operators' client: commands that write and read records
// through the platform's object API, and that ask an instance about requests.
package client

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Names of flags and of the environment's variables that stand for them.
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

// Options are what the client takes from its process.
type Options struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv reads the environment.
	Getenv func(string) string
	// OpenStore connects to the platform; nil means over HTTP.
	OpenStore func(baseURL string) Store
	// HTTP carries the calls to instances; nil means a client of its own.
	HTTP *http.Client
}

// app is one run of the client.
type app struct {
	Options
	sleep sleepFunc
}

// Run carries out the command line, without the program's name, and returns the
// exit code.
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
		// Errors are printed, and turned into the exit code, by Run.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          a.globalFlags(),
		Commands: []*cli.Command{
			a.applyCommand(), a.validateCommand(), a.getCommand(), a.listCommand(), a.watchCommand(),
			a.deleteCommand(), a.statusCommand(), a.requestCommand(), a.submitCommand(),
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

// settle sets on a command, and on those below it, what the library does not
// hand down.
func applySettings(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	// A comma may stand in the name of a file.
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
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT`: table or json", Validator: checkOutput},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound on the whole command; watch has none"},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usagef("%v", err)
}

// report prints an error for people; answers go to Stdout, errors never do.
func (a *app) printError(err error) {
	if err != nil {
		fmt.Fprintf(a.Stderr, "ivyhollow: %v\n", err)
	}
}

// store opens the store that the command line or the environment names.
func (a *app) store(cmd *cli.Command) (Store, error) {
	url := a.platformURL(cmd)
	if url == "" {
		return nil, usagef("name the platform with --%s or %s", flagPlatform, envPlatform)
	}
	return a.OpenStore(url), nil
}

// kindAndStore reads the kind of record that the command's first argument names,
// and opens the store.
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

// action wraps a command's work: it checks the number of arguments and bounds
// the time.
func action(args int, names string, work func(context.Context, *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != args {
			return usagef("%s takes %d arguments (%s), not %d", cmd.FullName(), args, names, cmd.Args().Len())
		}
		bounded, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return work(bounded, cmd)
	}
}
