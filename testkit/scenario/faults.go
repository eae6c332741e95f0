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
func setStoreFaults(_ *testscript.TestScript, tb *testbed, args []string) error {
	text := strings.Join(args, " ")
	if text == "ok" {
		text = "{}"
	}
	return sendJSON(http.MethodPut, tb.platform+platformemulator.PathFaults, text)
}

// setTargetFaults: fault TARGET JSON, fault TARGET ok.
func setTargetFaults(_ *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "")
	if err != nil {
		return err
	}
	text := strings.Join(args[1:], " ")
	if text == "ok" {
		text = "[]"
	}
	return sendJSON(http.MethodPost, base+targetemulator.PathAdminFaults, text)
}

// setLeaving: leaving TARGET has the target report that it leaves, while the platform still
// lists it as ready.
func setLeaving(_ *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "")
	if err != nil {
		return err
	}
	return sendJSON(http.MethodPost, base+targetemulator.PathAdminLeaving, `{"leaving":true}`)
}

// unlistTarget: unlist TARGET removes it from the platform's list.
func unlistTarget(_ *testscript.TestScript, tb *testbed, args []string) error {
	return sendJSON(http.MethodDelete, tb.platform+platformemulator.PathTargets+"/"+args[0], "{}")
}

// startRelay: relay NAME platform|TARGET starts a TCP relay before a process. A target is
// listed with the relay's address from then on; an instance uses the relay as its platform by
// --platform NAME.
func startRelay(_ *testscript.TestScript, tb *testbed, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: relay NAME platform|TARGET")
	}
	p, err := tb.process(args[1])
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
	tb.relays[args[0]] = r
	if args[1] == platformProcess {
		return nil
	}
	return tb.listTarget(args[1], r.Addr())
}

// listTarget lists a target at the platform with another address.
func (tb *testbed) listTarget(incarnation, address string) error {
	entry := tb.listed[incarnation]
	entry.Address = address
	text, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return sendJSON(http.MethodPut, tb.platform+platformemulator.PathTargets, string(text))
}

// runRelayCommand: link RELAY mute|mute-answers|mute-new|reset|refuse|restore. mute makes the
// open connections silent permanently while new ones work, mute-answers only on the way back.
func runRelayCommand(_ *testscript.TestScript, tb *testbed, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: link RELAY COMMAND")
	}
	r, ok := tb.relays[args[0]]
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

// waitDropped: dropped RELAY waits until muted connections have dropped bytes.
func waitDropped(_ *testscript.TestScript, tb *testbed, args []string) error {
	r, ok := tb.relays[args[0]]
	if !ok {
		return errors.Newf("no relay %s in this scenario", args[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return r.Await(ctx, func(s relay.Stats) bool { return s.DroppedBytes > 0 })
}
