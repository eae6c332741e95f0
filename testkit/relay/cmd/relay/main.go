// Command relay runs a test relay as a separate process, with its commands served over HTTP.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

const headerTimeout = 5 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "IP:port to relay")
	target := flag.String("target", "", "IP:port to forward to")
	admin := flag.String("admin", "127.0.0.1:0", "loopback IP:port of the commands")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *listen, *target, *admin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until the context ends. It first prints both addresses, for scripts to read.
func run(ctx context.Context, listen, target, admin string) error {
	r, err := relay.Start(listen, target)
	if err != nil {
		return err
	}
	defer r.Close()
	l, err := net.Listen("tcp", admin)
	if err != nil {
		return fmt.Errorf("relay: admin: %w", err)
	}
	server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Printf("relay %s admin %s\n", r.Addr(), l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("relay: serve: %w", err)
	}
	return nil
}
