package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// firstVersion is the software version of all targets at the start.
	firstVersion = "v1"
	// versionEngines is the number of engines in runs with several versions.
	versionEngines = 6
	// eventIntervalVersions is the pause before each event, so that streams last long enough to be broken off.
	eventIntervalVersions = 60 * time.Millisecond
	// rolloutStep is the time between two replaced engines of a rollout, maxRolloutPause the longest time until
	// the next rollout.
	rolloutStep     = 400 * time.Millisecond
	maxRolloutPause = 2 * time.Second
	// leaveOneIn is N if one in N callers leaves in the middle of a stream.
	leaveOneIn = 4
	// contactTime is how long an instance must have been undisturbed to count for the share of streams that
	// go on.
	contactTime = 3 * time.Second
	// minTakenUp is the number of streams taken up from which their share is checked against minShareOfNew of
	// the share of new streams that begin, and minVersionTargets the targets of their version that must serve.
	minTakenUp        = 12
	minShareOfNew     = 0.5
	minVersionTargets = 2
)

// engineVersions are the versions of rollouts. Nothing orders them, and each may come back.
var engineVersions = []string{firstVersion, "v1.1", "v1.2", "v2"}

// runVersions rolls out software versions of the engines beside faults, while callers take streams up.
func (tb *testbed) runVersions() ([]callResult, StreamCounts) {
	var streams []streamTry
	all, calmFrom := whileInUse(tb.runStreamCallers(&streams), func() {
		until := time.Now().Add(tb.options.Faults)
		var wg sync.WaitGroup
		wg.Go(func() { tb.runRollouts(until) })
		wg.Go(func() { tb.injectEngineFaults(until) })
		wg.Go(func() { tb.killSeries(until) })
		wg.Go(func() { tb.cutInstances(until, maxOverlappingCut) })
		wg.Go(func() { tb.runPlannedWork(until, seriesPauseWithFaults) })
		tb.injectFaults(until)
		wg.Wait()
	})
	log := tb.readTargetLog()
	tb.checkResults(all, nil, log, calmFrom)
	tb.checkEndings(all, log)
	return all, tb.checkStreams(streams)
}

// runRollouts replaces engines by those of other versions, some or all of them, until the given time.
func (tb *testbed) runRollouts(until time.Time) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 6<<32))
	type engine struct{ name, version string }
	var current []engine
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		current = append(current, engine{name, firstVersion})
	}
	serial := 0
	add := func(version string) {
		serial++
		e := engine{fmt.Sprintf("engine-roll-%d", serial), version}
		if err := tb.addTargetOf(e.name, version); err != nil {
			tb.violation("%s doesn't start: %v", e.name, err)
			return
		}
		current = append(current, e)
	}
	record := func() {
		counts := map[string]int{}
		for _, e := range current {
			counts[e.version]++
		}
		tb.rollouts.add(time.Now(), counts)
	}
	for len(current) < versionEngines {
		add(firstVersion)
	}
	record()
	for time.Now().Before(until) {
		next := engineVersions[random.IntN(len(engineVersions))]
		count := 2 + random.IntN(versionEngines-1)
		tb.logf("rollout of %s to %d engines", next, count)
		for range count {
			add(next)
			time.Sleep(rolloutStep)
			leaves := current[0]
			current = current[1:]
			record()
			tb.removeTarget(leaves.name)
		}
		time.Sleep(randomDuration(random, 0, maxRolloutPause))
	}
}

// rolloutLog records the numbers of the engines of each version that serve.
type rolloutLog struct {
	mu      sync.Mutex
	entries []rolloutEntry
}

type rolloutEntry struct {
	at     time.Time
	counts map[string]int
}

func (l *rolloutLog) add(at time.Time, counts map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, rolloutEntry{at, counts})
}

// fewest returns the smallest number of engines of a version that served in a span of time.
func (l *rolloutLog) fewest(version string, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := 0
	for i, e := range l.entries {
		if e.at.After(to) {
			break
		}
		if i+1 < len(l.entries) && l.entries[i+1].at.Before(from) {
			continue
		}
		if least == 0 || e.counts[version] < least {
			least = e.counts[version]
		}
		if least == 0 {
			return 0
		}
	}
	return least
}

// killSeries kills one, half or all of the instances at once, in series, until the given time.
func (tb *testbed) killSeries(until time.Time) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 7<<32))
	for time.Now().Before(until) {
		time.Sleep(randomDuration(random, 2*time.Second, 5*time.Second))
		order := random.Perm(len(tb.instances))
		count := []int{1, (len(order) + 1) / 2, (len(order) + 1) / 2, len(order)}[random.IntN(4)]
		tb.logf("%d instances are killed", count)
		var wg sync.WaitGroup
		for _, n := range order[:count] {
			wg.Go(func() { tb.restart(tb.instances[n], syscall.SIGKILL, 0) })
		}
		wg.Wait()
	}
}

// streamTry is one attempt of a caller at a stream.
type streamTry struct {
	callResult
	// first is the id of the attempt that brought the first event of the stream; empty while there is none.
	first string
	// inTouch is true if the instance was undisturbed for contactTime before.
	inTouch bool
	// versions are the versions of the events that came, version that of the stream's earlier events.
	versions []string
	version  string
}

// progressed reports whether the attempt brought an event or the stream's end.
func (s *streamTry) progressed() bool {
	return s.status == http.StatusOK && (s.complete || len(s.versions) > 0)
}

// runStreamCallers returns a function that has callers send resumable streams until its context ends, and adds
// their attempts to streams.
func (tb *testbed) runStreamCallers(streams *[]streamTry) func(ctx context.Context) []callResult {
	return func(ctx context.Context) []callResult {
		var mu sync.Mutex
		var all []callResult
		var wg sync.WaitGroup
		for i := range tb.options.Callers {
			c := newCaller(tb, i)
			wg.Go(func() {
				defer c.client.CloseIdleConnections()
				var own []streamTry
				for ctx.Err() == nil {
					own = append(own, c.runStream(ctx)...)
				}
				mu.Lock()
				defer mu.Unlock()
				all, *streams = append(all, c.results...), append(*streams, own...)
			})
		}
		wg.Wait()
		return all
	}
}

// runStream requests a stream and takes it up at other instances until it is complete.
func (c *caller) runStream(ctx context.Context) []streamTry {
	path := []string{"/stream-resume/a", "/stream-staged/a"}[c.random.IntN(2)]
	pieces := [2]int{c.random.IntN(3), 1 + c.random.IntN(3)}
	var tries []streamTry
	first, version, after := "", "", 0
	for range 1 + maxResumes {
		s := streamTry{callResult: callResult{id: c.nextID(), path: path, pieceCounts: pieces, resumedAfter: after, stream: first}, version: version}
		c.try(&s)
		after = max(after, lastEventID(s.body))
		if first == "" && after > 0 {
			first = s.id
		}
		if s.first = first; version == "" && len(s.versions) > 0 {
			version = s.versions[0]
		}
		tries = append(tries, s)
		if s.complete && s.status == http.StatusOK || first == "" || ctx.Err() != nil {
			break
		}
		time.Sleep(randomDuration(c.resumeRandom, 0, 100*time.Millisecond))
	}
	return tries
}

// try makes one attempt. Some callers leave in the middle.
func (c *caller) try(s *streamTry) {
	in := c.testbed.instances[c.random.IntN(len(c.testbed.instances))]
	s.inTouch = in.undisturbedFor(contactTime)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if c.random.IntN(leaveOneIn) == 0 {
		timer := time.AfterFunc(randomDuration(c.random, 0, eventsPerStream*eventIntervalVersions), leave)
		defer timer.Stop()
	}
	s.instance, s.began = in.name, time.Now()
	c.sendWithin(ctx, &s.callResult, in)
	s.ended, s.left = time.Now(), ctx.Err() != nil && !s.complete
	s.inTouch = s.inTouch && in.undisturbedFor(s.ended.Sub(s.began))
	s.versions = versionsOf(s.body)
	c.results = append(c.results, s.callResult)
	if s.status != http.StatusOK {
		time.Sleep(30 * time.Millisecond)
	}
}

// versionsOf returns the software versions that the complete events of a stream state.
func versionsOf(body string) []string {
	var versions []string
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		for line := range strings.SplitSeq(block, "\n") {
			version, ok := strings.CutPrefix(line, ": ")
			if ok && slices.Contains(engineVersions, version) && !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// StreamCounts counts the streams of a run.
type StreamCounts struct {
	// Began and New are the new streams that began and all, at instances in touch; WentOn and TakenUp are the
	// same of streams taken up while two targets of their version served.
	Began, New, WentOn, TakenUp int
	// Mixed are the streams with events of several versions.
	Mixed int
	// Elsewhere are the attempts at instances out of touch, or without two targets, that took a stream up, and
	// ElsewhereWentOn those that went on.
	Elsewhere, ElsewhereWentOn int
}

// checkStreams checks that no stream has events of several versions, and that streams that are taken up go on.
func (tb *testbed) checkStreams(tries []streamTry) StreamCounts {
	var n StreamCounts
	versions := map[string][]string{}
	for i := range tries {
		s := &tries[i]
		for _, v := range s.versions {
			if !slices.Contains(versions[s.first], v) {
				versions[s.first] = append(versions[s.first], v)
			}
		}
		n.count(s, tb.rollouts.fewest(s.version, s.began, s.ended) >= minVersionTargets)
	}
	for id, list := range versions {
		if id != "" && len(list) > 1 {
			n.Mixed++
			tb.violation("stream %s has events of versions %v", id, list)
		}
	}
	if n.TakenUp >= minTakenUp && float64(n.WentOn)*float64(n.New) < minShareOfNew*float64(n.Began)*float64(n.TakenUp) {
		tb.violation("of %d streams taken up %d went on, of %d new ones %d began", n.TakenUp, n.WentOn, n.New, n.Began)
	}
	return n
}

// count counts an attempt. targetsServe is true if enough targets of the stream's version served.
func (n *StreamCounts) count(s *streamTry, targetsServe bool) {
	progressed := 0
	if s.progressed() {
		progressed = 1
	}
	switch {
	case s.resumedAfter == 0 && s.inTouch:
		n.New++
		n.Began += progressed
	case s.resumedAfter == 0:
	case s.inTouch && targetsServe:
		n.TakenUp++
		n.WentOn += progressed
	default:
		n.Elsewhere++
		n.ElsewhereWentOn += progressed
	}
}
