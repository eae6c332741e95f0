package placing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func noTransferCost(string) time.Duration { return 0 }

// fleetSim simulates engines that process one prompt after the other.
type fleetSim struct {
	table *Table
	// idleAt is when an engine has processed all that it was sent, cached what its cache holds.
	idleAt      map[string]time.Time
	cached      map[string]map[string]bool
	pendingEnds []pendingEnd
}

type pendingEnd struct {
	at time.Time
	RequestEnd
}

const (
	prefillPerToken = 23 * time.Microsecond
	prefillFixed    = 20 * time.Millisecond
)

func newFleetSim(n int) *fleetSim { return newFleetSimWith(NewTable(), n) }

func newFleetSimWith(table *Table, n int) *fleetSim {
	f := &fleetSim{table: table, idleAt: map[string]time.Time{}, cached: map[string]map[string]bool{}}
	var list []Engine
	for i := range n {
		id := fmt.Sprint("e", i)
		list = append(list, Engine{Incarnation: id, Name: id, DataCentre: fmt.Sprint("dc", i%3)})
		f.cached[id] = map[string]bool{}
	}
	f.table.SetEngines(Pool{Name: "p", CacheTokens: 370_000, Slots: 64}, list)
	return f
}

// send has an engine process a prompt and returns the time to its first event.
func (f *fleetSim) send(now time.Time, id string, p *Prompt, engine string) time.Duration {
	f.reportEnds(now)
	unread := p.Tokens
	for _, part := range p.Parts {
		if !f.cached[engine][part.ID] {
			break
		}
		unread -= part.Tokens
	}
	for _, part := range p.Parts {
		f.cached[engine][part.ID] = true
	}
	begin := now
	if f.idleAt[engine].After(begin) {
		begin = f.idleAt[engine]
	}
	f.idleAt[engine] = begin.Add(prefillFixed + time.Duration(unread)*prefillPerToken)
	first := f.idleAt[engine].Sub(now)
	f.pendingEnds = append(f.pendingEnds, pendingEnd{now.Add(first), RequestEnd{Request: id, Engine: engine, FirstEvent: first}})
	return first
}

// reportEnds reports the first events up to now to the table.
func (f *fleetSim) reportEnds(now time.Time) {
	slices.SortStableFunc(f.pendingEnds, func(a, b pendingEnd) int { return a.at.Compare(b.at) })
	for len(f.pendingEnds) > 0 && !f.pendingEnds[0].at.After(now) {
		f.table.RecordEnd(f.pendingEnds[0].RequestEnd)
		f.pendingEnds = f.pendingEnds[1:]
	}
}

// burst generates four seconds of prompts of about 9,000 tokens, each of one of 160
// subjects. 6,300 tokens of each prompt are parts shared with others.
func burst(seed uint64, send func(now time.Time, id string, p *Prompt)) {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := start
	for i := range 100 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond)))
		subject := rng.IntN(160)
		own := 500 + rng.IntN(5000)
		p := &Prompt{Pool: "p", Tokens: 6300 + own, Parts: []Part{
			{ID: fmt.Sprint("base", subject%4), Tokens: 2520}, {ID: fmt.Sprint("subject", subject), Tokens: 3780}, {ID: fmt.Sprint("own", i), Tokens: own},
		}}
		send(now, fmt.Sprint(i), p)
	}
}

// Prevents long response times in a burst of long prompts at twice the usual rate. By hash
// alone, two or three of nine engines get most of the requests, whose first events take a
// second while the other engines are idle.
func TestBurstIsBalanced(t *testing.T) {
	const objective = 500 * time.Millisecond
	var missed, missedByHash int
	for seed := range uint64(10) {
		f, byHash := newFleetSim(9), newFleetSim(9)
		burst(seed, func(now time.Time, id string, p *Prompt) {
			f.reportEnds(now)
			c, ok := f.table.Choose(now, p, noTransferCost)
			require.True(t, ok)
			f.table.RecordSent(now, id, p, c)
			if f.send(now, id, p, c.Engine.Incarnation) > objective {
				missed++
			}
			if byHash.send(now, id, p, byHash.table.pools["p"].homeOf(p.homeKey())) > objective {
				missedByHash++
			}
		})
	}
	t.Logf("of 1,000 prompts %d take more than %v, by hash alone %d", missed, objective, missedByHash)
	require.Less(t, 5*missed, missedByHash)
}

// Requests of one subject come a few times a second. Processing its 6,000 shared tokens at
// another engine each time would cost more than their own parts do.
func TestSubjectStaysAtItsEngine(t *testing.T) {
	f := newFleetSim(9)
	engines := map[string]bool{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 400 * time.Millisecond)
		f.reportEnds(now)
		p := &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{"subject", 6000}, {fmt.Sprint("own", i), 1000}}}
		c, _ := f.table.Choose(now, p, noTransferCost)
		f.table.RecordSent(now, fmt.Sprint(i), p, c)
		f.send(now, fmt.Sprint(i), p, c.Engine.Incarnation)
		engines[c.Engine.Incarnation] = true
	}
	require.Len(t, engines, 1)
}

// A new holder of the queue, after the previous one was killed, knows nothing of the caches
// and must choose the same engines for most subjects.
func TestNewHolderChoosesSameEngines(t *testing.T) {
	before, after := newFleetSim(9), newFleetSim(9)
	prompt := func(i int) *Prompt {
		return &Prompt{Pool: "p", Tokens: 1500, Parts: []Part{{fmt.Sprint("subject", i), 1000}, {fmt.Sprint("own", i), 500}}}
	}
	chosen := map[int]string{}
	for i := range 100 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		before.reportEnds(now)
		p := prompt(i)
		c, _ := before.table.Choose(now, p, noTransferCost)
		before.table.RecordSent(now, fmt.Sprint(i), p, c)
		before.send(now, fmt.Sprint(i), p, c.Engine.Incarnation)
		chosen[i] = c.Engine.Incarnation
	}
	same := 0
	for i := range 100 {
		if c, _ := after.table.Choose(start, prompt(i), noTransferCost); c.Engine.Incarnation == chosen[i] {
			same++
		}
	}
	require.Greater(t, same, 75)
}

// An engine has failed or is silent, but is still listed. Requests wait there for their first
// events, and each that is sent there meanwhile is late.
func TestSilentEngineIsAvoided(t *testing.T) {
	f := newFleetSim(3)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	c, _ := f.table.Choose(start, p, noTransferCost)
	f.table.RecordSent(start, "1", p, c)
	again, _ := f.table.Choose(start.Add(100*time.Millisecond), p, noTransferCost)
	require.Equal(t, c.Engine, again.Engine, "its cache is worth a short wait")
	later, _ := f.table.Choose(start.Add(2*time.Second), p, noTransferCost)
	require.NotEqual(t, c.Engine, later.Engine)
}

// TestUnreachableEngineIsAvoided prevents sending one request after the other to an engine
// at whose address nothing listens: it processes nothing and so counts as idle.
func TestUnreachableEngineIsAvoided(t *testing.T) {
	f := newFleetSim(3)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	c, _ := f.table.Choose(start, p, noTransferCost)
	f.table.RecordUnreachable(start, "p", c.Engine.Incarnation)
	f.table.RecordUnreachable(start.Add(time.Millisecond), "p", c.Engine.Incarnation)
	other, _ := f.table.Choose(start.Add(unreachableBackoff-time.Millisecond), p, noTransferCost)
	require.NotEqual(t, c.Engine, other.Engine)

	later := start.Add(unreachableBackoff)
	again, _ := f.table.Choose(later, p, noTransferCost)
	require.Equal(t, c.Engine, again.Engine, "it is tried again")
	f.table.RecordUnreachable(later, "p", c.Engine.Incarnation)
	other, _ = f.table.Choose(later.Add(2*unreachableBackoff-time.Millisecond), p, noTransferCost)
	require.NotEqual(t, c.Engine, other.Engine, "the backoff grows")

	for _, e := range []string{"e0", "e1", "e2"} {
		f.table.RecordUnreachable(later.Add(time.Minute), "p", e)
	}
	_, ok := f.table.Choose(later.Add(time.Minute), p, noTransferCost)
	require.True(t, ok, "one of several unreachable engines may have recovered")
}

// The report of a request's end is lost. Its engine counts as overdue only until the request
// expires; otherwise it would never receive a request again.
func TestOverdueRequestExpires(t *testing.T) {
	f := newFleetSim(3)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	c, _ := f.table.Choose(start, p, noTransferCost)
	f.table.RecordSent(start, "1", p, c)
	f.table.Tick(start.Add(requestExpiry))
	left, _ := f.table.Choose(start.Add(requestExpiry), p, noTransferCost)
	require.NotEqual(t, c.Engine, left.Engine)
	later := start.Add(requestExpiry + time.Millisecond)
	f.table.Tick(later)
	again, _ := f.table.Choose(later, p, noTransferCost)
	require.Equal(t, c.Engine, again.Engine)
	require.Empty(t, f.table.assigned)
}

// A request goes to another engine after its engine failed it. If all engines are excluded,
// none is chosen.
func TestExcludedEnginesAreNotChosen(t *testing.T) {
	f := newFleetSim(2)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	first, _ := f.table.Choose(start, p, noTransferCost)
	p.Exclude = []string{first.Engine.Incarnation}
	second, ok := f.table.Choose(start, p, noTransferCost)
	require.True(t, ok)
	require.NotEqual(t, first.Engine, second.Engine)
	p.Exclude = append(p.Exclude, second.Engine.Incarnation)
	_, ok = f.table.Choose(start, p, noTransferCost)
	require.False(t, ok)
}

// Large inputs are produced in one data centre. A request with a short shared part is served
// there; one whose long shared part is cached elsewhere is served by that engine.
func TestShortPromptsFollowInputs(t *testing.T) {
	f := newFleetSim(9)
	transferCost := func(dataCentre string) time.Duration {
		if dataCentre == "dc1" {
			return 0
		}
		return 100 * time.Millisecond
	}
	for i := range 20 {
		short := &Prompt{Pool: "p", Tokens: 700, Parts: []Part{{fmt.Sprint("s", i), 170}, {"own", 530}}}
		c, _ := f.table.Choose(start, short, transferCost)
		require.Equal(t, "dc1", c.Engine.DataCentre)
	}
	long := &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{"long", 6300}, {"own", 700}}}
	f.table.RecordSent(start, "1", long, Choice{Engine: Engine{Incarnation: "e0"}})
	f.table.RecordEnd(RequestEnd{Request: "1"})
	c, _ := f.table.Choose(start, long, transferCost)
	require.Equal(t, "e0", c.Engine.Incarnation)
}

// An engine that takes five times as long as the others receives fewer requests.
func TestSlowEngineGetsFewerRequests(t *testing.T) {
	f := newFleetSim(4)
	count := map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		f.reportEnds(now)
		p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{fmt.Sprint("s", i), 1000}, {"own", 1000}}}
		c, _ := f.table.Choose(now, p, noTransferCost)
		f.table.RecordSent(now, fmt.Sprint(i), p, c)
		took := prefillFixed + 2000*prefillPerToken
		if c.Engine.Incarnation == "e0" {
			took *= 5
		}
		f.pendingEnds = append(f.pendingEnds, pendingEnd{now.Add(took), RequestEnd{Request: fmt.Sprint(i), Engine: c.Engine.Incarnation, FirstEvent: took}})
		count[c.Engine.Incarnation]++
	}
	require.Less(t, count["e0"], 40, "%v", count)
}

// Requests, ends and lists of engines come in any order. The chosen engine is always listed
// and not excluded, and no state remains of requests that have ended.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		now := start
		var listed []Engine
		list := func() {
			listed = nil
			for i := range rapid.IntRange(0, 5).Draw(rt, "engines") {
				id := fmt.Sprintf("e%d@%d", i, rapid.IntRange(0, 1).Draw(rt, "start"))
				listed = append(listed, Engine{Incarnation: id, Name: fmt.Sprint("e", i), DataCentre: "x"})
			}
			table.SetEngines(Pool{Name: "p", CacheTokens: 20_000}, listed)
		}
		list()
		open := map[string]string{}
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				list()
			case 1, 2:
				id := fmt.Sprint(step)
				p := &Prompt{Pool: "p", Tokens: 5000, Exclude: []string{"e0@0"}, Parts: []Part{{fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "subject")), 4000}, {id, 1000}}}
				c, ok := table.Choose(now, p, noTransferCost)
				if !ok {
					continue
				}
				require.Contains(rt, listed, c.Engine)
				require.NotEqual(rt, "e0@0", c.Engine.Incarnation)
				table.RecordSent(now, id, p, c)
				open[id] = c.Engine.Incarnation
			case 3:
				for id, engine := range open {
					table.RecordEnd(RequestEnd{Request: id, Engine: engine, FirstEvent: time.Duration(rapid.IntRange(0, 2).Draw(rt, "first")) * time.Second})
					delete(open, id)
					break
				}
			}
			processing := 0
			for _, e := range table.pools["p"].engines {
				processing += len(e.prefills)
				require.LessOrEqual(rt, e.cachedTokens, 20_000)
			}
			require.Len(rt, table.assigned, processing)
		}
	})
}

// BenchmarkChoose measures one choice with 10, 100 and 1,000 engines.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleetSim(n)
			burst(1, func(now time.Time, id string, p *Prompt) {
				c, _ := f.table.Choose(now, p, noTransferCost)
				f.table.RecordSent(now, id, p, c)
			})
			p := &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{"base0", 2520}, {"subject4", 3780}, {"own", 700}}}
			b.ReportAllocs()
			for b.Loop() {
				f.table.Choose(start, p, noTransferCost)
			}
		})
	}
}
