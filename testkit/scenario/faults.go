package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	platformemulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	targetemulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// setStoreFaults: store JSON, store ok.
func setStoreFaults(_ *testscript.TestScript, w *testbed, args []string) error {
	text := strings.Join(args, " ")
	if text == "ok" {
		text = "{}"
	}
	return sendJSON(http.MethodPut, w.platform+platformemulator.PathFaults, text)
}

// setTargetFaults: fault TARGET JSON, fault TARGET ok.
func setTargetFaults(_ *testscript.TestScript, w *testbed, args []string) error {
	base, err := w.url(args[0], "")
	if err != nil {
		return err
	}
	text := strings.Join(args[1:], " ")
	if text == "ok" {
		text = "[]"
	}
	return sendJSON(http.MethodPost, base+targetemulator.PathAdminFaults, text)
}

// setLeaving: leaving TARGET; the target itself says so, the list does not yet.
func setLeaving(_ *testscript.TestScript, w *testbed, args []string) error {
	base, err := w.url(args[0], "")
	if err != nil {
		return err
	}
	return sendJSON(http.MethodPost, base+targetemulator.PathAdminLeaving, `{"leaving":true}`)
}

// unlistTarget: unlist TARGET takes it off the platform's list.
func unlistTarget(_ *testscript.TestScript, w *testbed, args []string) error {
	return sendJSON(http.MethodDelete, w.platform+platformemulator.PathTargets+"/"+args[0], "{}")
}

// startRelay: relay NAME platform|TARGET starts a TCP relay before a process. A
// target is listed under the relay's address from then on; an instance takes
// the relay as its platform by --platform NAME.
func startRelay(_ *testscript.TestScript, w *testbed, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: relay NAME platform|TARGET")
	}
	p, err := w.process(args[1])
	if err != nil {
		return err
	}
	address, err := p.address("")
	if err != nil {
		return err
	}
	r, err := relay.Start("127.0.0.1:0", address)
	if err != nil {
		return err
	}
	w.relays[args[0]] = r
	if args[1] == platformProcess {
		return nil
	}
	return w.listTarget(args[1], r.Addr())
}

// relist gives the platform another address of a target.
func (w *testbed) listTarget(incarnation, address string) error {
	entry := w.listed[incarnation]
	entry.Address = address
	text, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return sendJSON(http.MethodPut, w.platform+platformemulator.PathTargets, string(text))
}

// commandRelay: link RELAY mute|mute-answers|mute-new|reset|refuse|restore. Mute
// makes the open connections silent for good while new ones work, mute-answers
// only on the way back.
func runRelayCommand(_ *testscript.TestScript, w *testbed, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: link RELAY COMMAND")
	}
	r, ok := w.relays[args[0]]
	if !ok {
		return errors.Newf("no relay %s in this scenario", args[0])
	}
	switch args[1] {
	case "mute":
		r.Mute(relay.Both)
	case "mute-answers":
		r.Mute(relay.ToClient)
	case "mute-new":
		r.MuteNew(relay.Both)
	case "reset":
		r.Reset()
	case "refuse":
		r.Refuse()
	case "restore":
		return r.Restore()
	default:
		return errors.Newf("no command %s", args[1])
	}
	return nil
}

// waitDropped: dropped RELAY waits until bytes were lost on muted connections.
func waitDropped(_ *testscript.TestScript, w *testbed, args []string) error {
	r, ok := w.relays[args[0]]
	if !ok {
		return errors.Newf("no relay %s in this scenario", args[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return r.Await(ctx, func(s relay.Stats) bool { return s.DroppedBytes > 0 })
}
