package follow

import (
	"fmt"
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
type recordingFollower struct {
	*Follower
	usable   []string
	leaving  []string
	gossiped []spread.Record
	// inForce is the revision that was in force as a change was told.
	inForce uint64
}

// newHeard reads specs of the form "ready 100" or "leaving 100": a state and a start.
func newRecordingFollower() *recordingFollower {
	h := &recordingFollower{}
	h.Follower = New(Options{
		Source: Source{DecodeConfig: func(_ []byte, revision uint64) (*routes.Table, error) {
			return &routes.Table{Revision: revision}, nil
		}, DecodeTarget: func(name string, spec []byte) (routes.Target, error) {
			state, started, _ := strings.Cut(string(spec), " ")
			n, err := strconv.ParseInt(started, 10, 64)
			if err != nil || (state != "ready" && state != "leaving") {
				return routes.Target{}, errors.Newf("entry of target %q: no spec", name)
			}
			return routes.Target{Name: name, StartedMillis: n, Service: "s", Leaving: state == "leaving"}, nil
		}},
		Gossip: func(r spread.Record) { h.gossiped = append(h.gossiped, r) },
		OnChange: func(_ time.Time, _ *routes.Table, usable map[string][]routes.Target) {
			h.usable, h.inForce = nil, h.Table().Revision
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
func (h *recordingFollower) event(name string, revision uint64, spec string) {
	h.applyTargetEvent(platformapi.Event{Object: platformapi.Object{
		Metadata: platformapi.Metadata{Name: name, Revision: revision}, Spec: []byte(spec),
	}})
}

// An instance meets another process at a target's address and tells the others that the
// target left. The target starts again under its name before that word has come to all,
// and it comes once more with the records that a new instance is given. It is about the
// start before.
func TestWordOfLeavingIsOfOneStart(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.event("b", 2, "ready 100")
	h.Leaving("a@100")
	require.Equal(t, []string{"b@100"}, h.usable)
	word := h.gossiped[len(h.gossiped)-1]
	require.Equal(t, recordLeaving, word.Kind)

	other := newRecordingFollower()
	other.event("a", 1, "ready 100")
	other.event("a", 3, "ready 200")
	other.Receive(word)
	require.Equal(t, []string{"a@200"}, other.usable)

	h.event("a", 3, "ready 200")
	require.Equal(t, []string{"a@200", "b@100"}, h.usable)
	h.Leaving("a@200")
	require.Equal(t, []string{"b@100"}, h.usable)
	require.Equal(t, []string{"a@100", "a@200"}, h.leaving)
	require.NotEqual(t, word.Name, h.gossiped[len(h.gossiped)-1].Name, "the second word is a record of its own")
}

// An entry's removal is told by an instance whose store was away, after the target has
// started again. Revisions order the two.
func TestRemovalToldAfterTheNextStart(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.event("a", 5, "ready 200")
	h.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 3, Deleted: true})
	h.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 1, Body: []byte("ready 100")})
	require.Equal(t, []string{"a@200"}, h.usable)
}

// Another writer replaces a target's entry. It is told to the other instances as a
// removal, which takes effect at once and isn't final.
func TestEntryThatNamesNoTargetIsARemoval(t *testing.T) {
	for _, bad := range []string{"rubbish", "ready 0"} { // without the start that was told before
		h := newRecordingFollower()
		h.event("a", 1, "ready 100")
		h.event("a", 2, bad)
		require.Empty(t, h.usable)
		require.Empty(t, h.leaving)
		require.Contains(t, h.gossiped, spread.Record{Kind: recordTarget, Name: "a", Revision: 2, Deleted: true})
		h.event("a", 3, "ready 100")
		require.Equal(t, []string{"a@100"}, h.usable)

		h.applyTargetList(platformapi.List{Revision: 4, Items: []platformapi.Object{
			{Metadata: platformapi.Metadata{Name: "a", Revision: 4}, Spec: []byte(bad)},
			{Metadata: platformapi.Metadata{Name: "b", Revision: 4}, Spec: []byte("ready 100")},
		}})
		require.Equal(t, []string{"b@100"}, h.usable)
	}
}

// The same, at an instance that starts after it and lists. It never knew the target,
// and an instance that the store refuses still does: it has to be told all the same.
func TestEntryThatNamesNoTargetIsToldUnknown(t *testing.T) {
	h := newRecordingFollower()
	h.applyTargetList(platformapi.List{Revision: 4, Items: []platformapi.Object{
		{Metadata: platformapi.Metadata{Name: "a", Revision: 2}, Spec: []byte("rubbish")},
	}})
	told := spread.Record{Kind: recordTarget, Name: "a", Revision: 2, Deleted: true}
	require.Equal(t, []spread.Record{told}, h.gossiped)
	refused := newRecordingFollower()
	refused.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 1, Body: []byte("ready 100")})
	refused.Receive(told)
	require.Empty(t, refused.usable)
}

// Somebody writes bad entries with every heartbeat, under ever new names. Each fault is
// logged once, and all of them in a bounded number of lines.
func TestRefusalsAreLoggedWithinBounds(t *testing.T) {
	var r rejectionLog
	now := time.Unix(1000, 0)
	tell, last := r.shouldLog(now, "entry a: slots")
	require.True(t, tell)
	require.False(t, last)
	tell, _ = r.shouldLog(now, "entry a: slots")
	require.False(t, tell, "the same again")
	lines, lasts := 1, 0
	for i := range 10 * maxRejectionLogs {
		tell, last := r.shouldLog(now, fmt.Sprint("entry ", i))
		if tell {
			lines++
		}
		if last {
			lasts++
		}
	}
	require.Equal(t, maxRejectionLogs, lines)
	require.Equal(t, 1, lasts)
	require.Len(t, r.logged, maxRejectionLogs)
	tell, _ = r.shouldLog(now.Add(rejectionLogPeriod), "entry a: slots")
	require.True(t, tell, "what lasts is told again")
}

// A configuration names a service for the first time, whose targets have been there for
// a while. Were it in force before they are handed on, requests that come between would
// be refused for want of a target.
func TestTargetsAreHandedOnBeforeTheConfiguration(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.applyConfig(2, nil, true)
	require.Equal(t, []string{"a@100"}, h.usable)
	require.EqualValues(t, 0, h.inForce)
	require.EqualValues(t, 2, h.Table().Revision)
}

// TestListIsHandedOnOnce guards against a start whose work grows with the square of the
// number of targets.
func TestListIsHandedOnOnce(t *testing.T) {
	h := newRecordingFollower()
	handedOn := 0
	onChange := h.options.OnChange
	h.options.OnChange = func(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
		handedOn++
		onChange(now, table, usable)
	}
	h.options.Gossip = h.Receive
	var list platformapi.List
	for i := range 300 {
		list.Items = append(list.Items, platformapi.Object{
			Metadata: platformapi.Metadata{Name: fmt.Sprint("t", i), Revision: uint64(i + 1)}, Spec: []byte("ready 100"),
		})
	}
	list.Revision = 300
	h.applyTargetList(list)
	require.Len(t, h.usable, 300)
	require.Equal(t, 1, handedOn)
}
