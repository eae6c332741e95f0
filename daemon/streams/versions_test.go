package streams

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// loseAll ends all instances, replaces the versions of the targets and starts one instance.
func (f *fleet) loseAll(versions ...string) *node {
	f.kill(f.names()...)
	f.present = versions
	return f.start("instance-0")
}

// names returns the names of the instances, sorted.
func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.nodes))
}

// requireNoneAtAnotherVersion requires that no stream of a version goes on at another one.
func requireNoneAtAnotherVersion(t *testing.T, n *node, ids []string, version string) {
	t.Helper()
	_, wrong, _ := taken(n, ids, version)
	require.Zero(t, wrong, "of %d", len(ids))
}

// Guards against streams that go on at another version because the targets were replaced while no instance ran.
func TestTargetsReplacedWhileNoInstanceRuns(t *testing.T) {
	for _, pause := range []time.Duration{0, 10 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runFleet(t, 4, func(f *fleet) {
				ids := f.begin(f.nodes["instance-1"], "v1", streamCount)
				n := f.loseAll("v2")
				time.Sleep(pause)
				requireNoneAtAnotherVersion(t, n, ids, "v1")
			})
		})
	}
}

// Guards against streams that go on at another version because the store had not yet taken the second version when
// all instances were lost.
func TestAllLostBeforeAVersionIsStored(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.writeDelay.Store(int64(1500 * time.Millisecond))
		f.deploy("v1", "v2")
		var ids []string
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range f.nodes {
				if !n.holds("v2") {
					ids = append(ids, f.begin(n, "v2", 1)...)
				}
			}
		}
		requireNoneAtAnotherVersion(t, f.loseAll("v1"), ids, "v2")
	})
}

// Guards against a version that gets no work for long after the store has taken it.
func TestStoredVersionsGetWork(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.deploy("v1", "v2")
		synctest.Wait()
		for name, n := range f.nodes {
			require.False(t, n.holds("v2"), name)
		}
		f.writeDelay.Store(int64(time.Minute))
		f.deploy("v1", "v2", "v3")
		time.Sleep(resumption.MaxHold + tickInterval)
		for name, n := range f.nodes {
			require.False(t, n.holds("v3"), name)
		}
	})
}

// Guards against a version that another instance has added and that a late write takes out again.
func TestLateWriteTakesNoVersionOut(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		f.deploy("v1", "v2")
		synctest.Wait()
		f.deploy("v2")
		time.Sleep(resumption.Lifetime - 2*tickInterval)
		f.writeDelay.Store(int64(3 * time.Second))
		for received := f.received.Load(); f.received.Load() == received; {
			time.Sleep(time.Millisecond) // until the first instance takes v1 out, slowly
		}
		f.writeDelay.Store(0)
		second := f.nodes["instance-1"]
		second.list([]string{"v2", "v3"})
		time.Sleep(2*rankDelay + tickInterval)
		require.False(t, second.holds("v3"))
		ids := f.begin(second, "v3", streamCount)
		time.Sleep(3 * time.Second)
		requireNoneAtAnotherVersion(t, f.loseAll("v2"), ids, "v3")
	})
}

// Guards against streams that go on at another version at an instance whose list of targets lags, after all
// instances with their records were lost.
func TestKeepersLostBesideAListThatLags(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		lagging := f.nodes["instance-0"]
		lagging.cut.Store(true)
		for _, name := range f.names()[1:] {
			f.nodes[name].list([]string{"v1", "v2"})
		}
		time.Sleep(2 * rankDelay)
		require.False(t, f.nodes["instance-1"].holds("v2"))
		ids := f.begin(f.nodes["instance-1"], "v2", streamCount)
		f.kill(f.names()[1:]...)
		lagging.cut.Store(false)
		requireNoneAtAnotherVersion(t, lagging, ids, "v2")
	})
}

// Guards against streams that began at a version which joined a moment ago, and go on at another one at instances that
// are cut off from the store and from the others, and don't know that version.
func TestInstancesThatAreCutOffDontGuessVersions(t *testing.T) {
	for apart := 1; apart <= 3; apart++ {
		t.Run(fmt.Sprint(apart, " of 7"), func(t *testing.T) {
			runFleet(t, 7, func(f *fleet) {
				time.Sleep(2 * resumption.Lifetime)
				names := f.names()
				cutOff, others := names[7-apart:], names[:7-apart]
				for _, name := range cutOff {
					f.nodes[name].apart.Store(true)
				}
				time.Sleep(300 * time.Millisecond)
				f.present = []string{"v1", "v2"}
				for _, name := range others {
					f.nodes[name].list(f.present)
				}
				time.Sleep(time.Second)
				require.False(t, f.nodes[others[0]].holds("v2"))
				ids := f.begin(f.nodes[others[0]], "v2", 20)
				for range 2 {
					time.Sleep(500 * time.Millisecond)
					for _, name := range cutOff {
						requireNoneAtAnotherVersion(t, f.nodes[name], ids, "v2")
					}
				}
				for _, name := range cutOff {
					f.nodes[name].apart.Store(false)
				}
				for _, name := range names {
					requireTaken(t, f.nodes[name], ids, "v2")
				}
			})
		})
	}
}

// Guards against an instance that stands still while streams are taken up at it, and concludes from what it knew before that
// their service has one version.
func TestInstanceThatStoodStillDoesntGuessVersions(t *testing.T) {
	runFleet(t, 5, func(f *fleet) {
		still := f.nodes["instance-0"]
		still.frozen.Store(true)
		f.present = []string{"v1", "v2"}
		for _, name := range f.names()[1:] {
			f.nodes[name].list(f.present)
		}
		time.Sleep(time.Second)
		ids := f.begin(f.nodes["instance-1"], "v2", 20)
		time.Sleep(2 * time.Second)
		still.frozen.Store(false)
		requireTaken(t, still, ids, "v2")
		f.down.Store(true)
		f.kill("instance-1", "instance-2")
		requireNoneAtAnotherVersion(t, still, ids, "v2")
	})
}

// Guards against a record of an instance that doesn't know the time before it, taken for one of who does.
func TestRecordOfAnInstanceThatKnowsNothingBefore(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		ids := f.begin(f.nodes["instance-1"], "v1", streamCount)
		f.mu.Lock()
		clear(f.stored)
		f.mu.Unlock()
		n := f.loseAll("v2")
		time.Sleep(2 * createDelay)
		stored, _ := f.settle()
		require.JSONEq(t, `{"versions":["v2"]}`, string(stored["engine"].Spec))
		requireNoneAtAnotherVersion(t, n, ids, "v1")
		requireNoneAtAnotherVersion(t, f.loseAll("v2"), ids, "v1")
		time.Sleep(resumption.Lifetime + time.Second)
		requireTaken(t, f.loseAll("v2"), []string{"later"}, "v2")
	})
}

// Guards against a write that the store refuses for good and that all instances repeat at once and for ever.
func TestRefusedWritesAreRepeatedLessAndLess(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.forbidden.Store(true)
		f.deploy("v1", "v2")
		time.Sleep(time.Minute)
		require.LessOrEqual(t, f.refusals(), 4*4)
		time.Sleep(time.Hour)
		require.LessOrEqual(t, f.refusals(), 4*(5+60/2), "at most one each half of refusedRetryMax")
	})
}

// Guards against reads of the store that grow with the number of services whose streams are taken up at once.
func TestStreamsOfManyServicesShareReads(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		n, before := f.nodes["instance-0"], f.reads.Load()
		const span = time.Second
		for range span / (10 * time.Millisecond) {
			for service := range 8 {
				go n.Find(context.Background(), fmt.Sprint("service-", service), "stream")
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.LessOrEqual(t, f.reads.Load()-before, int64(span/confirmInterval)+2)
		require.LessOrEqual(t, f.recordReads.Load(), int64(2*span/recordsReadInterval)+1)
	})
}

// Guards against a service whose record can't be decoded, taken for one without a record.
func TestUnreadableRecordIsNotTakenForNone(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		d := f.nodes["instance-0"].Directory
		confirmed := func(service string) bool { return d.awaitConfirmation(context.Background(), service) }
		require.True(t, confirmed("engine"))
		require.True(t, confirmed("without-a-record"))
		f.mu.Lock()
		f.stored["unreadable"] = platformapi.Object{Metadata: platformapi.Metadata{Name: "unreadable", Revision: f.revision}, Spec: []byte("{")}
		f.mu.Unlock()
		require.True(t, confirmed("engine"))
		require.False(t, confirmed("unreadable"))
		require.False(t, confirmed("without-a-record"))
	})
}

// Guards against streams of two versions in drawn series of losses, releases, lags and slow writes.
func TestNoDrawnSeriesJoinsTwoVersions(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, 4, func(f *fleet) { newDrawnSeries(t, f, seed).play() })
		})
	}
}

// drawnSeries plays events that are drawn from a seed, while streams begin and are taken up.
type drawnSeries struct {
	t      *testing.T
	f      *fleet
	random *rand.Rand
	// begun holds the streams that may be taken up, by version.
	begun map[string][]string
	taken int
	// started counts the instances that were added.
	started int
}

func newDrawnSeries(t *testing.T, f *fleet, seed uint64) *drawnSeries {
	return &drawnSeries{t: t, f: f, random: rand.New(rand.NewPCG(seed, 70)), begun: map[string][]string{}}
}

func (s *drawnSeries) play() {
	for range 60 {
		s.disturb()
		s.use()
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * time.Second))))
		s.use()
	}
	require.NotZero(s.t, s.taken)
}

// drawVersions returns one or two versions.
func (s *drawnSeries) drawVersions() []string {
	versions := []string{"v1", "v2", "v3"}
	s.random.Shuffle(len(versions), func(i, j int) { versions[i], versions[j] = versions[j], versions[i] })
	return versions[:1+s.random.IntN(2)]
}

func (s *drawnSeries) disturb() {
	names := s.f.names()
	someone := names[s.random.IntN(len(names))]
	switch s.random.IntN(9) {
	case 0, 1:
		s.f.deploy(s.drawVersions()...)
	case 2: // one instance's list is ahead
		s.f.nodes[someone].list(s.drawVersions())
		time.Sleep(time.Duration(s.random.Int64N(int64(time.Second))))
		s.f.deploy(s.f.nodes[someone].listed...)
	case 3: // one instance's list lags
		before := s.f.nodes[someone].listed
		s.f.deploy(s.drawVersions()...)
		s.f.nodes[someone].list(before)
		s.use()
		s.f.nodes[someone].list(s.f.present)
	case 4:
		s.f.kill(someone)
	case 5:
		s.f.loseAll(s.drawVersions()...)
		s.use()
	case 6:
		if len(names) < 4 {
			s.started++
			s.f.start(fmt.Sprint("instance-", 10+s.started))
		}
	case 7:
		s.f.writeDelay.Store(s.random.Int64N(int64(time.Second)))
	case 8:
		s.f.readDelay.Store(s.random.Int64N(int64(2 * confirmTimeout)))
	}
	if s.random.IntN(10) == 0 {
		s.loseBesideNewVersion()
	}
	if len(s.f.names()) == 0 {
		s.f.start("instance-0")
	}
}

// loseBesideNewVersion has all instances lost while a version appears for a moment.
func (s *drawnSeries) loseBesideNewVersion() {
	before := s.f.present
	s.f.deploy(append([]string{"v4"}, before...)...)
	time.Sleep(time.Duration(s.random.Int64N(int64(time.Second))))
	s.begin()
	s.f.loseAll(before...)
	s.use()
}

// use begins streams and takes all earlier ones up once.
func (s *drawnSeries) use() {
	s.begin()
	s.takeUp()
}

// begin begins streams at versions that are present and not held.
func (s *drawnSeries) begin() {
	for _, name := range s.f.names() {
		n := s.f.nodes[name]
		for _, version := range n.listed {
			if !n.holds(version) {
				s.begun[version] = append(s.begun[version], s.f.begin(n, version, 1)...)
			}
		}
	}
}

func (s *drawnSeries) takeUp() {
	names := s.f.names()
	for version, ids := range s.begun {
		s.begun[version] = nil
		n := s.f.nodes[names[s.random.IntN(len(names))]]
		right, wrong, unknown := taken(n, ids, version)
		require.Zero(s.t, wrong, "of %s at %s, %d unknown", version, n.member.Name, unknown)
		s.taken += right
	}
}

// holds reports whether an instance gives no new work to a version.
func (n *node) holds(version string) bool {
	held := n.held.Load()
	return held != nil && slices.Contains(*held, version)
}
