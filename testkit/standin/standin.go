// Package standin runs an emulator as a separate process: the platform or one target.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

const readTimeout = 5 * time.Second

// Main runs the command line of the emulators and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:     "standin",
		Usage:    "runs a stand-in of the platform or of a target",
		Commands: []*cli.Command{platformCommand(), targetCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"},
			&cli.DurationFlag{Name: "target-lag", Value: 500 * time.Millisecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := platform.New(platform.Options{TargetLag: c.Duration("target-lag")})
			return serve(ctx, c.String("listen"), store.Handler(), func(string) error { return nil })
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "platform", Usage: "URL of the stand-in platform to register at"},
			&cli.StringFlag{Name: "pool", Required: true},
			&cli.StringFlag{Name: "kind", Value: string(catalog.KindEngine)},
			&cli.StringFlag{Name: "incarnation", Required: true},
			&cli.StringFlag{Name: "data-centre", Value: "dc1"},
			&cli.IntFlag{Name: "slots", Value: target.DefaultSlots},
			&cli.DurationFlag{Name: "call-time", Value: 5 * time.Millisecond},
			&cli.DurationFlag{Name: "token-time", Value: 2 * time.Millisecond},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.BoolFlag{Name: "empty", Usage: "serve only models and adapters that orders have loaded"},
			&cli.DurationFlag{Name: "load-time", Usage: "time that an order takes"},
			&cli.BoolFlag{Name: "hold-orders", Usage: "orders take effect only once they are released"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	options := target.Options{
		Kind:          catalog.PoolKind(c.String("kind")),
		Incarnation:   c.String("incarnation"),
		Slots:         c.Int("slots"),
		CallTime:      c.Duration("call-time"),
		TokenTime:     c.Duration("token-time"),
		LoadTime:      c.Duration("load-time"),
		HoldOrders:    c.Bool("hold-orders"),
		ChecksFencing: c.Bool("checks-fencing"),
	}
	if options.Kind == catalog.KindService {
		options.OnRunStart = func(input string) { fmt.Println("started", input) }
	}
	if c.Bool("empty") {
		options.Models, options.Adapters = []string{}, []string{}
	}
	emulated := target.New(options)
	defer emulated.Close()
	return serve(ctx, c.String("listen"), emulated.Handler(), func(address string) error {
		if c.String("platform") == "" {
			return nil
		}
		return register(c.String("platform"), platformapi.TargetEntry{
			Pool:        c.String("pool"),
			Address:     address,
			DataCentre:  c.String("data-centre"),
			Incarnation: c.String("incarnation"),
			State:       platformapi.TargetReady,
		})
	})
}

// serve listens on the address, calls opened, prints "listening ADDRESS" and serves until ctx
// ends.
func serve(ctx context.Context, listen string, handler http.Handler, opened func(address string) error) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	address := listener.Addr().String()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	go func() {
		if err := opened(address); err != nil {
			fmt.Fprintln(os.Stderr, "standin: register:", err)
		}
		fmt.Println("listening", address)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func register(platformURL string, entry platformapi.TargetEntry) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, platformURL+platform.PathTargets, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("platform answered %d", response.StatusCode)
	}
	return nil
}
