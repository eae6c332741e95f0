// Package command holds the commands of the daemon's command line.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel"

	"github.com/ivyhollow/ivyhollow/daemon/app"
	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/daemon/gateway"
	"github.com/ivyhollow/ivyhollow/platform"
	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/telemetry"
	store "github.com/ivyhollow/ivyhollow/transport/platform"
)

// Exit codes of the daemon.
const (
	ExitFault    = 1
	ExitSettings = 2
)

// Version is set at build time.
var Version = "unreleased"

const (
	settingsFlag     = "config"
	telemetryTimeout = 2 * time.Second
)

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		return ExitSettings
	}
	return ExitFault
}

// All returns the commands of the daemon.
func All() []*cli.Command {
	return []*cli.Command{
		{
			Name:  "serve",
			Usage: "run an instance until SIGTERM, then stop it without cutting a request",
			Flags: []cli.Flag{&cli.StringFlag{Name: settingsFlag, Usage: "the settings file (INI)", Required: true}},
			Action: func(ctx context.Context, c *cli.Command) error {
				hangups := catchHangups()
				s, err := settings.Load(c.String(settingsFlag))
				if err != nil {
					return err
				}
				reloadContext, endReload := context.WithCancel(context.Background())
				defer endReload()
				go reloadOnHangup(reloadContext, hangups, c.String(settingsFlag), logSettingsUnchanged)
				return serve(ctx, s, nil, func(*app.App) {})
			},
		},
		{
			Name:  "gateway",
			Usage: "run an instance on the users' platform until SIGTERM, then stop it without cutting a request",
			Flags: []cli.Flag{&cli.StringFlag{
				Name: settingsFlag, Usage: "the settings file (INI)", Required: true,
				Sources: cli.EnvVars(platform.SettingsVariable),
			}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return runGateway(ctx, c.String(settingsFlag), catchHangups())
			},
		},
		{
			Name:      "check-config",
			Usage:     "report every fault of a settings file with section, key and line",
			ArgsUsage: "FILE",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return errors.New("check-config takes one file")
				}
				if _, err := settings.Load(c.Args().First()); err != nil {
					return err
				}
				_, err := fmt.Fprintln(c.Root().Writer, "ok")
				return err
			},
		},
		{
			Name:   "dev",
			Usage:  "run an instance with an embedded platform, targets and a sample pipeline",
			Flags:  []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "address for callers"}},
			Action: runDev,
		},
	}
}

// serve runs an instance until ctx ends. started is called once a complete configuration is
// in force.
func serve(ctx context.Context, s settings.Settings, objects store.Store, started func(*app.App)) error {
	t, err := startTelemetry(ctx, s, os.Stderr)
	if err != nil {
		return err
	}
	defer shutdown(t)
	instance, err := app.New(s, t, objects)
	if err != nil {
		return err
	}
	go func() {
		select {
		case <-instance.Started():
			started(instance)
		case <-ctx.Done():
		}
	}()
	return instance.Run(ctx)
}

func startTelemetry(ctx context.Context, s settings.Settings, logs io.Writer) (*telemetry.Telemetry, error) {
	t, err := telemetry.Start(ctx, telemetry.Options{
		Instance:     s.Instance.Name,
		DataCentre:   s.Instance.DataCentre,
		Cluster:      s.Instance.Cluster,
		Version:      Version,
		OTLPEndpoint: s.Telemetry.OTLPEndpoint,
		LogLevel:     s.Telemetry.LogLevel,
		LogOutput:    logs,
	})
	if err != nil {
		return nil, err
	}
	otel.SetTracerProvider(t.TracerProvider)
	return t, nil
}

// runGateway runs an instance on the users' platform with the settings file at path.
func runGateway(ctx context.Context, path string, hangups <-chan os.Signal) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	logs := telemetry.NewLineQueue(os.Stdout)
	defer logs.Close()
	t, err := startTelemetry(ctx, s, logs)
	if err != nil {
		return err
	}
	defer shutdown(t)
	instance, err := gateway.New(s, t, platform.Adapter())
	if err != nil {
		return err
	}
	reloadContext, endReload := context.WithCancel(context.Background())
	defer endReload()
	go reloadOnHangup(reloadContext, hangups, path, instance.Reload)
	return instance.Run(ctx)
}

func shutdown(t *telemetry.Telemetry) {
	ctx, cancel := context.WithTimeout(context.Background(), telemetryTimeout)
	defer cancel()
	_ = t.Shutdown(ctx) // spans that could not be exported are lost with the process
}

// runDev runs an instance against an embedded platform and targets.
func runDev(ctx context.Context, c *cli.Command) error {
	world, err := dev.Start(ctx)
	if err != nil {
		return err
	}
	defer world.Close()
	s := settings.Default()
	s.Instance.Name = "dev"
	s.Instance.DataCentre = "local"
	s.Listen = settings.Listen{Callers: c.String("listen"), Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Shutdown.BalancerDelay = 0
	return serve(ctx, s, world.Store.Local("dev"), func(a *app.App) {
		fmt.Fprintf(c.Root().Writer, devMessage, a.CallersURL(), dev.SampleKey, a.CallersURL(), world.PlatformURL, a.AdminURL())
	})
}

const devMessage = `ivyhollow is ready at %s. Try:

  curl -sS -H 'Authorization: Bearer %s' -d '{"input":"hello"}' %s/v1/pipelines/dossier/requests

platform for the operators' client: %s
health and metrics: %s
`
