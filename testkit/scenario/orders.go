package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	targetemulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// takeoverTimeout bounds a wait in which a successor waits out the lease term and the longest
// order of its predecessor, 40 s by default.
const takeoverTimeout = 3 * waitTimeout

// waitHolder: holder POOL [ABOVE] waits until an instance holds the pool's lease with a
// fencing number above the given one, and sets $HOLDER and $FENCING.
func waitHolder(ts *testscript.TestScript, tb *testbed, args []string) error {
	above := 0
	if len(args) > 1 {
		var err error
		if above, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	}
	store := platform.New(platform.Options{BaseURL: tb.platform, Instance: "operator"})
	var held lease.Record
	var failed error
	err := until("lease of "+args[0], func() bool {
		object, err := store.Get(context.Background(), platformapi.KindLeases, args[0])
		if failed = err; err != nil {
			return false
		}
		held = lease.Record{}
		return json.Unmarshal(object.Spec, &held) == nil && held.Holder != "" && held.Fencing > uint64(above)
	})
	if err != nil {
		err = errors.CombineErrors(errors.Wrapf(err, "last seen: %+v", held), failed)
	}
	name, _, _ := strings.Cut(held.Holder, "-")
	ts.Setenv("HOLDER", name)
	ts.Setenv("FENCING", strconv.FormatUint(held.Fencing, 10))
	return err
}

// waitLapsed: lapsed INSTANCE POOL waits until the instance itself counts the lease, which it
// held, as lost.
func waitLapsed(_ *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "admin")
	if err != nil {
		return err
	}
	lost := regexp.MustCompile(fmt.Sprintf(`orders_lease_lost\{pool=%q\} [1-9]`, args[1]))
	return until(args[0]+" without the lease", func() bool {
		_, _, body, err := exchange(http.MethodGet, base+"/metrics", nil, nil)
		return err == nil && lost.Match(body)
	})
}

// waitHas: has TARGET model|adapter|version|role VALUE waits until the target reports it.
func waitHas(_ *testscript.TestScript, tb *testbed, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: has TARGET model|adapter|version|role VALUE")
	}
	return untilWithin(takeoverTimeout, strings.Join(args, " "), func() bool {
		report, err := tb.loadReport(args[0])
		if err != nil {
			return false
		}
		switch args[1] {
		case "model":
			return slices.Contains(report.Models, args[2])
		case "adapter":
			return slices.Contains(report.Adapters, args[2])
		case "version":
			return report.Version == args[2]
		}
		return report.Role == args[2]
	})
}

func (tb *testbed) loadReport(name string) (targetapi.Load, error) {
	var report targetapi.Load
	base, err := tb.url(name, "")
	if err != nil {
		return report, err
	}
	_, _, body, err := exchange(http.MethodGet, base+targetapi.PathLoad, nil, nil)
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(body, &report)
}

// printOrders: orders TARGET prints the orders that took effect, the oldest first, each as its
// fencing number, action and value.
func printOrders(ts *testscript.TestScript, tb *testbed, args []string) error {
	base, err := tb.url(args[0], "")
	if err != nil {
		return err
	}
	_, _, body, err := exchange(http.MethodGet, base+targetemulator.PathAdminOrders, nil, nil)
	if err != nil {
		return err
	}
	var orders []targetapi.Order
	if err := json.Unmarshal(body, &orders); err != nil {
		return err
	}
	for _, o := range orders {
		fmt.Fprintln(ts.Stdout(), o.Fencing, o.Action, o.Value)
	}
	return nil
}

// giveOrder: order TARGET FENCING ACTION VALUE gives an order as a holder does that was paused
// between its check of the lease and the sending. It fails when the target refuses the order.
func giveOrder(_ *testscript.TestScript, tb *testbed, args []string) error {
	if len(args) != 4 {
		return errors.New("usage: order TARGET FENCING ACTION VALUE")
	}
	fencing, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	base, err := tb.url(args[0], "")
	if err != nil {
		return err
	}
	text, err := json.Marshal(targetapi.Order{ID: "late", Fencing: fencing, Action: args[2], Value: args[3]})
	if err != nil {
		return err
	}
	return sendJSON(http.MethodPost, base+targetapi.PathOrders, string(text))
}

// releaseOrders: release TARGET... lets the orders that a target holds take effect.
func releaseOrders(_ *testscript.TestScript, tb *testbed, args []string) error {
	for _, name := range args {
		base, err := tb.url(name, "")
		if err != nil {
			return err
		}
		if err := sendJSON(http.MethodPost, base+targetemulator.PathAdminReleaseOrders, "{}"); err != nil {
			return err
		}
	}
	return nil
}

// waitComplete: complete POOL COUNT waits until the pool's state reports that it has COUNT
// targets and all of them match the present desired state.
func waitComplete(_ *testscript.TestScript, tb *testbed, args []string) error {
	store := platform.New(platform.Options{BaseURL: tb.platform, Instance: "operator"})
	return until(strings.Join(args, " ")+" complete", func() bool {
		object, err := store.Get(context.Background(), platformapi.KindOrders, args[0])
		if err != nil {
			return false
		}
		var entry platformapi.OrdersEntry
		return json.Unmarshal(object.Spec, &entry) == nil &&
			strconv.Itoa(entry.Complete) == args[1] && entry.Complete == entry.Targets
	})
}
