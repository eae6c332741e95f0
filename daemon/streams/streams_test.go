package streams

import (
	"context"
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
)

const streamCount = 60

// requireTaken requires that all streams go on at their version.
func requireTaken(t *testing.T, n *node, ids []string, version string) {
	t.Helper()
	right, wrong, unknown := taken(n, ids, version)
	require.Equal(t, len(ids), right, "%d at another version, %d unknown", wrong, unknown)
}

// Guards against a stream whose version is lost with the instance that began it, or with that and some of
// those that keep its record.
func TestRecordsOutliveInstances(t *testing.T) {
	runFleet(t, 7, func(f *fleet) {
		f.deploy("v1", "v2")
		ids := f.begin(f.nodes["instance-1"], "v2", streamCount)
		f.kill("instance-1", "instance-2", "instance-3")
		for _, n := range f.nodes {
			requireTaken(t, n, ids, "v2")
		}
		requireTaken(t, f.start("instance-1"), ids, "v2")
	})
}

// Guards against records that are lost as the instances that keep them are killed or restarted one after the
// other, while the instance that serves the streams lives.
func TestRecordsFollowTheirKeepers(t *testing.T) {
	for name, end := range map[string]func(f *fleet, name string){
		"killed":  func(f *fleet, name string) { f.kill(name) },
		"stopped": func(f *fleet, name string) { f.nodes[name].Handover(context.Background()); f.kill(name) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 6, func(f *fleet) {
				f.deploy("v1", "v2")
				ids := f.begin(f.nodes["instance-0"], "v1", streamCount)
				for _, name := range []string{"instance-1", "instance-2", "instance-3", "instance-4", "instance-5"} {
					end(f, name)
					time.Sleep(2 * tickInterval)
					f.start(name)
					time.Sleep(2 * tickInterval)
				}
				f.kill("instance-0")
				requireTaken(t, f.nodes["instance-3"], ids, "v1")
			})
		})
	}
}

// Guards against records that end with the planned stop of all instances in turn, their streams' own among
// them.
func TestRecordsOutliveARollingRestart(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.deploy("v1", "v2")
		ids := f.begin(f.nodes["instance-0"], "v1", streamCount)
		for _, name := range []string{"instance-0", "instance-1", "instance-2", "instance-3"} {
			f.nodes[name].Handover(context.Background())
			f.kill(name)
			f.start(name)
			time.Sleep(2 * tickInterval)
		}
		requireTaken(t, f.nodes["instance-2"], ids, "v1")
	})
}

// Guards against streams without a record that began a moment before their service got a second version.
func TestStreamsOfBeforeARolloutAreRecorded(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		ids := f.begin(f.nodes["instance-0"], "v1", streamCount)
		f.deploy("v1", "v2")
		synctest.Wait()
		f.kill("instance-0")
		requireTaken(t, f.nodes["instance-1"], ids, "v1")
	})
}

// Guards against streams of an instance that is lost before a second version appears, of which nobody else has a record.
func TestStreamsOfALostInstanceOutliveALaterRollout(t *testing.T) {
	for _, instances := range []int{3, 7, 40} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) {
				lost := f.nodes["instance-1"]
				ids := f.begin(lost, "v1", streamCount)
				time.Sleep(2 * time.Second)
				lost.cut.Store(true)
				time.Sleep(time.Second)
				f.present = []string{"v1", "v2"}
				for _, n := range f.nodes {
					if n != lost {
						n.list(f.present)
					}
				}
				time.Sleep(2 * tickInterval)
				for _, n := range f.nodes {
					if n != lost {
						requireTaken(t, n, ids, "v1")
					}
				}
			})
		})
	}
}

// Guards against streams of an instance that is lost within a minute after their route has been moved to their service,
// which nobody knows the versions of before.
func TestStreamsOfANewServiceOutliveTheirInstance(t *testing.T) {
	for _, instances := range []int{7, 40} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) {
				f.configure(withoutRoutes)
				f.deploy()
				time.Sleep(2 * resumption.Lifetime)
				f.deploy("v1")
				f.configure(table)
				time.Sleep(5 * time.Second)
				ids := f.begin(f.nodes["instance-1"], "v1", streamCount)
				time.Sleep(2 * tickInterval)
				f.kill("instance-1")
				for _, n := range f.nodes {
					requireTaken(t, n, ids, "v1")
				}
			})
		})
	}
}

// Guards against streams that can't be taken up after the loss of all within a minute after their route has been moved to a
// service whose targets have long been known.
func TestMovedRouteOutlivesTheLossOfAll(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.configure(withoutRoutes)
		time.Sleep(2 * resumption.Lifetime)
		f.configure(table)
		time.Sleep(5 * time.Second)
		ids := f.begin(f.nodes["instance-1"], "v1", streamCount)
		n := f.loseAll("v1")
		time.Sleep(time.Second)
		requireTaken(t, n, ids, "v1")
	})
}

// Guards against records of the only version that cost a message each, or go to ever more instances.
func TestRecordsOfTheOnlyVersionGoInBatches(t *testing.T) {
	runFleet(t, 40, func(f *fleet) {
		n, before := f.nodes["instance-1"], f.peerCalls()
		const span = 10 * time.Second
		for range 100 {
			f.begin(n, "v1", 10)
			time.Sleep(span / 100)
		}
		time.Sleep(tickInterval)
		require.LessOrEqual(t, f.peerCalls()-before, backupCopies*int(span/tickInterval+1))
		received := 0
		for _, other := range f.nodes {
			if other != n && other.records() > 0 {
				received++
			}
		}
		require.Equal(t, backupCopies, received)
	})
}

// Guards against records that are lost as the instances that keep an instance's records are replaced one after the
// other, before a second version appears.
func TestBackupsFollowTheirKeepers(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		ids := f.begin(f.nodes["instance-0"], "v1", streamCount)
		for _, name := range f.names()[1:] {
			time.Sleep(2 * tickInterval)
			f.kill(name)
			time.Sleep(2 * tickInterval)
			f.start(name)
		}
		time.Sleep(2 * tickInterval)
		f.kill("instance-0")
		f.deploy("v1", "v2")
		requireTaken(t, f.nodes["instance-3"], ids, "v1")
	})
}

// Guards against a guess by an instance that knows too little.
func TestUnknownStreams(t *testing.T) {
	cases := map[string]struct {
		prepare func(f *fleet) (at *node)
		why     resumption.Reason
	}{
		"several versions": {func(f *fleet) *node { f.deploy("v1", "v2"); return f.nodes["instance-0"] }, resumption.ReasonNoRecord},
		"the other version is gone": {func(f *fleet) *node {
			f.deploy("v1", "v2")
			f.deploy("v2")
			return f.nodes["instance-0"]
		}, resumption.ReasonNoRecord},
		"a list that lags": {func(f *fleet) *node {
			f.deploy("v1", "v2")
			f.nodes["instance-0"].list([]string{"v1"})
			return f.nodes["instance-0"]
		}, resumption.ReasonNoRecord},
		"old knowledge, nobody answers": {func(f *fleet) *node {
			n := f.nodes["instance-0"]
			n.cut.Store(true)
			n.stale.Store(true)
			f.down.Store(true)
			return n
		}, resumption.ReasonUnsure},
		"all killed in a rollout": {func(f *fleet) *node {
			f.deploy("v1", "v2")
			time.Sleep(2 * tickInterval)
			f.present = []string{"v2"}
			n := f.killAll()
			time.Sleep(time.Second)
			return n
		}, resumption.ReasonNoRecord},
		"all killed, the store is down": {func(f *fleet) *node { f.down.Store(true); return f.killAll() }, resumption.ReasonUnsure},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 4, func(f *fleet) {
				n := c.prepare(f)
				for _, id := range []string{"unknown", ""} {
					l := n.Find(context.Background(), "engine", id)
					require.False(t, l.Known)
					require.Equal(t, c.why, l.Reason)
					require.LessOrEqual(t, l.Elapsed, findTimeout+joinTimeout)
				}
			})
		})
	}
}

// Guards against a stream that is refused at an instance that has just started and is alone, since it hasn't
// read the notes yet.
func TestStreamIsTakenUpRightAfterTheStart(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		f.readDelay.Store(int64(joinTimeout / 3))
		requireTaken(t, f.killAll(), []string{"unknown"}, "v1")
	})
}

// Guards against streams that aren't taken up although their service has only one version.
func TestStreamsOfTheOnlyVersionGoOn(t *testing.T) {
	cases := map[string]func(f *fleet) (at *node){
		"usual":                    func(f *fleet) *node { return f.nodes["instance-1"] },
		"all killed":               func(f *fleet) *node { n := f.killAll(); synctest.Wait(); return n },
		"just started, store down": func(f *fleet) *node { f.down.Store(true); return f.start("instance-9") },
		"old knowledge, others answer": func(f *fleet) *node {
			f.nodes["instance-1"].stale.Store(true)
			f.down.Store(true)
			return f.nodes["instance-1"]
		},
		"old knowledge, only the store answers": func(f *fleet) *node {
			f.nodes["instance-1"].stale.Store(true)
			f.nodes["instance-1"].cut.Store(true)
			return f.nodes["instance-1"]
		},
		"a peer is frozen": func(f *fleet) *node { f.nodes["instance-2"].frozen.Store(true); return f.nodes["instance-1"] },
		"peers of an earlier version": func(f *fleet) *node {
			for _, n := range f.nodes {
				n.old.Store(true)
			}
			return f.nodes["instance-1"]
		},
		"long after a rollout": func(f *fleet) *node {
			f.deploy("v0", "v1")
			time.Sleep(5 * time.Second)
			f.deploy("v1")
			time.Sleep(resumption.Lifetime + 2*time.Second)
			return f.killAll()
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 4, func(f *fleet) {
				n := prepare(f)
				synctest.Wait()
				for _, id := range []string{"unknown", ""} {
					l := n.Find(context.Background(), "engine", id)
					require.True(t, l.Known, l.Reason)
					require.True(t, n.stale.Load() || l.Elapsed <= checkTimeout, l.Elapsed)
					require.Equal(t, "v1", l.Origin.Version)
				}
			})
		})
	}
}

// Guards against a stream whose version is unknown although one of the instances that keep its record
// answers.
func TestFrozenKeepersAreNotAwaited(t *testing.T) {
	runFleet(t, 5, func(f *fleet) {
		f.deploy("v1", "v2")
		ids := f.begin(f.nodes["instance-0"], "v2", streamCount)
		f.nodes["instance-0"].frozen.Store(true)
		f.nodes["instance-1"].frozen.Store(true)
		requireTaken(t, f.nodes["instance-4"], ids, "v2")
	})
}

// Guards against a stream whose id another one has, at another instance.
func TestOneIDOfTwoStreams(t *testing.T) {
	runFleet(t, 5, func(f *fleet) {
		f.deploy("v1", "v2")
		f.nodes["instance-0"].Began("same", resumption.Origin{Service: "engine", Version: "v1"})
		f.nodes["instance-1"].Began("same", resumption.Origin{Service: "engine", Version: "v2"})
		synctest.Wait()
		for _, n := range f.nodes {
			require.Equal(t, resumption.ReasonAmbiguous, n.Find(context.Background(), "engine", "same").Reason, n.member.Name)
		}
		f.kill("instance-0", "instance-1")
		l := f.nodes["instance-3"].Find(context.Background(), "engine", "same")
		require.Equal(t, resumption.ReasonAmbiguous, l.Reason)
	})
}

// Guards against a stream whose id another one had before, at the same instance.
func TestOneIDOfTwoStreamsAtOneInstance(t *testing.T) {
	runFleet(t, 5, func(f *fleet) {
		f.deploy("v1", "v2")
		n := f.nodes["instance-0"]
		n.Began("same", resumption.Origin{Service: "engine", Version: "v1"})
		synctest.Wait()
		n.Began("same", resumption.Origin{Service: "engine", Version: "v2"})
		synctest.Wait()
		f.kill("instance-0")
		l := f.nodes["instance-3"].Find(context.Background(), "engine", "same")
		require.Equal(t, resumption.ReasonAmbiguous, l.Reason)
	})
}

// Guards against versions that each instance writes, or none does since the first one is gone, and against
// versions that are never taken out.
func TestVersionsAreStoredOnce(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		stored, writes := f.settle()
		require.Len(t, stored, 1)
		require.JSONEq(t, `{"versions":["v1"],"complete":true}`, string(stored["engine"].Spec))
		require.Equal(t, 1, writes)
		f.deploy("v1", "v2")
		f.kill("instance-0")
		time.Sleep(3 * time.Second)
		stored, writes = f.settle()
		require.Len(t, stored, 1)
		require.JSONEq(t, `{"versions":["v1","v2"],"complete":true}`, string(stored["engine"].Spec))
		require.Equal(t, 2, writes)
		f.deploy("v2")
		time.Sleep(resumption.Lifetime - 5*time.Second)
		stored, _ = f.settle()
		require.JSONEq(t, `{"versions":["v1","v2"],"complete":true}`, string(stored["engine"].Spec))
		time.Sleep(10 * time.Second)
		stored, writes = f.settle()
		require.JSONEq(t, `{"versions":["v2"],"complete":true}`, string(stored["engine"].Spec))
		require.Equal(t, 3, writes)
		time.Sleep(resumption.Lifetime)
		_, writes = f.settle()
		require.Equal(t, 3, writes)
	})
}

// Guards against fields that instances of two releases read differently.
func TestBytesOfStreamMessages(t *testing.T) {
	origin := resumption.Origin{Service: "s", Version: "v"}
	record := newRecordMessage("a", resumption.Record{Origin: origin})
	rows := []struct {
		name    string
		message any
		want    string
	}{
		{"keep", newKeepRequest([]resumption.Record{{ID: resumption.HashOf("a"), Origin: origin}}, false), "81a647726f7570739183a173a173a176a176a168c40559dde4ed8c"},
		{"keep backups", newKeepRequest([]resumption.Record{{ID: 1, Origin: origin}, {ID: 2, Origin: origin}}, true), "82a647726f7570739183a173a173a176a176a168c40a01000000000200000000a64261636b7570c3"},
		{"find", &findRequest{ID: "a", Service: "s"}, "82a24944a161a753657276696365a173"},
		{"found", &findResponse{Record: record, Found: true, Sole: "v"}, "84a65265636f726483a169a161a173a173a176a176a5466f756e64c3a75365766572616cc2a4536f6c65a176"},
	}
	for _, row := range rows {
		body, err := msgpack.Marshal(row.message)
		require.NoError(t, err)
		require.Equal(t, row.want, hex.EncodeToString(body), row.name)
	}
}

// Guards against records of an instance of the version before that are not kept.
func TestRecordsOfAnEarlierVersionAreKept(t *testing.T) {
	body, err := hex.DecodeString("81a75265636f7264739183a169a161a173a173a176a176")
	require.NoError(t, err)
	var request keepRequest
	require.NoError(t, msgpack.Unmarshal(body, &request))
	require.Equal(t, []resumption.Record{{ID: resumption.HashOf("a"), Origin: resumption.Origin{Service: "s", Version: "v"}}}, request.records())
}
