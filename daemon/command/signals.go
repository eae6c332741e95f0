package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// exitForced is the exit code if an interrupt ended a planned stop early.
const exitForced = 3

// stopSignals receives the signals that request a planned stop. They are caught from the
// start of the process to its end, because a signal that isn't caught ends the process with
// all requests in flight.
type stopSignals struct {
	received chan os.Signal
}

// catchSignals catches SIGTERM and SIGINT from now on. It also ignores SIGPIPE, so that a
// write to a closed pipe fails instead of ending the process when the reader of its log has
// exited.
func catchSignals() stopSignals {
	s := stopSignals{received: make(chan os.Signal, 2)}
	signal.Notify(s.received, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// catchHangups catches SIGHUP from now on. The signal stays caught during a planned stop,
// when the settings are no longer reloaded: otherwise it would end the process with all
// requests in flight.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// stopOnSignal starts the planned stop at the first signal. A later SIGINT ends the process:
// it comes from a person who doesn't want to wait any longer. A later SIGTERM is ignored: it
// comes from a process manager that runs overlapping restarts, and SIGKILL can still end the
// process without a planned stop.
func (s stopSignals) stopOnSignal(stop context.CancelFunc, exit func(code int)) {
	<-s.received
	stop()
	for sig := range s.received {
		if sig == syscall.SIGINT {
			exit(exitForced)
			return
		}
		telemetry.InfoS("Planned stop goes on", telemetry.Event{Reason: "signal came again"})
	}
}

// reloadOnHangup reloads the settings at each SIGHUP until the context ends. If the file is
// invalid, the settings stay as they are.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, path string, apply func(settings.Settings)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := settings.Load(path)
		if err != nil {
			telemetry.ErrorS(err, "Settings refused, the ones before stay in force", telemetry.Event{})
			continue
		}
		apply(s)
	}
}

// logSettingsUnchanged handles the reload of an instance that applies its settings at its
// start only.
func logSettingsUnchanged(settings.Settings) {
	telemetry.InfoS("Settings are in force at the next start", telemetry.Event{})
}
