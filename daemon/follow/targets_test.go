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

// recordingFollower is a follower that records what it publishes and gossips.
type recordingFollower struct {
	*Follower
	usable   []string
	ended    []string
	leaving  []string
	gossiped []spread.Record
	// inForce is the revision in force at the latest change.
	inForce uint64
}

// newRecordingFollower returns a follower that decodes specs of the form "ready 100" or
// "leaving 100": a state and a start.
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
			h.usable, h.ended, h.inForce = nil, nil, h.Table().Revision
			for _, t := range usable["s"] {
				h.usable = append(h.usable, t.Incarnation())
				if t.Ended {
					h.ended = append(h.ended, t.Incarnation())
				}
			}
		},
		OnLeaving: func(_ time.Time, incarnation string) { h.leaving = append(h.leaving, incarnation) },
		Scope:     tally.NoopScope,
	})
	h.table.Store(&routes.Table{})
	return h
}

// event simulates a watch event of an entry.
func (h *recordingFollower) event(name string, revision uint64, spec string) {
	h.applyTargetEvent(platformapi.Event{Object: platformapi.Object{
		Metadata: platformapi.Metadata{Name: name, Revision: revision}, Spec: []byte(spec),
	}})
}

// An instance finds another process at a target's address and gossips that the target left. The target
// restarts under its name before all instances have received that, and an instance that joins receives
// the record later. It must apply to the earlier incarnation only.
func TestLeavingReportIsOfOneIncarnation(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.event("b", 2, "ready 100")
	h.Leaving("a@100")
	require.Equal(t, []string{"b@100"}, h.usable)
	report := h.gossiped[len(h.gossiped)-1]
	require.Equal(t, recordLeaving, report.Kind)

	other := newRecordingFollower()
	other.event("a", 1, "ready 100")
	other.event("a", 3, "ready 200")
	other.Receive(report)
	require.Equal(t, []string{"a@200"}, other.usable)

	h.event("a", 3, "ready 200")
	require.Equal(t, []string{"a@200", "b@100"}, h.usable)
	h.Leaving("a@200")
	require.Equal(t, []string{"b@100"}, h.usable)
	require.Equal(t, []string{"a@100", "a@200"}, h.leaving)
	require.NotEqual(t, report.Name, h.gossiped[len(h.gossiped)-1].Name, "the second report is a separate record")
}

// Guards against an end of a process that other instances don't hear of, or that they take for the end of the one that started
// later under its name.
func TestEndOfAProcessIsOfOneIncarnation(t *testing.T) {
	h, other := newRecordingFollower(), newRecordingFollower()
	for _, f := range []*recordingFollower{h, other} {
		f.event("a", 1, "ready 100")
		f.event("b", 2, "ready 100")
	}
	h.Ended("a@100")
	report := h.gossiped[len(h.gossiped)-1]
	require.Equal(t, recordEnded, report.Kind)
	h.Ended("a@100")
	require.Equal(t, 1, countKind(h.gossiped, recordEnded), "it is gossiped once")
	other.Receive(report)
	for _, f := range []*recordingFollower{h, other} {
		require.Equal(t, []string{"a@100"}, f.ended)
		require.Equal(t, []string{"a@100", "b@100"}, f.usable, "it goes on to get work")
		f.event("a", 3, "ready 200")
		require.Empty(t, f.ended)
	}
}

func countKind(records []spread.Record, kind string) (n int) {
	for _, r := range records {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

// An instance whose store was unavailable gossips the removal of an entry after the target has
// restarted. Revisions order the two.
func TestLateRemovalIsIgnored(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.event("a", 5, "ready 200")
	h.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 3, Deleted: true})
	h.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 1, Body: []byte("ready 100")})
	require.Equal(t, []string{"a@200"}, h.usable)
}

// Another writer replaces a target's entry by one that names no target. It is gossiped as a removal,
// which takes effect at once and isn't final.
func TestInvalidEntryIsRemoval(t *testing.T) {
	for _, bad := range []string{"rubbish", "ready 0"} { // the second lacks the start that the first entry had
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

// An instance that starts after the target's entry was replaced by an invalid one lists the entries. It
// has never known the target, but an instance that the store refuses still does, so the removal has to
// be gossiped.
func TestInvalidEntryOfUnknownTargetIsGossiped(t *testing.T) {
	h := newRecordingFollower()
	h.applyTargetList(platformapi.List{Revision: 4, Items: []platformapi.Object{
		{Metadata: platformapi.Metadata{Name: "a", Revision: 2}, Spec: []byte("rubbish")},
	}})
	removal := spread.Record{Kind: recordTarget, Name: "a", Revision: 2, Deleted: true}
	require.Equal(t, []spread.Record{removal}, h.gossiped)
	refused := newRecordingFollower()
	refused.Receive(spread.Record{Kind: recordTarget, Name: "a", Revision: 1, Body: []byte("ready 100")})
	refused.Receive(removal)
	require.Empty(t, refused.usable)
}

// Invalid entries are written with each heartbeat, under ever new names. Each fault is logged once, and
// the number of logs is limited.
func TestRejectionLogIsBounded(t *testing.T) {
	var r rejectionLog
	now := time.Unix(1000, 0)
	log, last := r.shouldLog(now, "entry a: slots")
	require.True(t, log)
	require.False(t, last)
	log, _ = r.shouldLog(now, "entry a: slots")
	require.False(t, log, "the same again")
	lines, lasts := 1, 0
	for i := range 10 * maxRejectionLogs {
		log, last := r.shouldLog(now, fmt.Sprint("entry ", i))
		if log {
			lines++
		}
		if last {
			lasts++
		}
	}
	require.Equal(t, maxRejectionLogs, lines)
	require.Equal(t, 1, lasts)
	require.Len(t, r.logged, maxRejectionLogs)
	log, _ = r.shouldLog(now.Add(rejectionLogPeriod), "entry a: slots")
	require.True(t, log, "a lasting fault is logged again")
}

// A configuration is the first to name a service with targets that have long been known. If it were
// in force before they are published, requests in between would be refused for lack of a target.
func TestTargetsArePublishedBeforeConfiguration(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.applyConfig(2, nil, true)
	require.Equal(t, []string{"a@100"}, h.usable)
	require.EqualValues(t, 0, h.inForce)
	require.EqualValues(t, 2, h.Table().Revision)
}

// The work of a start must not grow with the square of the number of targets.
func TestListIsPublishedOnce(t *testing.T) {
	h := newRecordingFollower()
	published := 0
	onChange := h.options.OnChange
	h.options.OnChange = func(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
		published++
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
	require.Equal(t, 1, published)
}
