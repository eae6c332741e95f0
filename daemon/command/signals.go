package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ivyhollow/ivyhollow/settings"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// exitForced is the exit code after an interrupt cut a planned stop short.
const exitForced = 3

// signals are what the daemon is told from outside.
//
// They are caught before anything else is done and until the process has ended. One
// that isn't caught ends the process with all requests in flight: so did SIGHUP during
// a planned stop, when the settings were no longer read again.
type stopSignals struct {
	received chan os.Signal
}

// catchSignals also lets writes to a pipe that nobody reads fail: the signal that they
// send would end the process as soon as the reader of its log is gone.
func catchSignals() stopSignals {
	s := stopSignals{received: make(chan os.Signal, 2)}
	signal.Notify(s.received, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// catchHangups returns the hangups from now on; each would else end the process.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// stopOnce starts the planned stop at the first signal. An interrupt after it comes from
// a person who has waited long enough, and ends the process. SIGTERM comes again from
// process managers whose restarts overlap: the stop under way goes on, since whoever
// wants an end without one has SIGKILL.
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

// reloadOnHangup reads the settings again at each hangup until the context ends. A file
// at fault leaves the settings as they are.
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

// keepSettings is what a hangup does to an instance that reads its settings at its
// start alone.
func logSettingsUnchanged(settings.Settings) {
	telemetry.InfoS("Settings are in force at the next start", telemetry.Event{})
}
