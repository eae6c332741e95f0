package follow

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// heard is a follower with what it told.
type heard struct {
	*Follower
	usable  []string
	leaving []string
	spread  []spread.Record
}

// newHeard reads specs of the form "ready 100" or "leaving 100": a state and a start.
func newHeard() *heard {
	h := &heard{}
	h.Follower = New(Options{
		Source: Source{DecodeTarget: func(name string, spec []byte) (routes.Target, error) {
			state, started, _ := strings.Cut(string(spec), " ")
			n, err := strconv.ParseInt(started, 10, 64)
			if err != nil || (state != "ready" && state != "leaving") {
				return routes.Target{}, errors.Newf("entry of target %q: no spec", name)
			}
			return routes.Target{Name: name, Started: n, Service: "s", Leaving: state == "leaving"}, nil
		}},
		Spread: func(r spread.Record) { h.spread = append(h.spread, r) },
		OnChange: func(_ time.Time, _ *routes.Table, usable map[string][]routes.Target) {
			h.usable = nil
			for _, t := range usable["s"] {
				h.usable = append(h.usable, t.Incarnation())
			}
		},
		OnLeaving: func(_ time.Time, incarnation string) { h.leaving = append(h.leaving, incarnation) },
		Scope:     tally.NoopScope,
	})
	h.table.Store(&routes.Table{})
	return h
}

// event has the store tell of an entry.
func (h *heard) event(name string, revision uint64, spec string) {
	h.targetEvent(platformapi.Event{Object: platformapi.Object{
		Metadata: platformapi.Metadata{Name: name, Revision: revision}, Spec: []byte(spec),
	}})
}

// An instance meets another process at a target's address and tells the others that the
// target left. The target starts again under its name before that word has come to all,
// and it comes once more with the records that a new instance is given. It is about the
// start before.
func TestWordOfLeavingIsOfOneStart(t *testing.T) {
	h := newHeard()
	h.event("a", 1, "ready 100")
	h.event("b", 2, "ready 100")
	h.Leaving("a@100")
	require.Equal(t, []string{"b@100"}, h.usable)
	word := h.spread[len(h.spread)-1]
	require.Equal(t, recordLeaving, word.Kind)

	other := newHeard()
	other.event("a", 1, "ready 100")
	other.event("a", 3, "ready 200")
	other.Receive(word)
	require.Equal(t, []string{"a@200"}, other.usable)

	h.event("a", 3, "ready 200")
	require.Equal(t, []string{"a@200", "b@100"}, h.usable)
	h.Leaving("a@200")
	require.Equal(t, []string{"b@100"}, h.usable)
	require.Equal(t, []string{"a@100", "a@200"}, h.leaving)
	require.NotEqual(t, word.Name, h.spread[len(h.spread)-1].Name, "the second word is a record of its own")
}

// An entry's removal is told by an instance whose store was away, after the target has
// started again. Revisions order the two.
func TestRemovalToldAfterTheNextStart(t *testing.T) {
	h := newHeard()
	h.event("a", 1, "ready 100")
	h.event("a", 5, "ready 200")
	h.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 3, Deleted: true})
	h.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 1, Body: []byte("ready 100")})
	require.Equal(t, []string{"a@200"}, h.usable)
}
