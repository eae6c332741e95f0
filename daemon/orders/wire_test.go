package orders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// The stored form of a pool's lease and orders must not change. If a field or value were
// renamed, instances of another build and operators would look for the old name: two
// instances would hold the lease at once, and no target would seem to lack anything.
func TestBytesOfStoredOrders(t *testing.T) {
	rows := []struct {
		name string
		kind string
		act  func(ctx context.Context, c *Controller) error
		want string
	}{
		{"lease", platformapi.KindLeases, func(ctx context.Context, c *Controller) error {
			_, err := c.write(ctx, lease.Write{Record: lease.Record{
				Holder: "one", Fencing: 1, TermMS: 2, Attempt: 3, LongestOrderMS: 4,
			}})
			return err
		}, `{"holder":"one","fencing":1,"term_ms":2,"attempt":3,"longest_order_ms":4}`},
		{"orders", platformapi.KindOrders, func(ctx context.Context, c *Controller) error {
			c.lease.ObservedAbsent(c.opts.Now())
			c.lease.Next(c.opts.Now())
			c.lease.Written(c.opts.Now(), 5)
			c.desired.Revision = 6
			c.observations["a"] = observation{revision: 6, fencing: 1}
			c.observations["b"] = observation{revision: 6, fencing: 1, missing: []targetapi.Order{
				{Action: targetapi.ActionLoadModel, Value: "m"}, {Action: targetapi.ActionSetRole, Value: "r"},
			}}
			c.writeState(ctx, []Member{{Incarnation: "a"}, {Incarnation: "b"}, {Incarnation: "c"}})
			return nil
		}, `{"desired_revision":6,"fencing":1,"targets":3,"complete":1,"lacking":[{"incarnation":"b","lacks":["load_model m","set_role r"]},{"incarnation":"c"}]}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.New(emulator.Options{})
				c := New(Options{Holder: "one", Pool: "engines", Store: store.Local("one"), Now: time.Now})
				require.NoError(t, row.act(t.Context(), c))
				object, err := store.Local("other").Get(t.Context(), row.kind, "engines")
				require.NoError(t, err)
				require.Equal(t, row.want, string(object.Spec))
			})
		})
	}
}
